#include "bw_admission/queue/admission_queue.h"

#include <algorithm>
#include <cmath>

using namespace bw;

namespace {

// Less urgent levels together get this share of the starts, so that no load of
// urgent requests, however long, leaves them without any.
constexpr std::uint64_t StartsPerTurn = 4;
// Time constant of the rate of starts. A host with ten requests a second sees
// enough of them in it.
constexpr duration RateTime = std::chrono::seconds(1);
// The drain time of a queue without starts is not known; callers are told this.
constexpr duration MaxDrainTime = std::chrono::seconds(5);
// Callers of one overload must not all come back at the same time.
constexpr double RetrySpread = 0.5;

double seconds(duration Time) {
  return std::chrono::duration<double>(Time).count();
}

duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace

admission_queue::place
admission_queue::placeOf(const waiting_request &Request) {
  return {.IsNew = !Request.HasComeBack,
          .LatestStart = Request.LatestStart,
          .Number = Request.Number};
}

void admission_queue::add(waiting_request Request) {
  remove(Request.Number);
  const waiting_number Number = Request.Number;
  const auto [Level, IsNewLevel] = Levels.try_emplace(Request.Urgency);
  if (IsNewLevel)
    Level->second.ServedAt = Starts;
  const auto [Customer, IsNewCustomer] =
      Level->second.Customers.try_emplace(Request.Customer);
  if (IsNewCustomer)
    Level->second.Turns.push_back(Request.Customer);
  Customer->second.insert(placeOf(Request));
  ++Level->second.Size;
  Level->second.LastUsefulStart =
      std::max(Level->second.LastUsefulStart, Request.UsefulStart);
  Expiries.emplace(Request.LatestStart, Number);
  Requests.emplace(Number, std::move(Request));
}

std::vector<waiting_request> admission_queue::takeExcess(time_point Now) {
  std::vector<waiting_request> Result;
  for (auto Level = Levels.begin(); Level != Levels.end();) {
    // The level ends with its last request.
    const auto Next = std::next(Level);
    const std::size_t Length = Level->second.Size;
    for (std::size_t Excess = Length - std::min(Length, maxLength(*Level, Now));
         Excess > 0; --Excess) {
      Result.push_back(Requests.at(last(Level->second)));
      remove(Result.back().Number);
    }
    Level = Next;
  }
  return Result;
}

void admission_queue::remove(waiting_number Number) {
  const auto Found = Requests.find(Number);
  if (Found == Requests.end())
    return;
  const waiting_request &Request = Found->second;
  Expiries.erase({Request.LatestStart, Number});
  const auto Level = Levels.find(Request.Urgency);
  const auto Customer = Level->second.Customers.find(Request.Customer);
  Customer->second.erase(placeOf(Request));
  --Level->second.Size;
  if (Customer->second.empty()) {
    std::erase(Level->second.Turns, Customer->first);
    Level->second.Customers.erase(Customer);
  }
  if (Level->second.Customers.empty())
    Levels.erase(Level);
  Requests.erase(Found);
}

// Answers an overload that lasts: if all may wait until their deadlines, all
// are served late. So only as many wait as are started while their answers meet
// the target latency, and others can go elsewhere or come back.
std::size_t admission_queue::maxLength(const level_map::value_type &Level,
                                       time_point Now) const {
  const double Time =
      seconds(std::max(duration(), Level.second.LastUsefulStart - Now));
  const double Length = startRate(Level.first, Now) * Time;
  return std::clamp(
      Length < double(Options.MaxLength) ? static_cast<std::size_t>(Length)
                                         : Options.MaxLength,
      std::min(Options.MinLength, Options.MaxLength), Options.MaxLength);
}

// Answers one customer with many times its usual load: the last in order is the
// last one of the customer with the most waiting requests, so others do not
// give way to it.
waiting_number admission_queue::last(const level &Level) {
  const auto Largest =
      std::max_element(Level.Customers.begin(), Level.Customers.end(),
                       [](const auto &Left, const auto &Right) {
                         return Left.second.size() < Right.second.size();
                       });
  return Largest->second.rbegin()->Number;
}

std::vector<waiting_request> admission_queue::takeExpired(time_point Now) {
  std::vector<waiting_request> Result;
  while (!Expiries.empty() && Expiries.begin()->first <= Now) {
    Result.push_back(Requests.at(Expiries.begin()->second));
    remove(Result.back().Number);
  }
  return Result;
}

std::vector<waiting_request> admission_queue::takeAll() {
  return takeExpired(time_point::max());
}

time_point admission_queue::nextExpiry() const {
  return Expiries.empty() ? time_point::max() : Expiries.begin()->first;
}

admission_queue::level_map::iterator admission_queue::turn() {
  if (Levels.size() < 2)
    return Levels.end();
  const auto Oldest =
      std::min_element(std::next(Levels.begin()), Levels.end(),
                       [](const auto &Left, const auto &Right) {
                         return Left.second.ServedAt < Right.second.ServedAt;
                       });
  // The turn is due when no less urgent level was served for three starts.
  const bool IsDue = std::all_of(
      std::next(Levels.begin()), Levels.end(), [this](const auto &Each) {
        return Starts - Each.second.ServedAt >= StartsPerTurn - 1;
      });
  return IsDue ? Oldest : Levels.end();
}

void admission_queue::start(const start_hook &Start, time_point Now) {
  auto Level = Levels.begin();
  while (Level != Levels.end()) {
    const auto Turn = turn();
    if (Turn != Levels.end()) {
      // Without room for this request there is none for any other.
      if (!startFirst(Turn, true, Start, Now))
        return;
      Level = Levels.begin();
      continue;
    }
    const urgency Urgency = Level->first;
    if (startFirst(Level, false, Start, Now))
      Level = Levels.lower_bound(Urgency);
    else
      ++Level;
  }
}

bool admission_queue::startFirst(level_map::iterator Level, bool IsTurn,
                                 const start_hook &Start, time_point Now) {
  const urgency Urgency = Level->first;
  const customer_id Customer = Level->second.Turns.front();
  const waiting_number Number =
      Level->second.Customers.at(Customer).begin()->Number;
  const start_result Result = Start(Requests.at(Number), IsTurn);
  if (Result == start_result::NoRoom)
    return false;
  remove(Number);
  if (Result == start_result::Refused)
    return true;
  recordStart(Urgency, Now);
  const auto Left = Levels.find(Urgency);
  if (Left == Levels.end())
    return true;
  Left->second.ServedAt = Starts;
  std::deque<customer_id> &Turns = Left->second.Turns;
  if (Turns.front() == Customer) {
    Turns.push_back(Customer);
    Turns.pop_front();
  }
  return true;
}

void admission_queue::recordStart(urgency Urgency, time_point Now) {
  ++Starts;
  const double Rate = startRate(Urgency, Now);
  Rates[Urgency] = {.Recent = Rate * seconds(RateTime) + 1, .At = Now};
}

double admission_queue::startRate(urgency Urgency, time_point Now) const {
  const auto Found = Rates.find(Urgency);
  if (Found == Rates.end())
    return 0;
  const auto &[Recent, At] = Found->second;
  return Recent * std::exp(-seconds(Now - At) / seconds(RateTime)) /
         seconds(RateTime);
}

duration admission_queue::drainTime(urgency Urgency, time_point Now) const {
  const auto Level = Levels.find(Urgency);
  if (Level == Levels.end())
    return {};
  const double Rate = startRate(Urgency, Now);
  const double Longest = seconds(MaxDrainTime);
  const auto Size = double(Level->second.Size);
  return fromSeconds(Size < Longest * Rate ? Size / Rate : Longest);
}

duration admission_queue::retryAfter(urgency Urgency, retry_bounds Bounds,
                                     time_point Now,
                                     random_source &Random) const {
  const duration Longest = fromSeconds(seconds(Bounds.Max) / (1 + RetrySpread));
  const duration Base =
      std::max(Bounds.Min, std::min(drainTime(Urgency, Now), Longest));
  return Base + fromSeconds(RetrySpread * Random.unit() * seconds(Base));
}
