#include "bw_forward/callers/caller_connection.h"

#include <asio/buffer.hpp>

#include <algorithm>

#include <linux/sockios.h>
#include <sys/ioctl.h>

using namespace bw;
using asio::ip::tcp;

namespace {

// How long to wait for the caller to close after the last response. Closing a
// socket with unread bytes resets the connection, which can discard the
// response.
constexpr duration LingerTime = std::chrono::seconds(2);

} // namespace

caller_connection::caller_connection(tcp::socket GivenSocket,
                                     const caller_connection_options &Options,
                                     const caller_connection_hooks &Hooks,
                                     process_budget &Budget,
                                     std::span<char> ReadBuffer)
    : Socket(std::move(GivenSocket)), Options(Options), Hooks(Hooks),
      Budget(Budget), Number(Budget.addCaller(Hooks.Now())),
      ReadBuffer(ReadBuffer),
      Parser(http1_side::Request,
             {.OnHead =
                  [this](http1_head Head) { return headRead(std::move(Head)); },
              .OnBody = [this](std::string_view Part) { bodyRead(Part); }}),
      LastActivity(Hooks.Now()), HeadStarted(LastActivity),
      LastOutput(LastActivity) {
  Parser.setHeadLimit(Options.Limits.Header);
}

void caller_connection::start() {
  asio::error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  Socket.non_blocking(true, Ignored);
  readSome();
}

// Nothing is read while a request waits, or while a body has to wait; a
// disconnect is then detected when the next response is written.
bool caller_connection::mayRead() const {
  if (IsInputClosed)
    return true;
  if (!Unparsed.empty() || hasWaitingRequest())
    return false;
  if (!Reading)
    return true;
  const bool IsBodyWaiting =
      Reading->IsStreamed && Reading->Body.size() > Options.ReplayLimit.value();
  return !IsBodyWaiting && !Budget.pausesBody(Number);
}

void caller_connection::readSome() {
  if (IsReading || !IsOpen)
    return;
  if (!mayRead()) {
    if (Reading && Budget.pausesBody(Number))
      Hooks.OnPaused(shared_from_this());
    return;
  }
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
  // The budget may have changed since the wait began.
  if (!mayRead())
    return readSome();
  // A head may bring a part of its body.
  constexpr std::size_t SmallRead = 4096;
  const std::size_t Most =
      Budget.areBodiesAtLimit() ? SmallRead : ReadBuffer.size();
  std::size_t Size = 0;
  if (!Code)
    Size = Socket.read_some(asio::buffer(ReadBuffer.data(), Most), Code);
  if (Code == asio::error::would_block)
    return readSome();
  if (Code)
    return disconnect();
  LastActivity = Hooks.Now();
  Budget.callerProgressed(Number, LastActivity);
  if (!IsInputClosed)
    parse({ReadBuffer.data(), Size});
  if (!IsOpen)
    return;
  updateBudget();
  readSome();
}

void caller_connection::resumeReading() {
  updateBudget();
  readSome();
}

void caller_connection::updateBudget() {
  if (!IsOpen)
    return;
  std::size_t Responses = memoryOf(Writing) + PartialHead;
  std::size_t Buffered = Writing.size();
  std::size_t Bodies = memoryOf(Unparsed);
  for (const exchange_pointer &Each : Queue) {
    const attempt_holding Held = Each->IsDispatched
                                     ? Hooks.HeldByAttempts(Each->Number)
                                     : attempt_holding();
    Responses +=
        memoryOf(Each->Output) + Each->HeadMemory + Held.ResponseMemory;
    Buffered += Each->Output.size() + Held.ResponseBytes;
    Bodies += memoryOf(Each->Body) + Held.RequestMemory;
  }
  Budget.updateCaller(Number,
                      {.Responses = byte_count(Responses),
                       .Buffered = byte_count(Buffered),
                       .Bodies = byte_count(Bodies),
                       .Requests = static_cast<std::uint32_t>(Queue.size()),
                       .IsIdle = (isIdle() && !IsWriting) || IsOutputClosed},
                      Hooks.Now());
  if (Budget.areResponsesAtLimit())
    Hooks.OnOverLimit();
}

