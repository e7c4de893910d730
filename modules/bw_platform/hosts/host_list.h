#ifndef BW_PLATFORM_HOSTS_HOST_LIST_H
#define BW_PLATFORM_HOSTS_HOST_LIST_H

#include "bw_core/errors/error.h"
#include "bw_core/ids/identifiers.h"
#include "bw_core/ids/units.h"
#include "bw_json/stream/json_stream.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bw {

enum class listed_role { Host, BackendServer };

/// One entry of the platform's host list.
struct host_list_entry {
  /// A `host_id` or a `backend_server_id`, by role.
  std::string Name;
  listed_role Role = listed_role::Host;
  /// Empty for hosts.
  service_id Service;
  data_centre_id DataCentre;
  std::string Address;
  std::uint16_t Port = 0;
  /// 0 for hosts.
  slot_count Slots;
  bool IsLeaving = false;

  friend bool operator==(const host_list_entry &,
                         const host_list_entry &) = default;
};

struct host_list {
  std::vector<host_list_entry> Hosts;
  /// Why other entries were left out, with the entry and the field; the first
  /// `MaxReasons` of them.
  std::vector<std::string> Malformed;
  static constexpr std::size_t MaxReasons = 16;
};

/// A host list that cannot be used.
class host_list_error : public error {
public:
  explicit host_list_error(const std::string &Reason);
  std::string_view code() const override { return "host_list_invalid"; }
};

/// Reads the JSON of `GET /v1/hosts`, part by part. Leaves out unknown fields,
/// since the platform may add some, and entries that do not describe a host.
/// Holds nothing of what it leaves out.
class host_list_reader {
public:
  host_list_reader();
  host_list_reader(const host_list_reader &) = delete;
  host_list_reader &operator=(const host_list_reader &) = delete;

  void write(std::string_view Part) { Stream.write(Part); }
  /// \throws host_list_error if the text is no host list, or has more hosts
  /// than any platform
  host_list finish();

private:
  void readEntry(const json_element &Element);

  host_list Result;
  std::set<std::string> Names;
  bool IsTooLong = false;
  json_stream Stream;
};

/// Reads a whole list that is in memory.
/// \throws host_list_error
host_list decodeHostList(std::string_view Json);

} // namespace bw

#endif
