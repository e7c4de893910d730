#ifndef BW_CORE_IDS_STORE_POSITION_H
#define BW_CORE_IDS_STORE_POSITION_H

#include "bw_core/ids/identifiers.h"
#include "bw_core/ids/strong_number.h"

#include <optional>
#include <ostream>
#include <string_view>

namespace bw {

/// Counts how often the platform's store has come back from an older copy of
/// itself. 0 if the store names none.
using store_era = strong_number<struct store_era_tag>;

/// Revision of the platform's store. Increases with every change within an era;
/// a new era gives out revisions again.
using store_revision = strong_number<struct store_revision_tag>;

/// Parses an era as the store names it: a decimal number above 0. Returns
/// nothing for any other text.
std::optional<store_era> parseStoreEra(std::string_view Text);

/// A point in the history of the platform's store. Positions without an era
/// have no order.
struct store_position {
  store_era Era;
  store_revision Revision;

  bool hasEra() const { return Era != store_era(); }
  /// True if both positions have an order.
  bool isComparableTo(const store_position &Other) const {
    return hasEra() && Other.hasEra();
  }
  /// True if this position is known to be the older one.
  bool isBefore(const store_position &Other) const;
  /// True if a later answer of the store can show what has changed since this
  /// position: the eras are the same, and the revision has not fallen.
  bool isContinuedBy(const store_position &Later) const;

  friend bool operator==(const store_position &,
                         const store_position &) = default;
};

std::ostream &operator<<(std::ostream &Out, const store_position &Position);

/// Version of one object, in the era that gave it out. A new era gives out
/// versions again.
struct object_position {
  store_era Era;
  object_version Version;

  friend bool operator==(const object_position &,
                         const object_position &) = default;
};

std::ostream &operator<<(std::ostream &Out, const object_position &Position);

} // namespace bw

#endif
