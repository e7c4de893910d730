#include "bw_gateway_fleet/fleet/fleet_server.h"

#include "bw_gateway_fleet/fleet/fleet_rules.h"

#include <algorithm>
#include <cmath>

using namespace bw;
using namespace std::chrono_literals;

namespace {

constexpr int Served = 200;
constexpr int Failed = 500;
constexpr int Declined = 503;
constexpr double BurstFailureShare = 0.75;
constexpr duration BurstLength = 1s;
// A server that has just started takes twice as long.
constexpr duration ColdTime = 3s;
constexpr double ColdSlowness = 2;
// A server declines requests beyond this queue.
constexpr std::size_t QueueLimit = 8;
// Standard deviation of the logarithm of the service time.
constexpr double WorkSpread = 0.3;

duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace

fleet_server::fleet_server(const fleet_options &Options, event_queue &Queue,
                           random_source &Random, bool IsBursty,
                           time_point Started)
    : Options(Options), Queue(Queue), Random(Random), IsBursty(IsBursty),
      BurstPeriod(9s + fromSeconds(3 * Random.unit())),
      BurstPhase(fromSeconds(12 * Random.unit())), Started(Started) {}

bool fleet_server::isInBurst(time_point Now) const {
  return IsBursty &&
         (Now.time_since_epoch() + BurstPhase) % BurstPeriod < BurstLength;
}

bool fleet_server::isSound(time_point Now) const {
  if (!IsUp || Now < FaultEnd + fleet_rules::SoundAfterFault)
    return false;
  const duration SinceBurst =
      (Now.time_since_epoch() + BurstPhase) % BurstPeriod;
  return !IsBursty ||
         SinceBurst >= BurstLength + fleet_rules::SoundAfterOwnFailure;
}

void fleet_server::receive(const fleet_attempt_pointer &Attempt) {
  LastArrival = Queue.now();
  const time_point Now = Queue.now();
  if (Now < RefusalEnd) {
    server_statement Refusal = statement(Now);
    Refusal.RetryAfter = RefusalPause;
    return Attempt->OnEnd(attempt_outcome::NotExecuted, Declined, Refusal);
  }
  if (Busy < Options.Slots)
    return work(Attempt);
  if (Waiting.size() >= QueueLimit)
    return Attempt->OnEnd(attempt_outcome::NotExecuted, Declined,
                          statement(Now));
  Waiting.push_back(Attempt);
}

void fleet_server::work(const fleet_attempt_pointer &Attempt) {
  const time_point Now = Queue.now();
  ++Busy;
  double FailureShare = Options.HealthyFailureShare;
  if (isInBurst(Now))
    FailureShare = BurstFailureShare;
  double Seconds = Options.WorkSeconds * std::exp(WorkSpread * Random.normal());
  if (Now < Started + ColdTime)
    Seconds *= ColdSlowness;
  if (Now < FaultEnd) {
    FailureShare = std::max(FailureShare, GrayShare);
    Seconds *= Slowness;
  }
  const bool IsFailing = Random.chance(FailureShare);
  Queue.after(fromSeconds(Seconds), [this, Attempt, IsFailing] {
    if (!IsUp)
      return;
    --Busy;
    Attempt->OnEnd(attempt_outcome::Answered, IsFailing ? Failed : Served,
                   statement(Queue.now()));
    while (!Waiting.empty() && Busy < Options.Slots) {
      const fleet_attempt_pointer Next = Waiting.front();
      Waiting.pop_front();
      if (!Next->IsCancelled)
        work(Next);
    }
  });
}

void fleet_server::crash() {
  IsUp = false;
  Waiting.clear();
}

void fleet_server::fail(double Share, time_point Until) {
  GrayShare = Share;
  Slowness = 1;
  FaultEnd = Until;
}

void fleet_server::slow(double Factor, time_point Until) {
  GrayShare = 0;
  Slowness = Factor;
  FaultEnd = Until;
}

void fleet_server::limit(double Rate, time_point Until) {
  Limit = Rate;
  LimitEnd = Until;
}

void fleet_server::refuse(duration Pause, time_point Until) {
  RefusalPause = Pause;
  RefusalEnd = Until;
}

server_statement fleet_server::statement(time_point Now) const {
  server_statement Result{
      .RequestLimit = {}, .IsLeaving = IsLeaving, .RetryAfter = {}};
  if (Now < LimitEnd)
    Result.RequestLimit = Limit;
  return Result;
}
