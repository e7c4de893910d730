#ifndef BW_CUSTOMERS_ALLOWANCES_ALLOWANCE_FLEET_H
#define BW_CUSTOMERS_ALLOWANCES_ALLOWANCE_FLEET_H

#include "bw_core/random/random_source.h"
#include "bw_customers/allowances/host_allowances.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

// Fake of the message paths between the hosts of a fleet, for tests in virtual
// time: the real `host_allowances` of each host, and reports, totals and
// summaries with delays, losses and partitions.
namespace allowance_fleet_fake {

using namespace bw;

struct fleet_options {
  std::size_t Hosts = 30;
  customer_allowance Allowance = {.Rate = request_rate(50), .Burst = 50};
  std::uint64_t Seed = 1;
  /// Share of lost messages, and of messages that are late by up to a second.
  double Loss = 0;
  double Late = 0;
  /// Requests a second that a host is asked for.
  std::function<double(std::size_t Host, double Seconds)> Demand;
  /// Called once at each time, in order.
  std::multimap<double, std::function<void(class fleet &)>> Events = {};
};

struct fleet_request {
  double At = 0;
  std::size_t Host = 0;
  bool IsAdmitted = false;
  /// One bucket for the whole fleet would have admitted the request.
  bool IsAllowed = false;
};

class fleet {
public:
  explicit fleet(fleet_options Given)
      : Options(std::move(Given)), Random(Options.Seed),
        Listed(static_cast<std::uint32_t>(Options.Hosts)) {
    setAllowance(Options.Allowance);
    for (std::size_t Index = 0; Index < Options.Hosts; ++Index)
      addHost();
    for (host &Host : Hosts)
      Host.Heard.assign(Hosts.size(), Now);
  }

  void run(double Seconds) {
    const time_point End = Now + toDuration(Seconds);
    for (; Now < End; Now += Step) {
      while (!Options.Events.empty() &&
             Options.Events.begin()->first <= seconds()) {
        Options.Events.begin()->second(*this);
        Options.Events.erase(Options.Events.begin());
      }
      deliver();
      for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
        if (Hosts[Index].IsUp)
          advance(Index);
    }
  }

  std::size_t size() const { return Hosts.size(); }
  double seconds() const {
    return std::chrono::duration<double>(Now - Start).count();
  }
  const std::vector<fleet_request> &requests() const { return Requests; }

  void kill(std::size_t Index) { Hosts[Index].IsUp = false; }
  void restart(std::size_t Index) {
    host &Host = Hosts[Index];
    Host = makeHost(Index);
    Host.Heard.assign(Hosts.size(), time_point());
  }
  /// Hosts of different sides hear nothing of each other.
  void setSide(std::size_t Index, int Side) { Hosts[Index].Side = Side; }
  /// Adds hosts, which some of the others learn later.
  void addHosts(std::size_t Count) {
    for (std::size_t Added = 0; Added < Count; ++Added) {
      addHost();
      for (host &Host : Hosts)
        Host.Heard.resize(Hosts.size(), time_point());
    }
    Listed = static_cast<std::uint32_t>(Hosts.size());
    for (host &Host : Hosts)
      Host.CountedAt = Now + toDuration(Random.unit() * 5);
  }
  void setAllowance(const customer_allowance &Allowance) {
    Allowed = Allowance;
    Directory = std::make_shared<const customer_directory>(
        std::vector<customer>{{.Name = Customer,
                               .Keys = {},
                               .Priority = {},
                               .Allowance = Allowance}});
    for (host &Host : Hosts)
      Host.Allowances->setCustomers(Directory, Now);
  }

private:
  struct host {
    std::unique_ptr<host_allowances> Allowances;
    bool IsUp = true;
    int Side = 0;
    std::vector<time_point> Heard;
    bool IsAggregator = false;
    std::uint32_t Numbers = 0;
    time_point NextReport{};
    time_point NextIdleReport{};
    time_point NextSummary{};
    time_point NextNotice{};
    time_point CountedAt{};
    time_point TotalsAt{};
    std::map<host_id, report_number> Included;
  };
  using message = std::function<void(host &)>;