bool caller_connection::mayParse() const {
  return Reading ||
         (Queue.size() < Options.MaxPipelined && !hasWaitingRequest());
}

void caller_connection::parse(std::string_view Bytes) {
  IsParsing = true;
  while (!Bytes.empty() && !IsInputClosed && IsOpen) {
    if (!mayParse()) {
      Unparsed.append(Bytes);
      break;
    }
    if (!Parser.isInMessage())
      HeadStarted = Hooks.Now();
    const parse_result Result = Parser.feed(Bytes);
    Bytes.remove_prefix(Result.Taken);
    PartialHead =
        !Reading && Parser.isInMessage() ? PartialHead + Result.Taken : 0;
    if (IsBodyTooBig) {
      reject(413);
    } else if (Result.Status == parse_status::Complete) {
      requestRead();
    } else if (Result.Status == parse_status::HeadTooBig) {
      reject(431);
    } else if (Result.Status == parse_status::Malformed) {
      reject(400);
    }
  }
  IsParsing = false;
}

// Parses what was received while a request had to wait.
void caller_connection::continueInput() {
  if (!IsOpen || IsParsing)
    return;
  if (IsInputClosed)
    std::string().swap(Unparsed);
  if (!Unparsed.empty() && mayParse()) {
    const std::string Bytes = std::exchange(Unparsed, {});
    parse(Bytes);
  }
  readSome();
}

bool caller_connection::headRead(http1_head Head) {
  BodySize = 0;
  Reading = std::make_shared<caller_exchange>();
  Reading->Number = Hooks.NextNumber();
  Reading->Connection = weak_from_this();
  Reading->ClosesConnection =
      !Head.KeepsConnection || Head.IsHttp10 || IsStopping;
  Reading->Head = std::move(Head);
  Reading->HeadMemory = memoryOf(Reading->Head);
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
    const exchange_pointer Kept = Reading;
    dispatchReady();
    noteWaiting(*Kept);
  }
}

void caller_connection::requestRead() {
  const exchange_pointer Complete = std::exchange(Reading, nullptr);
  Complete->IsBodyComplete = true;
  if (Complete->ClosesConnection)
    IsInputClosed = true;
  if (Complete->IsDispatched)
    return Hooks.OnBody(Complete);
  dispatchReady();
  noteWaiting(*Complete);
}

void caller_connection::noteWaiting(caller_exchange &Exchange) const {
  if (!Exchange.IsDispatched && !Exchange.WaitsSince)
    Exchange.WaitsSince = Hooks.Now();
}

void caller_connection::dispatchReady() {
  while (const exchange_pointer Next = nextToDispatch()) {
    Next->IsDispatched = true;
    Next->IsResponseLong = Hooks.ExpectsLongResponse(*Next);
    Hooks.OnRequest(Next);
  }
}

// A response that breaks off after a part of it was relayed resets the
// connection, and the responses behind it are lost. So a request waits until
// the long responses ahead of it have been received; and until the responses
// ahead are within the caller's share.
exchange_pointer caller_connection::nextToDispatch() const {
  if (!IsOpen)
    return nullptr;
  std::size_t Held = Writing.size();
  for (const exchange_pointer &Each : Queue) {
    if (!Each->IsDispatched) {
      const bool IsReady = Each->IsBodyComplete || Each->IsStreamed;
      const bool IsWithinShare =
          Held <= Budget.options().ResponsesPerCaller.value();
      return IsReady && IsWithinShare ? Each : nullptr;
    }
    if (Each->IsResponseLong && !Each->IsResponseComplete)
      return nullptr;
    Held +=
        Each->Output.size() + Hooks.HeldByAttempts(Each->Number).ResponseBytes;
  }
  return nullptr;
}

bool caller_connection::hasWaitingRequest() const {
  return !Queue.empty() && Queue.back() != Reading &&
         !Queue.back()->IsDispatched && !Queue.back()->IsResponseComplete;
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
  if (!IsOpen)
    return;
  if (!IsWriting)
    write();
  dispatchReady();
  continueInput();
  updateBudget();
}

