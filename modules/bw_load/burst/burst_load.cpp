#include "bw_load/burst/burst_load.h"

#include "bw_forward/parser/http1_parser.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

using namespace bw;
using asio::ip::tcp;

namespace {

constexpr int FirstErrorStatus = 400;
constexpr int Unavailable = 503;

std::string repeat(const std::string &Text, std::size_t Count) {
  std::string Result;
  Result.reserve(Text.size() * Count);
  for (std::size_t Index = 0; Index < Count; ++Index)
    Result += Text;
  return Result;
}

// Counts on the one thread that runs the burst.
struct burst_counts {
  burst_report Report;
  std::size_t Open = 0;
  std::function<void()> OnAllEnded = [] {};
};

class burst_connection : public std::enable_shared_from_this<burst_connection> {
public:
  burst_connection(asio::io_context &Context, burst_counts &Counts,
                   const std::string &Requests, std::size_t Wanted)
      : Socket(Context), Counts(Counts), Requests(Requests), Missing(Wanted),
        Parser(http1_side::Response, {.OnHead = [this](const http1_head &Head) {
                 Status = Head.Status;
                 return true;
               }}) {}

  void start(const tcp::endpoint &Target) {
    Socket.async_connect(
        Target, [Self = shared_from_this()](asio::error_code Code) {
          if (Code)
            return Self->end(Self->Counts.Report.Closed);
          Self->read();
          asio::async_write(Self->Socket, asio::buffer(Self->Requests),
                            [Self](asio::error_code, std::size_t) {});
        });
  }

  void endAtLimit() { end(Counts.Report.Overdue); }

private:
  void read() {
    Socket.async_read_some(
        asio::buffer(Buffer),
        [Self = shared_from_this()](asio::error_code Code, std::size_t Size) {
          if (Code)
            return Self->end(Self->Counts.Report.Closed);
          Self->parse({Self->Buffer.data(), Size});
        });
  }

  void parse(std::string_view Bytes) {
    while (!Bytes.empty() && Missing > 0) {
      const parse_result Result = Parser.feed(Bytes);
      Bytes.remove_prefix(Result.Taken);
      if (Result.Status == parse_status::Complete)
        count();
      else if (Result.Status != parse_status::NeedsMore)
        return end(Counts.Report.Failed);
    }
    if (Missing == 0)
      return end(Counts.Report.Closed);
    read();
  }

  void count() {
    --Missing;
    burst_report &Report = Counts.Report;
    ++(Status < FirstErrorStatus ? Report.Succeeded
       : Status == Unavailable   ? Report.Refused
                                 : Report.Failed);
  }

  // Adds the requests without a response to the given count.
  void end(std::size_t &Count) {
    if (HasEnded)
      return;
    HasEnded = true;
    Count += std::exchange(Missing, 0);
    asio::error_code Ignored;
    Socket.close(Ignored);
    if (--Counts.Open == 0)
      Counts.OnAllEnded();
  }

  tcp::socket Socket;
  burst_counts &Counts;
  const std::string &Requests;
  std::size_t Missing;
  http1_parser Parser;
  std::array<char, 4096> Buffer{};
  int Status = 0;
  bool HasEnded = false;
};

} // namespace

burst_report bw::runBurst(const burst_options &Options) {
  const auto Start = std::chrono::steady_clock::now();
  asio::io_context Context(1);
  burst_counts Counts;
  const std::size_t Most =
      std::max<std::size_t>(1, Options.RequestsPerConnection);
  const std::string Full = repeat(Options.Request, Most);
  const std::string Last = repeat(Options.Request, Options.Requests % Most);
  std::vector<std::shared_ptr<burst_connection>> Connections;
  for (std::size_t Left = Options.Requests; Left > 0;) {
    const std::size_t Count = std::min(Left, Most);
    Connections.push_back(std::make_shared<burst_connection>(
        Context, Counts, Count == Most ? Full : Last, Count));
    Left -= Count;
  }
  Counts.Open = Connections.size();
  asio::steady_timer Limit(Context, Start + Options.Limit);
  Limit.async_wait([&](asio::error_code Cancelled) {
    if (!Cancelled)
      for (const auto &Each : Connections)
        Each->endAtLimit();
  });
  Counts.OnAllEnded = [&] { Limit.cancel(); };
  const tcp::endpoint Target(asio::ip::make_address(Options.Ip), Options.Port);
  for (const auto &Each : Connections)
    Each->start(Target);
  if (!Connections.empty())
    Context.run();
  Counts.Report.Elapsed = std::chrono::steady_clock::now() - Start;
  return Counts.Report;
}

std::string burst_report::text(const std::string &Prefix) const {
  std::string Result;
  const auto Line = [&](const char *Name, std::size_t Value) {
    Result += fmt::format("{}.{} {} requests\n", Prefix, Name, Value);
  };
  Line("succeeded", Succeeded);
  Line("refused", Refused);
  Line("failed", Failed);
  Line("closed", Closed);
  Line("overdue", Overdue);
  Result += fmt::format("{}.elapsed {:.3f} s\n", Prefix,
                        std::chrono::duration<double>(Elapsed).count());
  return Result;
}
