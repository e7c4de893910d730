#include "bw_forward/callers/caller_acceptor.h"

#include "bw_http/server/http_server.h"

#include <chrono>

using namespace bw;
using asio::ip::tcp;

namespace {

constexpr int ListenBacklog = 1024;
// Delay before accepting again after an error, such as a lack of file
// descriptors.
constexpr std::chrono::milliseconds AcceptRetryDelay(100);

} // namespace

caller_acceptor::caller_acceptor(asio::io_context &Context,
                                 std::function<void(tcp::socket)> OnAccepted)
    : Acceptor(Context), RetryTimer(Context),
      OnAccepted(std::move(OnAccepted)) {}

std::uint16_t caller_acceptor::listen(const std::string &Address,
                                      std::uint16_t Port) {
  asio::error_code Code;
  const auto Ip = asio::ip::make_address(Address, Code);
  if (!Code)
    Acceptor.open(tcp::v4(), Code);
  if (!Code)
    Acceptor.set_option(tcp::acceptor::reuse_address(true), Code);
  if (!Code)
    Acceptor.bind({Ip, Port}, Code);
  if (!Code)
    Acceptor.listen(ListenBacklog, Code);
  if (Code)
    throw listen_error(Address, Port, Code.message());
  accept();
  return Acceptor.local_endpoint().port();
}

void caller_acceptor::close() {
  asio::error_code Ignored;
  Acceptor.close(Ignored);
}

void caller_acceptor::accept() {
  Acceptor.async_accept([this](asio::error_code Code, tcp::socket Socket) {
    if (!Acceptor.is_open())
      return;
    if (Code) {
      RetryTimer.expires_after(AcceptRetryDelay);
      RetryTimer.async_wait([this](asio::error_code Cancelled) {
        if (!Cancelled)
          accept();
      });
      return;
    }
    OnAccepted(std::move(Socket));
    accept();
  });
}
