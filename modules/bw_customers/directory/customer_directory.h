#ifndef BW_CUSTOMERS_DIRECTORY_CUSTOMER_DIRECTORY_H
#define BW_CUSTOMERS_DIRECTORY_CUSTOMER_DIRECTORY_H

#include "bw_core/errors/error.h"
#include "bw_core/ids/identifiers.h"
#include "bw_core/ids/units.h"
#include "bw_customers/keys/key_digest.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bw {

/// Limit on the requests of a customer at all hosts together.
struct customer_allowance {
  /// 0 means no limit.
  request_rate Rate;
  /// Requests above the rate that may come at once.
  double Burst = 0;

  bool isLimited() const { return Rate > request_rate(0); }
  friend bool operator==(const customer_allowance &,
                         const customer_allowance &) = default;
};

struct customer {
  customer_id Name;
  std::vector<key_digest> Keys;
  /// Replaces the priority of the route; 0 is the most urgent.
  std::optional<std::uint32_t> Priority;
  customer_allowance Allowance;
};

/// A list of customers that cannot be used.
class customer_error : public error {
public:
  const customer_id &name() const { return Name; }

protected:
  customer_error(const customer_id &Name, const std::string &Reason)
      : error(Reason), Name(Name) {}

private:
  customer_id Name;
};

/// Two customers have the same key or the same name.
class customer_conflict_error : public customer_error {
public:
  enum class kind : std::uint8_t { Name, Key };

  customer_conflict_error(const customer_id &Name, kind Kind)
      : customer_error(Name, "customer '" + Name.value() +
                                 (Kind == kind::Name
                                      ? "' is listed twice"
                                      : "' has a key of another customer")),
        Kind(Kind) {}

  std::string_view code() const override { return "customer_conflict"; }
  kind conflict() const { return Kind; }

private:
  kind Kind;
};

/// A header field cannot carry the name of a customer unchanged.
class customer_name_error : public customer_error {
public:
  // The name is left out of the message, since it may contain control
  // characters.
  explicit customer_name_error(const customer_id &Name)
      : customer_error(Name,
                       "the name of a customer is empty, has blanks at an "
                       "end or contains control characters") {}

  std::string_view code() const override { return "customer_name"; }
};

/// The customers of one configuration version, found by the digests of their
/// keys. Immutable.
class customer_directory {
public:
  /// \throws customer_error
  explicit customer_directory(std::vector<customer> Customers);

  /// Returns the customer with this key, or null.
  const customer *find(const key_digest &Key) const;
  /// Returns the customer of this name, or null.
  const customer *find(const customer_id &Name) const;
  const std::vector<customer> &customers() const { return Customers; }

private:
  std::vector<customer> Customers;
  std::unordered_map<key_digest, std::size_t> ByKey;
  std::unordered_map<customer_id, std::size_t> ByName;
};

} // namespace bw

#endif
