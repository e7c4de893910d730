// What a run promises to customers: whose requests run, under which name, and
// until when.

#include "tests/soak/promise_checker.h"

#include <algorithm>

using namespace bw;
using namespace bw::soak;

namespace {

constexpr int Unauthenticated = 401;

std::string milliseconds(duration Time) {
  return std::to_string(
             std::chrono::duration_cast<std::chrono::milliseconds>(Time)
                 .count()) +
         " ms";
}

} // namespace

void promise_checker::keyWritten(const std::string &Key,
                                 const customer_id &Customer, time_point At) {
  const std::lock_guard Guard(Mutex);
  Keys[Key] = {.Customer = Customer, .Written = At};
}

void promise_checker::keyWithdrawn(const std::string &Key, time_point At) {
  const std::lock_guard Guard(Mutex);
  Keys.at(Key).Withdrawn = At;
}

void promise_checker::checkCustomer(const server_arrival &Arrival,
                                    const asked_request &Asked) {
  if (Keys.empty())
    return;
  std::vector<std::string> Names;
  for (const http_header &Field : Arrival.Headers.fields()) {
    if (equalsIgnoringCase(Field.Name, Bounds.CustomerField))
      Names.push_back(Field.Value);
    for (const auto &[Key, Record] : Keys)
      if (Field.Value.find(Key) != std::string::npos)
        add("KEY", "a server got a key in the field " + Field.Name, Asked.Label,
            Arrival.At);
  }
  const auto Key = Keys.find(Asked.Key);
  const bool IsAnonymous = Names.empty() && Asked.IsPublic;
  const bool IsNamed = Key != Keys.end() && Names.size() == 1 &&
                       Names[0] == Key->second.Customer.value();
  if (!IsAnonymous && !IsNamed)
    add("CUSTOMER", "a server got it under another name than the key's",
        Asked.Label, Arrival.At);
  if (Key == Keys.end() || !Key->second.Withdrawn || Asked.IsPublic)
    return;
  const time_point Withdrawn = *Key->second.Withdrawn;
  const bool IsPastRevocation =
      Bounds.Revocation && Arrival.At > Withdrawn + *Bounds.Revocation + Late;
  // Without the bound, hosts that follow the store know the version.
  const bool IsKnownVersion =
      Asked.At > Withdrawn + Bounds.Configuration + Late &&
      isInTouch(Asked.Host, Asked.At);
  if (IsPastRevocation || IsKnownVersion)
    add("REVOKED",
        "a server got it " + milliseconds(Arrival.At - Withdrawn) +
            " after its key was withdrawn",
        Asked.Label, Arrival.At);
}

// 401 is final for its caller.
void promise_checker::checkUnauthenticated(const seen_answer &Answer,
                                           const request_record &Record) {
  const asked_request &Asked = Record.Asked;
  if (Answer.Status != Unauthenticated || Keys.empty())
    return;
  ++UnauthenticatedCount;
  const auto Key = Keys.find(Asked.Key);
  const bool IsKnown = Key != Keys.end() && !Key->second.Withdrawn;
  // A host that is not in touch may know only versions without the key.
  const bool MustBeKnown =
      IsKnown &&
      (Key->second.Written == time_point() ||
       (Asked.At > Key->second.Written + Bounds.Configuration + Late &&
        isInTouch(Asked.Host, Asked.At)));
  if (Asked.IsPublic || MustBeKnown)
    add("REFUSED", "got 401 although its key is valid or its route public",
        Asked.Label, Answer.At);
}

std::size_t promise_checker::unauthenticated() const {
  const std::lock_guard Guard(Mutex);
  return UnauthenticatedCount;
}
