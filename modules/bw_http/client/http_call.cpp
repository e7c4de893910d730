#include "bw_http/client/http_call.h"

#include "bw_http/client/easy_transfer.h"

#include <new>

using namespace bw;

namespace {

// Performs the transfer and ends it when it stalls. libcurl itself limits the
// idle time in whole seconds only.
CURLcode perform(const easy_transfer &Transfer) {
  using std::chrono::steady_clock;
  // Upper bound of one wait; libcurl's own time-outs end it earlier.
  constexpr std::chrono::milliseconds MaxWait{1'000};
  CURLM *Multi = curl_multi_init();
  if (Multi == nullptr)
    throw std::bad_alloc();
  curl_multi_add_handle(Multi, Transfer.handle());
  CURLcode Result = CURLE_OPERATION_TIMEDOUT;
  int Running = 1;
  while (curl_multi_perform(Multi, &Running) == CURLM_OK && Running > 0) {
    const steady_clock::time_point Now = steady_clock::now();
    const steady_clock::time_point StalledAt = Transfer.stalledAt();
    if (Now >= StalledAt)
      break;
    const auto Wait =
        StalledAt - Now < MaxWait
            ? std::chrono::ceil<std::chrono::milliseconds>(StalledAt - Now)
            : MaxWait;
    curl_multi_poll(Multi, nullptr, 0, static_cast<int>(Wait.count()), nullptr);
  }
  int Left = 0;
  if (const CURLMsg *Message = curl_multi_info_read(Multi, &Left))
    Result = Message->data.result;
  curl_multi_remove_handle(Multi, Transfer.handle());
  curl_multi_cleanup(Multi);
  return Result;
}

} // namespace

call_result bw::callHttp(client_request Request) {
  return callHttpWith(std::move(Request), [](const easy_transfer &) {});
}

call_result
bw::callHttpWith(client_request Request,
                 const std::function<void(const easy_transfer &)> &Prepare) {
  call_result Result;
  if (!Request.BodyLimit)
    Request.BodyLimit = DefaultBodyLimit;
  Request.OnHead = [&](int Status, const http_headers &Headers) {
    Result.Response.Status = Status;
    Result.Response.Headers = Headers;
  };
  Request.OnBody = [&,
                    Sink = std::move(Request.BodySink)](std::string_view Part) {
    if (Sink)
      Sink(Result.Response.Status, Part);
    else
      Result.Response.Body += Part;
    return true;
  };
  const easy_transfer Transfer(std::move(Request));
  Prepare(Transfer);
  const CURLcode Code = perform(Transfer);
  Result.Transfer = Transfer.result(Code);
  return Result;
}
