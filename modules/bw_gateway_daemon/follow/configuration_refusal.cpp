#include "bw_gateway_daemon/follow/configuration_refusal.h"

#include "bw_kernel/log/log_event.h"

using namespace bw;

void refusal_reporter::report(const configuration_refusal &Refusal) {
  refusal_key Key(Refusal.Object, Refusal.Revision, Refusal.Field,
                  Refusal.Reason);
  if (Last == Key)
    return;
  Last = std::move(Key);
  logEvent(
      log_event::ConfigurationRefused,
      {{"object", Refusal.Object},
       {"revision", std::to_string(Refusal.Revision.value())},
       {"version",
        Refusal.Version ? std::to_string(Refusal.Version->value()) : "unknown"},
       {"field", Refusal.Field},
       {"reason", Refusal.Reason}});
  OnRefused(Refusal);
}

// Compares with what this host read from the store, not with the version in
// force: that one may come from another host that read the store earlier.
void refusal_reporter::objectRead(const std::string &Object,
                                  store_revision Revision,
                                  config_version Version) {
  if (!LastValid) {
    LastValid.emplace(Revision, Version);
    return;
  }
  auto &[LastRevision, LastVersion] = *LastValid;
  if (Revision <= LastRevision)
    return;
  LastRevision = Revision;
  if (Version <= LastVersion)
    return report({.Object = Object,
                   .Revision = Revision,
                   .Version = Version,
                   .Field = "version",
                   .Reason = "is not above version " +
                             std::to_string(LastVersion.value())});
  LastVersion = Version;
}
