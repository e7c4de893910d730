#include "tests/soak/soak_crowds.h"

#include "bw_core/random/stable_hash.h"
#include "tests/harness/harness_error.h"
#include "tests/soak/soak_caller.h"
#include "tests/soak/soak_operators.h"

using namespace bw;
using namespace bw::soak;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t CrowdStream = 77;
constexpr duration MeanCrowdGap = 4s;
// Few enough that the servers keep slots for other callers.
constexpr std::size_t CrowdSize = 6;
constexpr int RequestsPerClient = 8;
constexpr std::size_t ResponseSize = 1'000'000;
constexpr byte_count SlowReadPerRound = kibibytes(20);
constexpr int FewestRounds = 10;
constexpr int MostRounds = 40;
constexpr duration ClientDeadline = 4s;

} // namespace

soak_crowds::soak_crowds(soak_course &Course, soak_hosts &Hosts)
    : Course(Course), Hosts(Hosts),
      Random(mixHash(Course.Options.Seed, CrowdStream)) {}

void soak_crowds::plan(time_point First, time_point Last) {
  for (time_point When = First; When < Last;
       When += std::chrono::duration_cast<duration>(MeanCrowdGap *
                                                    Random.exponential(1)))
    Course.at(When, [this] { begin(); });
}

void soak_crowds::begin() {
  const soak_host &Host = Hosts.pickReady(Random);
  const bool IsReading = Random.chance(0.5);
  const int Rounds =
      FewestRounds + int(Random.below(MostRounds - FewestRounds + 1));
  const std::string Name = "s" + std::to_string(++Begun);
  Course.note("crowd " + Name + " at " + Host.Id.value() +
              (IsReading ? " reads slowly" : " reads nothing"));
  slow_clients::crowd_options Options{
      .Size = CrowdSize,
      .Request = {},
      .RequestOf =
          [this, Id = Host.Id, Name](std::size_t Client) {
            return requests(Id, Name + "c" + std::to_string(Client));
          },
      .ReadPerRound = IsReading ? SlowReadPerRound : byte_count(),
      .Rounds = Rounds};
  Threads.emplace_back(
      [this,
       Address = slow_clients::caller_address{.Ip = Host.Address.Ip,
                                              .Port = Host.Address.Port},
       Options = std::move(Options)] { play(Address, Options); });
}

void soak_crowds::play(const slow_clients::caller_address &Address,
                       const slow_clients::crowd_options &Options) {
  try {
    slow_clients::crowd Crowd(Address, Options);
    ++Connected;
    Crowd.play([] {});
  } catch (const harness::harness_error &) {
    // Another fault has stopped the host.
    return;
  }
}

// The checker does not see the responses, but what servers get must have been
// asked.
std::string soak_crowds::requests(const host_id &Host,
                                  const std::string &Name) {
  std::string Result;
  for (int Number = 1; Number <= RequestsPerClient; ++Number) {
    const request_label Label(Name + "n" + std::to_string(Number));
    const asked_request Request{.Label = Label,
                                .Host = Host,
                                .Method = "GET",
                                .Target = "/export/x/" +
                                          std::to_string(ResponseSize) + "/" +
                                          Label.value(),
                                .IsPublic = true,
                                .IsRepeatable = true,
                                .Services = {Records, Archive},
                                .At = Course.Clock.now()};
    Course.Checker.asked(Request);
    Result += requestText(Request, Course.Names, ClientDeadline);
  }
  return Result;
}

void soak_crowds::end() {
  for (std::thread &Each : Threads)
    Each.join();
  Threads.clear();
}
