#include "bw_gateway_daemon/follow/configuration_refusal.h"

#include "bw_kernel/log/log_event.h"

using namespace bw;

void refusal_reporter::report(const configuration_refusal &Refusal) {
  const store_position &Position = Refusal.Position;
  refusal_key Key(Refusal.Object, Position.Era, Position.Revision,
                  Refusal.Field, Refusal.Reason);
  if (Last == Key)
    return;
  Last = std::move(Key);
  logEvent(
      log_event::ConfigurationRefused,
      {{"object", Refusal.Object},
       {"era", std::to_string(Position.Era.value())},
       {"revision", std::to_string(Position.Revision.value())},
       {"version",
        Refusal.Version ? std::to_string(Refusal.Version->value()) : "unknown"},
       {"field", Refusal.Field},
       {"reason", Refusal.Reason}});
  OnRefused(Refusal);
}

// Compares with what this host read from the store, not with the version in
// force: that one may come from another host that read the store earlier.
void refusal_reporter::objectRead(const std::string &Object,
                                  const store_position &Position,
                                  config_version Version) {
  if (!LastValid || LastValid->first.Era < Position.Era) {
    LastValid.emplace(Position, Version);
    return;
  }
  auto &[LastPosition, LastVersion] = *LastValid;
  if (Position == LastPosition || Position.isBefore(LastPosition))
    return;
  LastPosition = Position;
  if (Version <= LastVersion)
    return report({.Object = Object,
                   .Position = Position,
                   .Version = Version,
                   .Field = "version",
                   .Reason = "is not above version " +
                             std::to_string(LastVersion.value())});
  LastVersion = Version;
}
