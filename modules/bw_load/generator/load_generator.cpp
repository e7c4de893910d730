#include "bw_load/generator/load_generator.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>

using namespace bw;

namespace {

// What the client's thread and the sending thread share.
struct load_state {
  std::mutex Mutex;
  std::condition_variable Changed;
  latency_report Report;
  std::size_t Open = 0;
};

std::string fillNumber(std::string Text, std::uint64_t Number) {
  const std::size_t Place = Text.find("{n}");
  if (Place != Text.npos)
    Text.replace(Place, 3, std::to_string(Number));
  return Text;
}

} // namespace

latency_report bw::runLoad(runtime_clock &Clock, const load_options &Options) {
  http_client Client(Clock, {.CommandCapacity = 16'384,
                             .MaxConnectionsPerHost = 1'024,
                             .MaxIdleConnections = 2'048});
  Client.start();
  load_state State;
  const duration Step(static_cast<std::int64_t>(1e9 / Options.Rate));
  const time_point Start = Clock.now();
  const time_point FirstCounted = Start + Options.WarmUp;
  const time_point End = FirstCounted + Options.Duration;
  std::uint64_t Number = 0;
  for (time_point Due = Start; Due < End; Due += Step, ++Number) {
    std::unique_lock Lock(State.Mutex);
    Clock.waitUntil(Lock, State.Changed, Due, [] { return false; });
    const bool IsCounted = Due >= FirstCounted;
    if (State.Open >= Options.MaxOpen) {
      if (IsCounted)
        State.Report.addUnsent();
      continue;
    }
    ++State.Open;
    Lock.unlock();
    client_request Request;
    Request.Method = Options.Method;
    Request.Url =
        fillNumber(Options.Urls[Number % Options.Urls.size()], Number);
    Request.Headers = Options.Headers;
    Request.Body = Options.Body;
    Request.OnDone = [&State, &Clock, Due,
                      IsCounted](const transfer_result &Result) {
      const bool IsSuccess =
          Result.Status == transfer_status::Complete && Result.HttpStatus < 400;
      const std::lock_guard Guard(State.Mutex);
      if (IsCounted)
        State.Report.add(Clock.now() - Due, IsSuccess);
      --State.Open;
      if (State.Open == 0)
        State.Changed.notify_all();
    };
    Client.send(std::move(Request));
  }
  std::unique_lock Lock(State.Mutex);
  Clock.waitUntil(Lock, State.Changed, time_point::max(),
                  [&] { return State.Open == 0; });
  Lock.unlock();
  Client.stop();
  return State.Report;
}
