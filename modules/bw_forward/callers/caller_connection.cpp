#include "bw_forward/callers/caller_connection.h"

#include <asio/buffer.hpp>
#include <asio/write.hpp>

using namespace bw;
using asio::ip::tcp;

namespace {

// How long to wait for the caller to close after the last response. Closing a
// socket with unread bytes resets the connection, which can discard the
// response.
constexpr duration LingerTime = std::chrono::seconds(2);

} // namespace

std::string_view bw::reasonPhrase(int Status) {
  switch (Status) {
  case 200:
    return "OK";
  case 400:
    return "Bad Request";
  case 401:
    return "Unauthorized";
  case 404:
    return "Not Found";
  case 408:
    return "Request Timeout";
  case 413:
    return "Content Too Large";
  case 429:
    return "Too Many Requests";
  case 431:
    return "Request Header Fields Too Large";
  case 501:
    return "Not Implemented";
  case 502:
    return "Bad Gateway";
  case 503:
    return "Service Unavailable";
  case 504:
    return "Gateway Timeout";
  default:
    return "Status";
  }
}

caller_connection::caller_connection(tcp::socket GivenSocket,
                                     const caller_connection_options &Options,
                                     const caller_connection_hooks &Hooks,
                                     std::span<char> ReadBuffer)
    : Socket(std::move(GivenSocket)), Options(Options), Hooks(Hooks),
      ReadBuffer(ReadBuffer),
      Parser(http1_side::Request,
             {.OnHead =
                  [this](http1_head Head) { return headRead(std::move(Head)); },
              .OnBody = [this](std::string_view Part) { bodyRead(Part); }}),
      LastActivity(Hooks.Now()) {
  Parser.setHeadLimit(Options.Limits.Header);
}

void caller_connection::start() {
  asio::error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  Socket.non_blocking(true, Ignored);
  readSome();
}

void caller_connection::readSome() {
  if (IsReading || !IsOpen)
    return;
  IsReading = true;
  Socket.async_wait(tcp::socket::wait_read,
                    [Self = shared_from_this()](asio::error_code Code) {
                      Self->IsReading = false;
                      Self->readable(Code);
                    });
}

void caller_connection::readable(asio::error_code Code) {
  if (!IsOpen)
    return;
  std::size_t Size = 0;
  if (!Code)
    Size = Socket.read_some(asio::buffer(ReadBuffer.data(), ReadBuffer.size()),
                            Code);
  if (Code == asio::error::would_block)
    return readSome();
  if (Code)
    return disconnect();
  LastActivity = Hooks.Now();
  if (!IsInputClosed)
    parse({ReadBuffer.data(), Size});
  if (!IsOpen)
    return;
  const bool IsBodyWaiting = Reading && Reading->IsStreamed &&
                             Reading->Body.size() > Options.ReplayLimit.value();
  // Nothing is read while the queue or the body buffer is full; a disconnect is
  // then detected when the next response is written.
  if (!IsBodyWaiting && Unparsed.empty())
    readSome();
}

void caller_connection::resumeReading() {
  if (IsOpen && Unparsed.empty())
    readSome();
}

void caller_connection::parse(std::string_view Bytes) {
  while (!Bytes.empty() && !IsInputClosed && IsOpen) {
    if (Queue.size() >= Options.MaxPipelined && !Reading) {
      Unparsed.append(Bytes);
      return;
    }
    const parse_result Result = Parser.feed(Bytes);
    Bytes.remove_prefix(Result.Taken);
    if (IsBodyTooBig)
      return reject(413);
    switch (Result.Status) {
    case parse_status::NeedsMore:
      return;
    case parse_status::Complete:
      requestRead();
      break;
    case parse_status::HeadTooBig:
      return reject(431);
    case parse_status::Malformed:
      return reject(400);
    }
  }
}

bool caller_connection::headRead(http1_head Head) {
  BodySize = 0;
  Reading = std::make_shared<caller_exchange>();
  Reading->Number = Hooks.NextNumber();
  Reading->Connection = weak_from_this();
  Reading->ClosesConnection =
      !Head.KeepsConnection || Head.IsHttp10 || IsStopping;
  Reading->Head = std::move(Head);
  Queue.push_back(Reading);
  const http1_head &Kept = Reading->Head;
  if (Kept.ContentLength && *Kept.ContentLength > Options.Limits.Body.value()) {
    IsBodyTooBig = true;
    return true;
  }
  const std::optional<std::string> Expect = Kept.Headers.find("Expect");
  if (Expect && equalsIgnoringCase(*Expect, "100-continue"))
    Reading->Output = "HTTP/1.1 100 Continue\r\n\r\n";
  return true;
}

void caller_connection::bodyRead(std::string_view Part) {
  BodySize += Part.size();
  IsBodyTooBig = IsBodyTooBig || BodySize > Options.Limits.Body.value();
  if (IsBodyTooBig)
    return;
  Reading->Body.append(Part);
  if (Reading->IsStreamed) {
    Hooks.OnBody(Reading);
  } else if (Reading->Body.size() > Options.ReplayLimit.value()) {
    Reading->IsStreamed = true;
    dispatchRequest();
  }
}