void caller_connection::write() {
  while (!Queue.empty() && !IsClosing) {
    const exchange_pointer Front = Queue.front();
    if (Writing.empty())
      Writing = std::exchange(Front->Output, {});
    else
      Writing += std::exchange(Front->Output, {});
    if (!Front->IsResponseComplete)
      break;
    Queue.pop_front();
    HeadStarted = Hooks.Now();
    IsClosing = Front->ClosesConnection;
    IsInputClosed = IsInputClosed || IsClosing;
  }
  if (Writing.empty())
    return finishOutput();
  if (!HasUnsent)
    LastOutput = Hooks.Now();
  HasUnsent = true;
  IsWriting = true;
  writeSome();
}

void caller_connection::writeSome() {
  Socket.async_write_some(
      asio::buffer(Writing) + Written,
      [Self = shared_from_this()](asio::error_code Code, std::size_t Size) {
        Self->written(Code, Size);
      });
}

void caller_connection::written(asio::error_code Code, std::size_t Size) {
  if (!IsOpen)
    return;
  if (Code)
    return disconnect();
  LastActivity = Hooks.Now();
  LastOutput = LastActivity;
  Budget.callerProgressed(Number, LastActivity);
  Written += Size;
  if (Written < Writing.size())
    return writeSome();
  IsWriting = false;
  Written = 0;
  std::string().swap(Writing);
  if (!Queue.empty() && Queue.front()->IsDispatched &&
      !Queue.front()->IsResponseComplete)
    Hooks.OnOutputWritten(Queue.front());
  flush();
}

void caller_connection::finishOutput() {
  if (IsOutputClosed)
    return;
  if (IsClosing) {
    IsOutputClosed = true;
    // Requests after the last response count as not processed; the caller
    // sends them again on another connection.
    const auto Left = std::exchange(Queue, {});
    Reading.reset();
    for (const exchange_pointer &Each : Left)
      if (Each->IsDispatched)
        Hooks.OnDisconnected(Each);
    asio::error_code Ignored;
    Socket.shutdown(tcp::socket::shutdown_send, Ignored);
    readSome();
  } else if (IsStopping && isIdle()) {
    IsInputClosed = true;
    IsClosing = true;
    finishOutput();
  }
}

void caller_connection::closeForLimit(close_reason Reason) {
  if (!IsOpen)
    return;
  Hooks.OnLimit(Reason);
  // An idle connection has nothing to lose, so it is closed in order.
  if (Reason == close_reason::Idle || Reason == close_reason::NoRoom)
    disconnect();
  else
    abort();
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
  Budget.removeCaller(Number);
  asio::error_code Ignored;
  Socket.close(Ignored);
  Hooks.OnClosed(shared_from_this());
}

// A write that the socket has accepted makes progress as long as its buffer
// empties.
bool caller_connection::checkOutput(time_point Now) {
  if (!HasUnsent)
    return true;
  int Unsent = 0;
  if (::ioctl(Socket.native_handle(), SIOCOUTQ, &Unsent) != 0)
    Unsent = 0;
  const auto Left = static_cast<std::size_t>(std::max(Unsent, 0));
  if (Left != LastUnsent || (Left == 0 && !IsWriting)) {
    LastOutput = Now;
    LastActivity = Now;
    Budget.callerProgressed(Number, Now);
  }
  LastUnsent = Left;
  HasUnsent = Left > 0 || IsWriting;
  return Now - LastOutput <= Options.Limits.IdleTimeout;
}

void caller_connection::checkTimeouts(time_point Now) {
  if (!IsOpen)
    return;
  if (!checkOutput(Now))
    return closeForLimit(close_reason::StoppedReading);
  const duration Silence = Now - LastActivity;
  if (IsOutputClosed) {
    if (!HasUnsent && Silence > LingerTime)
      disconnect();
  } else if (Queue.empty() && Parser.isInMessage()) {
    if (Now - HeadStarted > Options.Limits.HeaderTimeout) {
      Hooks.OnLimit(close_reason::SlowRequest);
      reject(408);
    }
  } else if (Queue.empty()) {
    if (!HasUnsent && Silence > Options.Limits.IdleTimeout)
      disconnect();
  } else if (Reading && !Reading->IsDispatched &&
             Silence > Options.Limits.IdleTimeout) {
    Hooks.OnLimit(close_reason::SlowRequest);
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
    IsClosing = true;
    finishOutput();
  }
}
