#ifndef BW_PLATFORM_CLIENT_PLATFORM_CLIENT_H
#define BW_PLATFORM_CLIENT_PLATFORM_CLIENT_H

#include "bw_http/client/http_call.h"
#include "bw_platform/hosts/host_list.h"
#include "bw_platform/objects/object_store.h"

#include <atomic>
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
  /// Called when the service has come back from an older copy of itself, with
  /// the era before and the new one. May be called on any thread that calls.
  std::function<void(store_era, store_era)> OnRestore = [](store_era,
                                                           store_era) {};
};

/// Identifies a host list. A new era of the service may give out tags again.
struct host_list_tag {
  std::string Text;
  store_era Era;
};

/// The host list, or that it is the one that the caller has.
struct host_list_answer {
  bool IsUnchanged = false;
  host_list_tag Tag;
  std::vector<host_list_entry> Hosts;
  /// Why other entries were left out.
  std::vector<std::string> Malformed = {};
};

/// Blocking client of the platform's object API and host list. Calls may be
/// made from any thread, as far as the hooks allow it. A response of an earlier
/// era than one before counts as lost.
class platform_client {
public:
  explicit platform_client(platform_client_options Options)
      : Options(std::move(Options)) {}
  platform_client(const platform_client &) = delete;
  platform_client &operator=(const platform_client &) = delete;

  /// All object calls throw object_key_error for a key that cannot be sent.
  read_answer read(const object_key &Key) const;
  write_answer create(const object_key &Key, const std::string &Value) const;
  /// Writes under a condition of an earlier era are not sent, and one that was
  /// answered as of another era than its condition may have taken effect.
  write_answer update(const object_key &Key, const std::string &Value,
                      object_position Expected) const;
  write_answer remove(const object_key &Key, object_position Expected) const;
  list_answer list(const std::string &Kind, const std::string &After,
                   std::size_t Limit) const;

  /// Waits until the object has a version after `After`, or for `Timeout`. A
  /// position of an earlier era is before all versions.
  watch_answer watch(const object_key &Key, object_position After,
                     std::chrono::milliseconds Timeout) const;

  /// The host list; nothing when no answer came.
  /// \throws host_list_error when it cannot be used
  std::optional<std::vector<host_list_entry>> hosts() const;

  /// The same, but without the list when it still has this tag.
  /// \throws host_list_error when it cannot be used
  std::optional<host_list_answer> hostsSince(const host_list_tag &Tag) const;

  /// The object calls as hooks. They refer to this client.
  object_store objectStore() const;

private:
  /// A response and the era that it names; 0 if it names none.
  struct era_answer {
    call_result Call;
    store_era Era;
  };

  std::string objectUrl(const object_key &Key) const;
  /// Nothing when there was no token.
  std::optional<era_answer> send(client_request Request) const;
  write_answer write(client_request Request) const;
  write_answer writeIf(client_request Request,
                       const object_position &Expected) const;
  store_era eraOf(const http_response &Response) const;
  /// Returns false if a newer era is known.
  bool recordEra(store_era Answered) const;
  bool isEarlier(store_era Era) const {
    return Era != store_era() && Era < KnownEra.load();
  }

  platform_client_options Options;
  mutable std::atomic<store_era> KnownEra{};
  mutable std::atomic<bool> HasLoggedMalformedEra = false;
};

} // namespace bw

#endif
