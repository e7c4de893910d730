#ifndef BW_OPERATIONS_CONFIRMATIONS_CONFIRMATION_STORE_H
#define BW_OPERATIONS_CONFIRMATIONS_CONFIRMATION_STORE_H

#include "bw_core/ids/identifiers.h"
#include "bw_platform/objects/object_store.h"
#include "bw_schema/bramleywinch.pb.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace bw {

enum class confirmation_outcome {
  Recorded,
  RecordedBefore, ///< By an earlier confirmation; its record is returned.
  NotRecorded,    ///< Certainly not, and it never will be by this call.
  Unknown,        ///< It may be recorded; confirming again is safe.
};

struct confirmation_result {
  confirmation_outcome Outcome = confirmation_outcome::Unknown;
  /// Only when recorded, now or before.
  schema::confirmation_record Record;
};

struct confirmation_store_options {
  object_store Store;
  /// Host that records.
  host_id Host;
  /// Milliseconds since the epoch.
  std::function<std::uint64_t()> WallClock;
  /// Unlikely to repeat; tells writes of different calls apart.
  std::function<std::string()> Nonce;
};

/// Confirmations as objects that are created only if absent, so each order,
/// record and caller has one, however often and wherever it is confirmed.
/// Blocks; calls may come from several threads.
class confirmation_store {
public:
  explicit confirmation_store(confirmation_store_options Options)
      : Options(std::move(Options)) {}

  /// Object of a confirmation.
  static object_key keyOf(const order_id &Order, const record_id &Record,
                          const caller_id &Caller);

  /// Entitlement must have been checked.
  /// \throws stored_object_error when the stored record cannot be read
  confirmation_result confirm(const order_id &Order, const record_id &Record,
                              const caller_id &Caller) const;

private:
  std::optional<confirmation_result> readBack(const object_key &Key,
                                              const std::string &Nonce) const;

  confirmation_store_options Options;
};

} // namespace bw

#endif
