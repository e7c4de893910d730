#include "bw_platform/fuzz/host_list_check.h"

#include "bw_platform/hosts/host_list.h"

#include <cstdlib>

using namespace bw;

void bw::checkHostListDecoder(std::string_view Input) {
  try {
    for (const host_list_entry &Entry :
         decodeHostList(std::string(Input)).Hosts)
      if (Entry.Name.empty() || Entry.Address.empty() || Entry.Port == 0)
        std::abort();
  } catch (const host_list_error &) {
    return;
  }
}
