// What servers say of themselves: limits, pauses and leaving.

#include "bw_gateway/servers/server_pool.h"

#include "bw_core/random/stable_hash.h"

#include <algorithm>
#include <cmath>

using namespace bw;

namespace {

// Hosts that share the limit of a server: so many that the load of each is
// small, and so few that each may send again within a second or two.
constexpr double MinLimitShares = 1;

using change_kind = pool_change::kind;

} // namespace

void server_pool::addStatement(const backend_server_id &Server,
                               const server_statement &Statement,
                               time_point SentAt, time_point Now) {
  const auto Found = Indexes.find(Server);
  if (Found == Indexes.end())
    return;
  entry &Entry = Entries[Found->second];
  const bool IsChanged = Entry.Restraint.apply(Statement, SentAt, Now);
  updateRate(Entry, Now);
  if (IsChanged)
    reportLimit(Entry, Now);
  if (Statement.RetryAfter)
    Changes.push_back({.Kind = change_kind::Deferred,
                       .Server = Entry.Server,
                       .RefusesFor = *Statement.RetryAfter});
  if (IsChanged || Statement.RequestLimit || Statement.IsLeaving)
    Exchange.recordStatement(Server, Statement);
}

void server_pool::applyReported(
    const backend_server_id &Server,
    const std::optional<server_statement> &Statement, time_point Now) {
  const auto Found = Indexes.find(Server);
  if (!Statement || Found == Indexes.end())
    return;
  entry &Entry = Entries[Found->second];
  const bool IsChanged = Entry.Restraint.applyReported(*Statement, Now);
  updateRate(Entry, Now);
  if (IsChanged)
    reportLimit(Entry, Now);
}

void server_pool::reportLimit(const entry &Entry, time_point Now) {
  const std::optional<double> Limit = Entry.Restraint.limit(Now);
  change_kind Kind = Limit ? change_kind::Limited : change_kind::LimitEnded;
  if (Entry.Restraint.isLeaving())
    Kind = change_kind::Leaving;
  Changes.push_back({.Kind = Kind,
                     .Server = Entry.Server,
                     .Limit = Limit.value_or(0),
                     .OwnRate = Entry.OwnRate});
}

void server_pool::updateRate(entry &Entry, time_point Now) {
  const std::optional<double> Limit = Entry.Restraint.limit(Now);
  if (!Limit)
    return;
  const double Rate = ownShare(Entry, *Limit);
  if (Rate == Entry.OwnRate)
    return;
  Entry.OwnRate = Rate;
  Entry.Restraint.setRate(Rate, Now);
}

// A few hosts of the server's data centre, chosen by rendezvous hashing among
// those that have requests, share the limit. Equal shares of all hosts would be
// one request in tens of seconds each, and their saved tokens would exceed the
// limit at once. Hosts that see other senders than the rest add at most one
// request and their share.
double server_pool::ownShare(const entry &Entry, double Limit) const {
  const std::vector<host_id> &Senders = Exchange.localSenders();
  if (Senders.empty())
    return Limit / Hosts.Hosts;
  if (Entry.Server.DataCentre != Options.OwnDataCentre)
    return 0;
  const std::uint64_t Server = stableHash(Entry.Server.Server.value());
  const auto ScoreOf = [&](const host_id &Host) {
    return mixHash(Server, stableHash(Host.value()));
  };
  const std::uint64_t Own = ScoreOf(Options.Self);
  const auto Rank =
      std::count_if(Senders.begin(), Senders.end(), [&](const host_id &Each) {
        return Each != Options.Self && ScoreOf(Each) > Own;
      });
  const double Shares =
      std::min(double(Senders.size()), std::ceil(Limit) + MinLimitShares);
  return double(Rank) < Shares ? Limit / Shares : 0;
}

time_point server_pool::nextRequest(const service_id &Service,
                                    time_point Now) const {
  time_point Result = time_point::max();
  const auto Found = Services.find(Service);
  if (Found == Services.end())
    return Result;
  for (const std::uint32_t Index : Found->second)
    if (!Entries[Index].Server.Leaving)
      Result = std::min(Result, Entries[Index].Restraint.nextRequest(Now));
  return Result;
}
