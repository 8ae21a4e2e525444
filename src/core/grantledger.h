/// \file
/// Division of the capacity of pools among holders.
#ifndef APRICOTWING_CORE_GRANTLEDGER_H
#define APRICOTWING_CORE_GRANTLEDGER_H

#include "core/records.h"
#include "core/tableservice.h"
#include "core/transactionids.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace apricotwing {

/// Amounts by unit of a pool: slots of executors, or resources.
using UnitAmounts = std::map<std::string, std::int64_t>;

/// State of a pool after a round, from the view of one holder.
struct PoolShare {
  UnitAmounts Granted;  ///< Grants of this holder, as stored in the row.
  UnitAmounts Capacity; ///< Of the whole pool.
  UnitAmounts Free;     ///< Not granted to any holder; negative after the
                        ///< capacity was reduced.
  /// Equal share per holder, for the units of which another holder waits
  /// without holding any. A holder with more than that releases the excess as
  /// soon as it is no longer in use.
  UnitAmounts FairShare;
};

/// Parses the session from a holder name "<instance>@<epoch>". Returns no value
/// if the holder is a shard. Thread-safe.
std::optional<SessionId> parseHolder(const std::string &Holder);

/// Reads and updates pool rows. The sum of a unit's grants is never raised
/// above its capacity. A grant of 0 marks a holder that waits for the unit. The
/// daemon owns one object per thread that uses pools. Not thread-safe.
class GrantLedger {
public:
  /// The references must outlive this object.
  GrantLedger(TableService &Table, const RecordCodec &Codec,
              TransactionIds &Ids);

  /// Sets the capacities of \p Pool if they differ from \p Capacity. Units that
  /// are absent from \p Capacity get capacity 0; their grants stay until
  /// released. Throws Error(StoreUnavailable), Error(StoreUnknownOutcome) or
  /// Error(StoreConflict) after too many conflicts.
  /// \p Guards are additional preconditions of the write; if one does not hold,
  /// throws Error(StaleEpoch).
  void ensureCapacity(const std::string &Pool, const UnitAmounts &Capacity,
                      const std::vector<RowCondition> &Guards = {});

  /// Runs one round for \p Holder: sets its grants of the units in \p Targets,
  /// as far as free capacity permits, and leaves its other units unchanged.
  /// Without contention it costs one read and at most one write. Without
  /// targets it only reads, to detect a changed capacity or waiting holders.
  /// \p Guards are additional preconditions of the write; a shard passes
  /// ShardOwnership::ownershipCondition(). Throws Error(StoreUnavailable) or
  /// Error(StoreUnknownOutcome); the holder may then use only the smaller of
  /// its old grant and the target until a later round succeeds. Throws
  /// Error(StaleEpoch) if a guard does not hold and Error(StoreConflict) after
  /// too many conflicts. Preconditions: the targets are not negative, and the
  /// holder has already lowered its use to them.
  PoolShare adjust(const std::string &Pool, const std::string &Holder,
                   const UnitAmounts &Targets,
                   const std::vector<RowCondition> &Guards = {});

  /// Raises the grant of one unit by up to \p Amount and returns the increase.
  /// Throws as adjust().
  std::int64_t acquire(const std::string &Pool, const std::string &Holder,
                       const std::string &Unit, std::int64_t Amount);

  /// Lowers the grant of one unit by \p Amount, but not below 0. Precondition:
  /// the holder has already lowered its use. Throws as adjust().
  void release(const std::string &Pool, const std::string &Holder,
               const std::string &Unit, std::int64_t Amount);

  /// Removes all grants of \p Holder during a graceful shutdown. Throws as
  /// adjust(). Precondition: none of them is in use.
  void releaseAll(const std::string &Pool, const std::string &Holder);

  /// Removes the grants of sessions for which \p MayReclaim returns true (see
  /// Membership::mayReclaim). The session rows are read again, and the write is
  /// conditional on them. Returns the number of removed holders. Throws
  /// Error(StoreUnavailable), Error(StoreUnknownOutcome) or
  /// Error(StoreConflict); the call may be repeated.
  std::size_t reclaim(const std::string &Pool,
                      const std::function<bool(const SessionId &)> &MayReclaim);

  /// Reads the pool row; returns no value if it does not exist. Throws
  /// Error(StoreUnavailable).
  std::optional<PoolRecord> read(const std::string &Pool);

private:
  /// Modifies the record; returns whether it has to be written.
  using Change = std::function<bool(PoolRecord &)>;

  PoolRecord update(const std::string &Pool, const Change &Apply,
                    const std::vector<RowCondition> &Guards = {});
  bool tryWrite(const std::string &Pool, RowVersion Base,
                const PoolRecord &Record,
                const std::vector<RowCondition> &Guards);
  std::optional<RowCondition> endedSession(const SessionId &Id);

  TableService &Table;
  const RecordCodec &Codec;
  TransactionIds &Ids;
  /// By pool, the row version on which a write with unknown outcome is
  /// conditional.
  std::map<std::string, RowVersion> InDoubt;
};

} // namespace apricotwing

#endif
