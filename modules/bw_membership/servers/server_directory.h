#ifndef BW_MEMBERSHIP_SERVERS_SERVER_DIRECTORY_H
#define BW_MEMBERSHIP_SERVERS_SERVER_DIRECTORY_H

#include "bw_core/ids/identifiers.h"
#include "bw_core/ids/time.h"
#include "bw_core/ids/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bw {

/// Orders the starts of one instance, if the host list gives such a number.
using server_start = strong_number<struct server_start_tag>;

/// Address and port, as text that is only compared.
using server_address = strong_text<struct server_address_tag>;

/// An entry of role `backend_server` in the host list.
struct listed_server {
  backend_server_id Server;
  service_id Service;
  data_centre_id DataCentre;
  server_address Address;
  slot_count Slots;
  bool Leaving = false;
  /// 0 if the list does not give it.
  server_start Start;
  /// How much longer the instance is slow after its start.
  duration ColdRemaining{};
};

/// A sign that an instance is leaving: its own drain response, or a report of
/// another host. Reports are passed on as they came.
struct drain_sign {
  backend_server_id Server;
  server_address Address;
  server_start Start;
};

enum class server_change {
  Added,     ///< may get work
  Leaving,   ///< gets no new work from now on
  Removed,   ///< dropped by the host list
  Restarted, ///< a newer start of an instance; may get work again
  Changed    ///< slots, service or data centre
};

struct server_event {
  server_change Change;
  listed_server Server;
};

struct server_directory_options {
  /// An instance without start numbers counts as newly started if the list
  /// showed it as leaving or not at all, and then as live for this long without
  /// a break. Longer than replicas of the list lag behind each other.
  duration NewStartAfterLive = std::chrono::seconds(30);
  /// How long a drain sign is reported on to other hosts.
  duration ReportFor = std::chrono::seconds(3);
  /// Signs in one exchange, about 40 bytes each.
  std::size_t ReportPortion = 16;
  /// Instances that the list dropped are forgotten after this long.
  duration ForgetAfter = std::chrono::minutes(10);
};

/// The backend servers. Leaving takes effect with the first sign and is kept
/// against a list that still shows the instance as live, until a newer start
/// of the instance is certain: a higher start number, another address, or a
/// list that knew of the leaving and is steady again. Not thread-safe.
class server_directory {
public:
  explicit server_directory(server_directory_options Options = {});

  /// The whole list of backend servers as read now.
  std::vector<server_event> updateList(const std::vector<listed_server> &List,
                                       time_point Now);

  /// A drain response or a peer's report. Signs of an older start are ignored.
  /// A sign for an instance that is not listed yet is kept, so that a lagging
  /// list cannot add it as live.
  std::vector<server_event> drainSeen(const drain_sign &Sign, time_point Now);

  /// Signs that exchanges shall carry to other hosts now.
  std::vector<drain_sign> reports(time_point Now) const;

  /// True if the instance may get new work.
  bool mayGetWork(const backend_server_id &Server) const;

  const listed_server *find(const backend_server_id &Server) const;

  /// Instances of the service that may get new work.
  std::vector<listed_server> usable(const service_id &Service) const;

  /// All listed instances of the service, leaving ones included: the N of the
  /// ejection floor.
  std::vector<listed_server> listed(const service_id &Service) const;

private:
  struct record {
    listed_server Latest;
    bool Listed = false;
    bool Leaving = false;
    /// The list itself has shown the leaving since the first sign of it.
    bool ListAgrees = false;
    time_point FirstSign{};
    time_point LiveSince{};
    time_point ListedAt{};
  };

  void show(const listed_server &Shown, time_point Now,
            std::vector<server_event> &Events);
  void add(const listed_server &Shown, time_point Now,
           std::vector<server_event> &Events);
  void drop(record &Record, std::vector<server_event> &Events);
  void leave(record &Record, time_point Now, std::vector<server_event> &Events);
  bool isNewStart(const record &Record, const listed_server &Shown,
                  time_point Now) const;
  void forget(time_point Now);

  server_directory_options Options;
  std::map<backend_server_id, record> Servers;
};

} // namespace bw

#endif
