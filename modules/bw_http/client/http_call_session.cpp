#include "bw_http/client/http_call_session.h"

#include "bw_http/client/easy_transfer.h"

#include <mutex>
#include <set>

#include <sys/socket.h>
#include <unistd.h>

using namespace bw;

struct http_call_session::implementation {
  implementation() {
    curl_share_setopt(Share, CURLSHOPT_SHARE, CURL_LOCK_DATA_CONNECT);
  }
  ~implementation() { curl_share_cleanup(Share); }
  implementation(const implementation &) = delete;
  implementation &operator=(const implementation &) = delete;

  static curl_socket_t openSocket(void *Context, curlsocktype,
                                  curl_sockaddr *Address) {
    auto *Self = static_cast<implementation *>(Context);
    const std::lock_guard Guard(Self->Mutex);
    if (Self->IsCancelled)
      return CURL_SOCKET_BAD;
    const int Socket = ::socket(
        Address->family, Address->socktype | SOCK_CLOEXEC, Address->protocol);
    if (Socket >= 0)
      Self->Sockets.insert(Socket);
    return Socket;
  }

  static int closeSocket(void *Context, curl_socket_t Socket) {
    auto *Self = static_cast<implementation *>(Context);
    const std::lock_guard Guard(Self->Mutex);
    Self->Sockets.erase(Socket);
    return ::close(Socket);
  }

  CURLSH *Share = curl_share_init();
  std::mutex Mutex;
  std::set<curl_socket_t> Sockets;
  bool IsCancelled = false;
};

http_call_session::http_call_session()
    : Implementation(std::make_unique<implementation>()) {}

http_call_session::~http_call_session() = default;

call_result http_call_session::call(client_request Request) {
  return callHttpWith(std::move(Request), [this](const easy_transfer &Each) {
    implementation *Self = Implementation.get();
    CURL *Handle = Each.handle();
    curl_easy_setopt(Handle, CURLOPT_SHARE, Self->Share);
    curl_easy_setopt(Handle, CURLOPT_OPENSOCKETFUNCTION,
                     &implementation::openSocket);
    curl_easy_setopt(Handle, CURLOPT_OPENSOCKETDATA, Self);
    curl_easy_setopt(Handle, CURLOPT_CLOSESOCKETFUNCTION,
                     &implementation::closeSocket);
    curl_easy_setopt(Handle, CURLOPT_CLOSESOCKETDATA, Self);
  });
}

void http_call_session::cancel() {
  const std::lock_guard Guard(Implementation->Mutex);
  Implementation->IsCancelled = true;
  // A thread that waits for an answer sees the end of its connection at once.
  for (const curl_socket_t Socket : Implementation->Sockets)
    ::shutdown(Socket, SHUT_RDWR);
}
