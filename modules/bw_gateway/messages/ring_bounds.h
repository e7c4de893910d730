/// \file
/// Sizes of the rings between the engine and the forward service. With the
/// bound on the requests in progress, all commands fit into their ring, so the
/// engine never waits for the forward service and the two cannot wait for each
/// other. Events of requests always find a place, too, so they are never
/// dropped.
#ifndef BW_GATEWAY_MESSAGES_RING_BOUNDS_H
#define BW_GATEWAY_MESSAGES_RING_BOUNDS_H

#include <cstddef>

namespace bw {

inline constexpr std::size_t CommandRingCapacity = 8192;
inline constexpr std::size_t EventRingCapacity = 16'384;

/// The most commands for one request that the forward service may not have
/// handled yet. Two attempts are open at a time, so these are two starts, the
/// ends of two attempts and the last command, or `relay_answer`, the end of one
/// attempt and the last command. Exactly one command is the last one.
inline constexpr std::size_t MaxPendingCommands = 5;
/// The most events of one request that the engine may not have handled yet: its
/// arrival, the ends of two attempts, the end of the relay, the caller's
/// leaving.
inline constexpr std::size_t MaxPendingEvents = 5;
/// Places for messages that belong to no request and are rare, such as a new
/// configuration.
inline constexpr std::size_t OtherMessages = 64;
/// Places of an event ring that reports of other hosts may use. They may be
/// lost, unlike other events.
constexpr std::size_t reportPlaces(std::size_t EventCapacity) {
  return EventCapacity - EventCapacity / 2;
}

/// The most requests in progress with a command ring of this capacity.
constexpr std::size_t openRequestLimit(std::size_t CommandCapacity) {
  return CommandCapacity < OtherMessages + MaxPendingCommands
             ? 1
             : (CommandCapacity - OtherMessages) / MaxPendingCommands;
}

static_assert(openRequestLimit(CommandRingCapacity) * MaxPendingCommands +
                  OtherMessages <=
              CommandRingCapacity);
static_assert(openRequestLimit(CommandRingCapacity) * MaxPendingEvents +
                  OtherMessages + reportPlaces(EventRingCapacity) <=
              EventRingCapacity);

} // namespace bw

#endif
