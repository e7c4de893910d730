#include "bw_gateway_daemon/follow/host_announcement.h"

using namespace bw;

bool bw::announceHost(const platform_source &Source, const gateway_host &Self,
                      const era_check &IsUsable) {
  const auto IsAnswered = [&](const host_write &Answer) {
    return Answer.End != host_write_end::Unavailable && IsUsable(Answer.Era);
  };
  // A position of an earlier era must not become the condition of a write: the
  // store may have given out its revision again.
  const host_write Created = Source.CreateHost(Self);
  if (!IsAnswered(Created))
    return false;
  if (Created.End == host_write_end::Written || Created.Stored == Self)
    return true;
  // A restarted host may have different addresses, and another writer may have
  // changed the entry.
  const host_write Replaced = Source.ReplaceHost(Self, Created.StoredPosition);
  return IsAnswered(Replaced) && Replaced.End == host_write_end::Written;
}
