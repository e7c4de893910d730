#include "bw_core/ids/identifiers.h"

#include "bw_core/random/stable_hash.h"

std::string bw::request_id::text() const {
  return Entry.Host.value() + "." + std::to_string(Entry.Incarnation.value()) +
         "." + std::to_string(Sequence.value());
}

std::string bw::attempt_id::text() const {
  return Request.text() + "." + std::to_string(Attempt.value());
}

std::size_t
std::hash<bw::daemon_id>::operator()(const bw::daemon_id &Id) const {
  return bw::mixHash(std::hash<bw::host_id>()(Id.Host), Id.Incarnation.value());
}

std::size_t
std::hash<bw::request_id>::operator()(const bw::request_id &Id) const {
  return bw::mixHash(std::hash<bw::daemon_id>()(Id.Entry), Id.Sequence.value());
}

std::size_t
std::hash<bw::attempt_id>::operator()(const bw::attempt_id &Id) const {
  return bw::mixHash(std::hash<bw::request_id>()(Id.Request),
                     Id.Attempt.value());
}