  static constexpr duration Step = std::chrono::milliseconds(5);
  static constexpr duration Liveness = std::chrono::milliseconds(2500);

  static duration toDuration(double Seconds) {
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(Seconds));
  }

  std::size_t dataCentres() const { return Options.Hosts < 10 ? 1 : 3; }
  host_id nameOf(std::size_t Index) const {
    return host_id("h" + std::to_string(Index));
  }
  data_centre_id dataCentreOf(std::size_t Index) const {
    return data_centre_id("d" + std::to_string(Index % dataCentres()));
  }

  host makeHost(std::size_t Index) {
    host Result;
    Result.Allowances = std::make_unique<host_allowances>(
        host_allowances_options{.Self = nameOf(Index),
                                .DataCentre = dataCentreOf(Index),
                                .Bounds = {},
                                .Seed = Random.next()});
    Result.Allowances->setCustomers(Directory, Now);
    Result.Allowances->setHosts(Listed, Now);
    Result.NextReport = Now + toDuration(0.08 * Random.unit());
    Result.NextIdleReport = Now;
    return Result;
  }

  void addHost() { Hosts.push_back(makeHost(Hosts.size())); }

  bool isLive(const host &Host, std::size_t Other) const {
    return Host.Heard[Other] != time_point() &&
           Now - Host.Heard[Other] < Liveness;
  }

  std::vector<std::size_t> local(std::size_t Index) const {
    std::vector<std::size_t> Result;
    for (std::size_t Other = Index % dataCentres(); Other < Hosts.size();
         Other += dataCentres())
      if (Other != Index)
        Result.push_back(Other);
    return Result;
  }

  /// The first two live hosts, or all hosts if there is none.
  std::vector<std::size_t> aggregators(const host &Host,
                                       const std::vector<std::size_t> &Of) {
    std::vector<std::size_t> Result;
    for (const std::size_t Other : Of)
      if (Result.size() < 2 && isLive(Host, Other))
        Result.push_back(Other);
    return Result.empty() ? Of : Result;
  }

  void send(std::size_t From, std::size_t To, message Message) {
    if (Hosts[From].Side != Hosts[To].Side || Random.chance(Options.Loss))
      return;
    const bool IsNear = From % dataCentres() == To % dataCentres();
    double Delay = (IsNear ? 0.001 : 0.004) + 0.004 * Random.unit();
    if (Random.chance(Options.Late))
      Delay += Random.unit();
    Messages.emplace(Now + toDuration(Delay),
                     [From, To, Message = std::move(Message), this] {
                       host &Host = Hosts[To];
                       if (!Host.IsUp || Hosts[From].Side != Host.Side)
                         return;
                       Host.Heard[From] = Now;
                       Message(Host);
                     });
  }

  void deliver() {
    while (!Messages.empty() && Messages.begin()->first <= Now) {
      const auto Message = std::move(Messages.begin()->second);
      Messages.erase(Messages.begin());
      Message();
    }
  }

  void advance(std::size_t Index) {
    host &Host = Hosts[Index];
    if (Host.CountedAt <= Now) {
      Host.Allowances->setHosts(Listed, Now);
      Host.CountedAt = time_point::max();
    }
    ask(Index);
    std::size_t Rank = 0;
    for (std::size_t Other = Index % dataCentres(); Other < Index;
         Other += dataCentres())
      Rank += isLive(Host, Other) ? 1 : 0;
    const bool IsFirst = Rank == 0;
    if (Host.IsAggregator != (Rank < 2)) {
      Host.IsAggregator = Rank < 2;
      Host.Allowances->setAggregator(Host.IsAggregator, Now);
    }
    if (Host.IsAggregator && Now >= Host.NextNotice)
      sendNotice(Index);
    if (Now < Host.NextReport)
      return;
    if (!Host.Allowances->hasDemand(Now) && Now < Host.NextIdleReport)
      return;
    Host.NextReport = Now + std::chrono::milliseconds(80);
    Host.NextIdleReport = Now + std::chrono::milliseconds(600);
    sendReport(Index);
    if (Host.IsAggregator &&
        (IsFirst || Now - Host.TotalsAt >= std::chrono::milliseconds(400)))
      sendSums(Index);
  }

