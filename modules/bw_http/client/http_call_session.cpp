#include "bw_http/client/http_call_session.h"

#include "bw_http/client/easy_transfer.h"

using namespace bw;

struct http_call_session::implementation {
  implementation() {
    curl_share_setopt(Share, CURLSHOPT_SHARE, CURL_LOCK_DATA_CONNECT);
  }
  ~implementation() { curl_share_cleanup(Share); }

  CURLSH *Share = curl_share_init();
};

http_call_session::http_call_session()
    : Implementation(std::make_unique<implementation>()) {}

http_call_session::~http_call_session() = default;

call_result http_call_session::call(client_request Request) {
  return callHttpWith(std::move(Request), [this](
                                              const easy_transfer &Transfer) {
    curl_easy_setopt(Transfer.handle(), CURLOPT_SHARE, Implementation->Share);
  });
}
