#ifndef BW_HTTP_CLIENT_EASY_TRANSFER_H
#define BW_HTTP_CLIENT_EASY_TRANSFER_H

#include "bw_http/client/http_call.h"
#include "bw_http/messages/head_grammar.h"

#include <curl/curl.h>

#include <chrono>
#include <memory>

namespace bw {

/// One libcurl transfer with its request, shared by the threaded client and
/// the blocking call. Internal to bw_http. The address must not change while
/// the transfer runs.
class easy_transfer {
public:
  explicit easy_transfer(client_request Request);
  ~easy_transfer();
  easy_transfer(const easy_transfer &) = delete;
  easy_transfer &operator=(const easy_transfer &) = delete;

  CURL *handle() const { return Handle; }
  const client_request &request() const { return Request; }

  /// Returns when the transfer counts as stalled; the maximum if it has no
  /// limit on idle time.
  std::chrono::steady_clock::time_point stalledAt() const;

  /// The result after libcurl has ended the transfer with this code.
  transfer_result result(CURLcode Code) const;

private:
  static std::size_t receiveHeader(char *Data, std::size_t Size,
                                   std::size_t Count, void *Self);
  static std::size_t receiveBody(char *Data, std::size_t Size,
                                 std::size_t Count, void *Self);
  static int limitSilence(void *Context, curl_socket_t Socket,
                          curlsocktype Purpose);
  void applyOptions();
  /// Takes a line of a head or trailer, with its end. Returns false if the
  /// response breaks the grammar.
  bool takeHeaderLine(std::string_view Line);
  bool takeEndOfHead();
  void noteActivity();

  client_request Request;
  CURL *Handle;
  curl_slist *HeaderList = nullptr;
  int HeadStatus = 0;
  http_headers Head;
  bool IsHttp10 = false;
  head_grammar Grammar{head_start::StatusLine};
  bool IsHeadComplete = false;
  /// Bytes of all heads of the response and of its trailer.
  std::size_t HeadSize = 0;
  std::size_t BodySize = 0;
  bool HasResponse = false;
  /// When the transfer began, or last received a part of the response.
  std::chrono::steady_clock::time_point LastActivity =
      std::chrono::steady_clock::now();
};

/// As `callHttp`; the hook may set further options of the transfer.
call_result
callHttpWith(client_request Request,
             const std::function<void(const easy_transfer &)> &Prepare);

} // namespace bw

#endif