void caller_connection::requestRead() {
  const exchange_pointer Complete = std::exchange(Reading, nullptr);
  Complete->IsBodyComplete = true;
  if (Complete->ClosesConnection)
    IsInputClosed = true;
  if (Complete->IsDispatched)
    return Hooks.OnBody(Complete);
  Complete->IsDispatched = true;
  Hooks.OnRequest(Complete);
}

void caller_connection::dispatchRequest() {
  Reading->IsDispatched = true;
  Hooks.OnRequest(Reading);
}

void caller_connection::reject(int Status) {
  IsInputClosed = true;
  if (Reading && Reading->IsDispatched) {
    // The rest of the request cannot be read, so no response is possible.
    disconnect();
    return;
  }
  if (!Reading) {
    Reading = std::make_shared<caller_exchange>();
    Reading->Connection = weak_from_this();
    Queue.push_back(Reading);
  }
  const exchange_pointer Rejected = std::exchange(Reading, nullptr);
  Rejected->IsResponseStarted = true;
  Rejected->IsResponseComplete = true;
  Rejected->ClosesConnection = true;
  Rejected->Output = "HTTP/1.1 " + std::to_string(Status) + " " +
                     std::string(reasonPhrase(Status)) +
                     "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
  flush();
}

void caller_connection::flush() {
  if (IsOpen && !IsWriting)
    write();
}

void caller_connection::write() {
  while (!Queue.empty()) {
    const exchange_pointer &Front = Queue.front();
    Writing += std::exchange(Front->Output, {});
    if (!Front->IsResponseComplete)
      break;
    const bool Closes = Front->ClosesConnection;
    Queue.pop_front();
    if (Closes) {
      IsInputClosed = true;
      IsOutputClosed = true;
      break;
    }
  }
  if (Writing.empty())
    return finishOutput();
  IsWriting = true;
  asio::async_write(
      Socket, asio::buffer(Writing),
      [Self = shared_from_this()](asio::error_code Code, std::size_t) {
        Self->written(Code);
      });
}

void caller_connection::written(asio::error_code Code) {
  IsWriting = false;
  Writing.clear();
  if (!IsOpen)
    return;
  if (Code)
    return disconnect();
  LastActivity = Hooks.Now();
  if (!Queue.empty() && Queue.front()->IsResponseStarted &&
      !Queue.front()->IsResponseComplete)
    Hooks.OnOutputWritten(Queue.front());
  if (!Unparsed.empty() && Queue.size() < Options.MaxPipelined) {
    const std::string Bytes = std::exchange(Unparsed, {});
    parse(Bytes);
    if (IsOpen && Unparsed.empty())
      readSome();
  }
  flush();
}

void caller_connection::finishOutput() {
  if (IsOutputClosed) {
    // Requests after the last response count as not processed; the caller
    // sends them again on another connection.
    for (const exchange_pointer &Each : Queue)
      if (Each->IsDispatched)
        Hooks.OnDisconnected(Each);
    Queue.clear();
    Reading.reset();
    asio::error_code Ignored;
    Socket.shutdown(tcp::socket::shutdown_send, Ignored);
    readSome();
  } else if (IsStopping && isIdle()) {
    IsOutputClosed = true;
    finishOutput();
  }
}

void caller_connection::abort() {
  asio::error_code Ignored;
  Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  disconnect();
}

void caller_connection::disconnect() {
  if (!IsOpen)
    return;
  const auto Left = std::exchange(Queue, {});
  Reading.reset();
  close();
  for (const exchange_pointer &Each : Left)
    if (Each->IsDispatched)
      Hooks.OnDisconnected(Each);
}

void caller_connection::close() {
  IsOpen = false;
  asio::error_code Ignored;
  Socket.close(Ignored);
  Hooks.OnClosed(shared_from_this());
}

void caller_connection::checkTimeouts(time_point Now) {
  if (!IsOpen)
    return;
  const duration Silence = Now - LastActivity;
  if (IsOutputClosed) {
    if (Silence > LingerTime)
      disconnect();
  } else if (Queue.empty() && Parser.isInMessage()) {
    if (Silence > Options.Limits.HeaderTimeout)
      reject(408);
  } else if (Queue.empty()) {
    if (Silence > Options.Limits.IdleTimeout)
      disconnect();
  } else if (Reading && !Reading->IsDispatched &&
             Silence > Options.Limits.IdleTimeout) {
    reject(408);
  }
}

void caller_connection::closeWhenIdle() {
  IsStopping = true;
  if (!Queue.empty()) {
    // Requests after the closing response count as not processed, so none may
    // be parsed.
    Queue.back()->ClosesConnection = true;
    IsInputClosed = IsInputClosed || Queue.back() != Reading;
    return;
  }
  if (isIdle() && !IsWriting && IsOpen && !IsOutputClosed) {
    IsInputClosed = true;
    IsOutputClosed = true;
    finishOutput();
  }
}
