/// \file
/// Division of pools among holders.
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

/// A pool as one holder sees it after a round.
struct PoolShare {
  UnitAmounts Granted;  ///< The own grant, as it stands in the row.
  UnitAmounts Capacity; ///< Of the whole pool.
  UnitAmounts Free;     ///< Granted to nobody; negative after a reduction.
  /// Equal parts of the units of which another holder wants some and has
  /// nothing; whoever holds more gives the excess back as its uses end.
  UnitAmounts FairShare;
};

/// The session in a holder name "<instance>@<epoch>"; empty for a shard.
/// Thread-safe.
std::optional<SessionId> parseHolder(const std::string &Holder);

/// Reads and changes pool rows. The sum of the grants of a unit never grows
/// beyond its capacity. A grant of 0 stands for a holder that waits. Owned by
/// the daemon, one per thread that uses pools. Not thread-safe.
class GrantLedger {
public:
  /// The references must outlive this object.
  GrantLedger(TableService &Table, const RecordCodec &Codec,
              TransactionIds &Ids);

  /// Sets the capacities of \p Pool if they differ from \p Capacity. Units
  /// that are left out get capacity 0; their grants stay until released.
  /// Throws Error(StoreUnavailable), Error(StoreUnknownOutcome) or
  /// Error(StoreConflict) after too many conflicts.
  void ensureCapacity(const std::string &Pool, const UnitAmounts &Capacity);

  /// One round of \p Holder: sets its grants of the units in \p Targets, each
  /// to at most what is free, and leaves its other units as they are. Costs
  /// one read and at most one write without contention. Before the call the
  /// holder has lowered its own use to the targets. Without targets it only
  /// reads, to learn of a changed capacity or of waiting holders. \p Guards are
  /// further conditions, for a shard ShardOwnership::ownershipCondition().
  /// Throws Error(StoreUnavailable) or Error(StoreUnknownOutcome); the holder
  /// then uses the smaller of its old grant and the target until a later round
  /// returns. Throws Error(StaleEpoch) if a guard does not hold and
  /// Error(StoreConflict) after too many conflicts. Precondition: targets are
  /// not negative.
  PoolShare adjust(const std::string &Pool, const std::string &Holder,
                   const UnitAmounts &Targets,
                   const std::vector<RowCondition> &Guards = {});

  /// Raises the grant of one unit by up to \p Want and returns by how much.
  /// Throws as adjust().
  std::int64_t acquire(const std::string &Pool, const std::string &Holder,
                       const std::string &Unit, std::int64_t Amount);

  /// Lowers the grant of one unit by \p Amount, at most to 0. The holder has
  /// lowered its own use before. Throws as adjust().
  void release(const std::string &Pool, const std::string &Holder,
               const std::string &Unit, std::int64_t Amount);

  /// Removes all grants of \p Holder, for a graceful end. Throws as adjust().
  /// Precondition: nothing of them is in use.
  void releaseAll(const std::string &Pool, const std::string &Holder);

  /// Removes the grants of sessions for which \p MayReclaim is true (see
  /// Membership::mayReclaim); the session rows are read again and are
  /// conditions of the write. Returns how many holders were removed. Throws
  /// Error(StoreUnavailable), Error(StoreUnknownOutcome) or
  /// Error(StoreConflict); the call may be repeated.
  std::size_t reclaim(const std::string &Pool,
                      const std::function<bool(const SessionId &)> &MayReclaim);

  /// The pool as it stands in the table; empty if absent. Throws
  /// Error(StoreUnavailable).
  std::optional<PoolRecord> read(const std::string &Pool);

private:
  /// Changes the record; returns whether it has to be written.
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
  /// Versions of pool rows on which a write of open outcome is conditional.
  std::map<std::string, RowVersion> InDoubt;
};

} // namespace apricotwing

#endif