  void ask(std::size_t Index) {
    const double Mean = Options.Demand(Index, seconds()) *
                        std::chrono::duration<double>(Step).count();
    for (double Left = Random.exponential(1); Left < Mean;
         Left += Random.exponential(1)) {
      IdealTokens =
          std::min(Allowed.Burst,
                   IdealTokens + Allowed.Rate.value() * (seconds() - IdealAt));
      IdealAt = seconds();
      const bool IsAllowed = IdealTokens >= 1;
      IdealTokens -= IsAllowed ? 1 : 0;
      Requests.push_back(
          {.At = seconds(),
           .Host = Index,
           .IsAdmitted =
               Hosts[Index].Allowances->take(Customer, Now).IsAdmitted,
           .IsAllowed = IsAllowed});
    }
  }

  void sendReport(std::size_t Index) {
    host &Host = Hosts[Index];
    const report_number Number(++Host.Numbers);
    const auto Demands = Host.Allowances->takeReport(Number, Now);
    for (const std::size_t To : aggregators(Host, local(Index)))
      send(Index, To, [=, Name = nameOf(Index), this](host &Receiver) {
        Receiver.Allowances->receiveReport(Name, Number, Demands, Now);
        Receiver.Included[Name] = Number;
      });
  }

  // Aggregators tell their hosts and other aggregators that they are live.
  void sendNotice(std::size_t Index) {
    host &Host = Hosts[Index];
    Host.NextNotice = Now + std::chrono::milliseconds(800);
    for (const std::size_t To : local(Index))
      send(Index, To, [](host &) {});
    for (const std::size_t To : remoteAggregators(Index))
      send(Index, To, [](host &) {});
  }

  std::vector<std::size_t> remoteAggregators(std::size_t Index) {
    std::vector<std::size_t> Result;
    for (std::size_t Other = 0; Other < dataCentres(); ++Other) {
      if (Other == Index % dataCentres())
        continue;
      std::vector<std::size_t> Remote = local(Other);
      Remote.insert(Remote.begin(), Other);
      for (const std::size_t To : aggregators(Hosts[Index], Remote))
        Result.push_back(To);
    }
    return Result;
  }

  void sendSums(std::size_t Index) {
    host &Host = Hosts[Index];
    const auto Totals = Host.Allowances->takeTotals(Now);
    for (const std::size_t To : local(Index))
      send(Index, To,
           [=, Included = Host.Included, Name = nameOf(To),
            this](host &Receiver) {
             Receiver.TotalsAt = Now;
             const auto Own = Included.find(Name);
             if (Totals && Own != Included.end())
               Receiver.Allowances->receiveTotals(Own->second, *Totals, Now);
           });
    if (Now < Host.NextSummary)
      return;
    Host.NextSummary = Now + std::chrono::milliseconds(300);
    const demand_summary Summary = Host.Allowances->takeSummary(Now);
    for (const std::size_t To : remoteAggregators(Index))
      send(Index, To, [=, From = dataCentreOf(Index), this](host &Receiver) {
        Receiver.Allowances->receiveSummary(From, Summary, Now);
      });
  }

  inline static const customer_id Customer{"customer"};
  inline static const time_point Start{std::chrono::seconds(100)};

  fleet_options Options;
  random_source Random;
  std::uint32_t Listed;
  customer_allowance Allowed;
  std::shared_ptr<const customer_directory> Directory;
  std::vector<host> Hosts;
  std::multimap<time_point, std::function<void()>> Messages;
  std::vector<fleet_request> Requests;
  double IdealTokens = Options.Allowance.Burst;
  double IdealAt = 0;
  time_point Now = Start;
};

} // namespace allowance_fleet_fake

#endif
