#include "bw_http/client/http_call.h"

#include "bw_http/client/easy_transfer.h"

using namespace bw;

call_result bw::callHttp(client_request Request) {
  return callHttpWith(std::move(Request), [](const easy_transfer &) {});
}

call_result
bw::callHttpWith(client_request Request,
                 const std::function<void(const easy_transfer &)> &Prepare) {
  call_result Result;
  Request.OnHead = [&](int Status, const http_headers &Headers) {
    Result.Response.Status = Status;
    Result.Response.Headers = Headers;
  };
  Request.OnBody = [&](std::string_view Part) {
    Result.Response.Body += Part;
    return true;
  };
  const easy_transfer Transfer(std::move(Request));
  Prepare(Transfer);
  const CURLcode Code = curl_easy_perform(Transfer.handle());
  Result.Transfer = Transfer.result(Code);
  return Result;
}
