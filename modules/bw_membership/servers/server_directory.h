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

/// Orders the starts of an instance. The host list need not provide it.
using server_start = strong_number<struct server_start_tag>;

/// Address and port; opaque text that is only compared.
using server_address = strong_text<struct server_address_tag>;

/// An entry of role `backend_server` in the host list.
struct listed_server {
  backend_server_id Server;
  service_id Service;
  data_centre_id DataCentre;
  server_address Address;
  slot_count Slots;
  bool Leaving = false;
  /// 0 if the list does not provide it.
  server_start Start;
  /// Remaining time in which the instance is slow after its start.
  duration ColdRemaining{};
};

/// Evidence that an instance is leaving: its own drain response, or a report of
/// another host. Reports are forwarded unchanged.
struct drain_sign {
  backend_server_id Server;
  server_address Address;
  server_start Start;
};

enum class server_change {
  Added,     ///< accepts requests
  Leaving,   ///< gets no new requests from now on
  Removed,   ///< no longer in the host list
  Restarted, ///< newer start of the instance; accepts requests again
  Changed    ///< slots, service or data centre changed
};

struct server_event {
  server_change Change;
  listed_server Server;
};

struct server_directory_options {
  /// An instance without start numbers counts as restarted if the list showed
  /// it as leaving or not at all, and then as live without interruption for
  /// this time. Must exceed the lag between replicas of the list.
  duration NewStartAfterLive = std::chrono::seconds(30);
  /// Time in which a drain sign is reported to other hosts.
  duration ReportTime = std::chrono::seconds(3);
  /// Maximum number of signs in an exchange, about 40 bytes each.
  std::size_t MaxReports = 16;
  /// Instances that are no longer listed are removed after this time.
  duration ForgetAfter = std::chrono::minutes(10);
};

/// The known backend servers. An instance counts as leaving from the first sign
/// on, even if an outdated list still shows it as live, until a newer start of
/// the instance is certain: by a higher start number, by another address, or by
/// a list that has shown it as leaving or not at all and then as live for
/// `NewStartAfterLive`. Not thread-safe.
class server_directory {
public:
  explicit server_directory(server_directory_options Options = {});

  /// Takes the complete list of backend servers as read now.
  std::vector<server_event> updateList(const std::vector<listed_server> &List,
                                       time_point Now);

  /// Takes a drain response or a report of another host. Signs of an older
  /// start are ignored. A sign for an instance that is not listed yet is kept,
  /// so that an outdated list cannot add the instance as live.
  std::vector<server_event> drainSeen(const drain_sign &Sign, time_point Now);

  /// Signs to include in exchanges with other hosts now.
  std::vector<drain_sign> reports(time_point Now) const;

  /// True if the instance may get new requests.
  bool acceptsRequests(const backend_server_id &Server) const;

  const listed_server *find(const backend_server_id &Server) const;

  /// Instances of the service that may get new requests.
  std::vector<listed_server> usable(const service_id &Service) const;

  /// All listed instances of the service, including leaving ones. Their number
  /// is the base of the ejection floor.
  std::vector<listed_server> listed(const service_id &Service) const;

private:
  struct record {
    listed_server Latest;
    bool Listed = false;
    bool Leaving = false;
    /// The list has shown the instance as leaving, or not at all, since its
    /// last known start.
    bool ListShowedLeaving = false;
    time_point LeavingSince{};
    time_point LiveSince{};
    time_point ListedAt{};
  };

  void applyEntry(const listed_server &Entry, time_point Now,
                  std::vector<server_event> &Events);
  void add(const listed_server &Entry, time_point Now,
           std::vector<server_event> &Events);
  void markUnlisted(record &Record, std::vector<server_event> &Events);
  void markLeaving(record &Record, time_point Now,
                   std::vector<server_event> &Events);
  bool isNewStart(const record &Record, const listed_server &Entry,
                  time_point Now) const;
  void removeExpired(time_point Now);

  server_directory_options Options;
  std::map<backend_server_id, record> Servers;
};

} // namespace bw

#endif
