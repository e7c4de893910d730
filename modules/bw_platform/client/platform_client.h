#ifndef BW_PLATFORM_CLIENT_PLATFORM_CLIENT_H
#define BW_PLATFORM_CLIENT_PLATFORM_CLIENT_H

#include "bw_http/client/http_call.h"
#include "bw_platform/hosts/host_list.h"
#include "bw_platform/objects/object_store.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace bw {

struct platform_client_options {
  /// For example `http://127.0.0.1:7000`, without a slash at the end.
  std::string Url;
  std::chrono::milliseconds ConnectTimeout{1'000};
  /// For each call but a watch, which adds its own time-out.
  std::chrono::milliseconds Timeout{3'000};
  /// Asked before each call; false makes the call end as `Unavailable` without
  /// being sent. Usually `token_bucket::take`.
  std::function<bool()> TakeToken = [] { return true; };
  /// Sends a request and waits for the response.
  std::function<call_result(client_request)> Send = callHttp;
};

/// The host list, or that it is the one that the caller has.
struct host_list_answer {
  bool IsUnchanged = false;
  std::string Tag;
  std::vector<host_list_entry> Hosts;
  /// Why other entries were left out.
  std::vector<std::string> Malformed = {};
};

/// Blocking client of the platform's object API and host list. Calls may be
/// made from any thread, as far as the hooks allow it.
class platform_client {
public:
  explicit platform_client(platform_client_options Options)
      : Options(std::move(Options)) {}
  platform_client(const platform_client &) = delete;
  platform_client &operator=(const platform_client &) = delete;

  /// All object calls throw object_key_error for a key that cannot be sent.
  read_answer read(const object_key &Key) const;
  write_answer create(const object_key &Key, const std::string &Value) const;
  write_answer update(const object_key &Key, const std::string &Value,
                      object_version Expected) const;
  write_answer remove(const object_key &Key, object_version Expected) const;
  list_answer list(const std::string &Kind, const std::string &After,
                   std::size_t Limit) const;

  /// Waits until the object has a version after `After`, or for `Timeout`.
  watch_answer watch(const object_key &Key, object_version After,
                     std::chrono::milliseconds Timeout) const;

  /// The host list; nothing when no answer came.
  /// \throws host_list_error when it cannot be used
  std::optional<std::vector<host_list_entry>> hosts() const;

  /// The same, but without the list when it still has this tag.
  /// \throws host_list_error when it cannot be used
  std::optional<host_list_answer> hostsSince(const std::string &Tag) const;

  /// The object calls as hooks. They refer to this client.
  object_store objectStore() const;

private:
  std::string objectUrl(const object_key &Key) const;
  /// Nothing when there was no token.
  std::optional<call_result> send(client_request Request) const;
  write_answer write(client_request Request) const;

  platform_client_options Options;
};

} // namespace bw

#endif
