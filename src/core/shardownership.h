/// \file
/// Ownership of shards, and commits by the owner.
#ifndef APRICOTWING_CORE_SHARDOWNERSHIP_H
#define APRICOTWING_CORE_SHARDOWNERSHIP_H

#include "core/journal.h"
#include "core/platform.h"
#include "core/records.h"
#include "core/sessionmanager.h"
#include "core/tableservice.h"
#include "core/time.h"
#include "core/transactionids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace apricotwing {

enum class AcquireResult {
  Acquired,
  OwnedByOther, ///< The session of the current owner has not ended.
  Conflict,     ///< Another instance changed the row; try again later.
  NoAuthority,  ///< This process has no valid session.
};

enum class TickResult {
  Committed,
  /// Another instance owns the shard and recovers the committed state. The
  /// caller must not act on any decision of the tick.
  LostOwnership,
};

/// Writes of one scheduling tick of a shard.
struct TickCommit {
  std::vector<JournalEvent> Events;
  std::vector<RunRecord> Runs;          ///< Changed run rows.
  std::vector<std::string> DeletedKeys; ///< Processed inbox and cancel rows.

  bool empty() const {
    return Events.empty() && Runs.empty() && DeletedKeys.empty();
  }
};

/// Durable state of a shard, from which a new owner recovers.
struct ShardRecovery {
  std::optional<ShardSnapshot> Snapshot;
  std::vector<JournalRecord> Tail; ///< Later records, in order.
};

/// Acquires and releases shards for this process's session and commits their
/// state. Owned by the daemon and used by the scheduler thread only. Not
/// thread-safe.
class ShardOwnership {
public:
  /// The references must outlive this object.
  ShardOwnership(TableService &Table, ObjectStore &Objects,
                 const RecordCodec &Codec, TransactionIds &Ids,
                 const SessionManager &Session);

  /// Returns true if this instance should try first to acquire the shard: it is
  /// the rendezvous owner among the live sessions of the last round.
  bool isPreferred(const ShardId &Shard) const;

  /// Acquires \p Shard if it is free or its owner's session has ended. Each
  /// acquisition increments the shard epoch. Throws Error(StoreUnavailable) or
  /// Error(StoreUnknownOutcome); the call may be repeated.
  AcquireResult tryAcquire(const ShardId &Shard, TimePoint Now);

  /// Releases \p Shard, so that another instance can acquire it immediately. A
  /// pending tick is resolved first. Throws Error(StoreUnavailable) or
  /// Error(StoreUnknownOutcome); the call may be repeated.
  void release(const ShardId &Shard);

  /// Drops \p Shard without a write, for example after LostOwnership.
  void forget(const ShardId &Shard) { Owned.erase(Shard); }

  /// Drops all shards without a write. To be called when the session was lost.
  void forgetAll() { Owned.clear(); }

  /// Returns true if this process owns \p Shard and its session is valid at
  /// \p Now. Otherwise no task of the shard may be started. Returns false as
  /// soon as release() has sent its write.
  bool isOwner(const ShardId &Shard, TimePoint Now) const;

  /// Returns the shard record as last written by this process; empty if the
  /// shard is not owned.
  std::optional<ShardRecord> owned(const ShardId &Shard) const;

  /// Returns the shards that this process owns, whether or not its session is
  /// valid.
  std::vector<ShardId> ownedShards() const;

  /// Returns a condition that holds as long as this process owns \p Shard and
  /// commits nothing else to it. Throws Error(StoreUnavailable),
  /// Error(NoAuthority) if the shard is not owned, Error(Internal) if a tick
  /// is pending.
  RowCondition ownershipCondition(const ShardId &Shard);

  /// Commits one tick in a transaction that is conditional on the shard row.
  /// Throws Error(StoreUnavailable) or Error(StoreUnknownOutcome); the tick is
  /// then pending, and resolvePendingTick() must be called until it returns,
  /// before any decision of the tick is acted on and before the next commit.
  /// Throws Error(NoAuthority) if the shard is not owned or the session has
  /// changed, Error(Internal) if a tick is pending. Precondition: \p Tick is
  /// not empty.
  TickResult commitTick(const ShardId &Shard, const TickCommit &Tick);

  /// Submits the pending tick again, without changes. Throws as commitTick().
  /// Precondition: isPending().
  TickResult resolvePendingTick(const ShardId &Shard);

  /// Returns true if the outcome of a commit to \p Shard is unknown.
  bool isPending(const ShardId &Shard) const;

  /// Stores a snapshot of the state after the last committed tick: writes the
  /// object, then the shard row, and finally deletes the previous object and
  /// the journal rows that the snapshot covers. Throws as commitTick(). A
  /// failed deletion is not an error; the next snapshot deletes remaining
  /// journal rows.
  TickResult saveSnapshot(const ShardId &Shard, ShardSnapshot Snapshot);

  /// Reads the snapshot and the journal of an owned shard. Throws
  /// Error(StoreUnavailable), Error(NoAuthority) if the shard is no longer
  /// owned, and Error(Internal) if the snapshot or journal rows are missing.
  ShardRecovery recover(const ShardId &Shard);

private:
  struct OwnedShard {
    SessionId Session;
    ShardRecord Record;
    std::string LastTransaction; ///< Id of the transaction that wrote Record.
    RowVersion Version = 0;      ///< Of the shard row; 0 if not read yet.
    std::optional<Transaction> Pending;
    ShardRecord PendingRecord;
  };

  std::optional<RowCondition> endedOwner(const SessionId &Owner);
  OwnedShard &requireNoPending(const ShardId &Shard);
  static bool isReleasing(const OwnedShard &Ownership);
  void preparePending(const ShardId &Shard, OwnedShard &Ownership,
                      const ShardRecord &NewRecord);
  bool ensureVersion(const ShardId &Shard, OwnedShard &Ownership);
  TickResult submitPending(const ShardId &Shard, OwnedShard &Ownership);
  void deleteObsolete(const ShardId &Shard, std::uint64_t Sequence,
                      std::uint64_t PreviousSequence);
  [[noreturn]] static void throwNotOwned(const ShardId &Shard);
  [[noreturn]] void throwIncomplete(const ShardId &Shard,
                                    const std::string &What);

  TableService &Table;
  ObjectStore &Objects;
  const RecordCodec &Codec;
  TransactionIds &Ids;
  const SessionManager &Session;
  std::map<ShardId, OwnedShard> Owned;
};

} // namespace apricotwing

#endif
