#include "bw_kernel/log/log_writer.h"

#include "bw_kernel/log/log_event.h"

#include <algorithm>
#include <cstdio>
#include <ctime>

using namespace bw;

namespace {

void writeToStandardOutput(const std::string &Text) {
  std::fwrite(Text.data(), 1, Text.size(), stdout);
  std::fflush(stdout);
}

std::string timeText() {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  const auto Milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(Now).count();
  constexpr std::int64_t PerSecond = 1000;
  const std::time_t Seconds = Milliseconds / PerSecond;
  std::tm Utc{};
  ::gmtime_r(&Seconds, &Utc);
  char Text[64];
  std::snprintf(Text, sizeof Text, "%04d-%02d-%02dT%02d:%02d:%02d.%03dZ",
                Utc.tm_year + 1900, Utc.tm_mon + 1, Utc.tm_mday, Utc.tm_hour,
                Utc.tm_min, Utc.tm_sec,
                static_cast<int>(Milliseconds % PerSecond));
  return Text;
}

} // namespace

log_writer::log_writer(runtime_clock &Clock, log_writer_options GivenOptions)
    : service(std::string(ServiceName)), Clock(Clock),
      Options(std::move(GivenOptions)),
      Lines(Clock, {.Capacity = Options.Capacity,
                    .Overflow = overflow_policy::Refuse}),
      Tokens(Options.Burst), Filled(Clock.now()) {
  if (!Options.Write)
    Options.Write = writeToStandardOutput;
}

log_writer::~log_writer() { stop(); }

void log_writer::attach(service_registry &) {}

void log_writer::start() {
  setLogSink([this](std::string Line) { add(std::move(Line)); });
  Thread = std::thread([this] { run(); });
}

void log_writer::stop() {
  if (!Thread.joinable())
    return;
  setLogSink(nullptr);
  {
    const std::lock_guard Guard(Mutex);
    Stopping = true;
    Stopped.notify_all();
  }
  Lines.close();
  Thread.join();
}

bool log_writer::takeToken() {
  const std::lock_guard Guard(RateMutex);
  const time_point Now = Clock.now();
  const double Seconds = std::chrono::duration<double>(Now - Filled).count();
  Filled = Now;
  Tokens = std::min(Options.Burst, Tokens + Seconds * Options.LinesPerSecond);
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

bool log_writer::add(std::string Line) {
  if (takeToken() && Lines.tryPush(timeText() + " host=" + Options.Host + " " +
                                   std::move(Line)))
    return true;
  ++Dropped;
  return false;
}

void log_writer::run() {
  while (auto First = Lines.pop()) {
    {
      std::unique_lock Lock(Mutex);
      Clock.waitUntil(Lock, Stopped, Clock.now() + Options.GatherTime,
                      [this] { return Stopping; });
    }
    std::string Text = std::move(*First) + "\n";
    std::uint64_t Count = 1;
    while (auto Next = Lines.tryPop()) {
      Text += *Next + "\n";
      ++Count;
    }
    const std::uint64_t DroppedNow = Dropped.load();
    if (DroppedNow != ToldDropped) {
      Text +=
          timeText() + " host=" + Options.Host + " " +
          formatLogLine(log_event::LogLinesDropped,
                        {{"count", std::to_string(DroppedNow - ToldDropped)}}) +
          "\n";
      ToldDropped = DroppedNow;
    }
    Options.Write(Text);
    Written += Count;
  }
}
