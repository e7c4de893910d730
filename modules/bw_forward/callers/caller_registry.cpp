#include "bw_forward/callers/caller_registry.h"

using namespace bw;

bool caller_registry::makeRoom() {
  while (!Budget.hasRoomForCaller()) {
    const auto Idle = Budget.longestIdleCaller();
    if (!Idle)
      return false;
    const connection_pointer Connection = Callers.at(*Idle);
    Connection->closeForLimit(close_reason::Idle);
  }
  return true;
}

void caller_registry::add(const connection_pointer &Connection) {
  Callers.emplace(Connection->number(), Connection);
}

void caller_registry::remove(const caller_connection &Connection) {
  Callers.erase(Connection.number());
}

void caller_registry::resetOverLimit(time_point Now) {
  while (const auto Number = Budget.callerToReset(Now)) {
    const connection_pointer Connection = Callers.at(*Number);
    Connection->closeForLimit(close_reason::HoldsMost);
  }
}

void caller_registry::checkTimeouts(time_point Now) {
  for (const connection_pointer &Each : all())
    Each->checkTimeouts(Now);
}

void caller_registry::closeWhenIdle() {
  for (const connection_pointer &Each : all())
    Each->closeWhenIdle();
}

std::vector<caller_registry::connection_pointer> caller_registry::all() const {
  std::vector<connection_pointer> Result;
  Result.reserve(Callers.size());
  for (const auto &[Number, Connection] : Callers)
    Result.push_back(Connection);
  return Result;
}
