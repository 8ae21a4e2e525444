/// \file
/// Ownership of shards and the commits of their owner.
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
  OwnedByOther, ///< Another session that has not ended owns the shard.
  Conflict,     ///< Somebody else was faster; try again later.
  NoAuthority,  ///< This process has no valid session.
};

enum class TickResult {
  Committed,
  /// Somebody else owns the shard and recovers whatever was written. Nothing
  /// of the tick may be acted on.
  LostOwnership,
};

/// What one tick of a shard writes.
struct TickCommit {
  std::vector<JournalEvent> Events;
  std::vector<RunRecord> Runs;          ///< Run rows that changed.
  std::vector<std::string> DeletedKeys; ///< Inbox and cancel rows.

  bool empty() const {
    return Events.empty() && Runs.empty() && DeletedKeys.empty();
  }
};

/// Durable state of a shard, to be replayed by its new owner.
struct ShardRecovery {
  std::optional<ShardSnapshot> Snapshot;
  std::vector<JournalRecord> Tail; ///< In order, after the snapshot.
};

/// Acquires, releases and writes shards for this process's session. Owned by
/// the daemon; belongs to the scheduler thread. Not thread-safe.
class ShardOwnership {
public:
  /// The references must outlive this object.
  ShardOwnership(TableService &Table, ObjectStore &Objects,
                 const RecordCodec &Codec, TransactionIds &Ids,
                 const SessionManager &Session);

  /// True if this instance is the first to try: the rendezvous owner among
  /// the live sessions of the last round.
  bool isPreferred(const ShardId &Shard) const;

  /// Takes over \p Shard if it is free or its owner's session has ended. The
  /// shard epoch grows by one each time. Throws Error(StoreUnavailable) or
  /// Error(StoreUnknownOutcome); then try again.
  AcquireResult tryAcquire(const ShardId &Shard, TimePoint Now);

  /// Gives \p Shard up so that another instance can take it at once. A
  /// pending tick is settled first. Throws Error(StoreUnavailable) or
  /// Error(StoreUnknownOutcome); the call may be repeated.
  void release(const ShardId &Shard);

  /// Forgets \p Shard without a write, for example after LostOwnership.
  void forget(const ShardId &Shard) { Owned.erase(Shard); }

  /// Forgets all shards; call when the session was lost.
  void forgetAll() { Owned.clear(); }

  /// True if this process owns \p Shard and its session is valid at \p Now.
  /// Nothing may be started otherwise. False from the moment release() sends
  /// its write.
  bool isOwner(const ShardId &Shard, TimePoint Now) const;

  /// The shard row as this owner last wrote it; empty if not owned.
  std::optional<ShardRecord> owned(const ShardId &Shard) const;

  /// Shards that this process holds, whether or not its session is valid.
  std::vector<ShardId> ownedShards() const;

  /// A condition that holds exactly while this process still owns \p Shard
  /// and commits nothing else to it. Throws Error(StoreUnavailable),
  /// Error(NoAuthority) if the shard is not owned, Error(Internal) if a tick
  /// is pending.
  RowCondition ownershipCondition(const ShardId &Shard);

  /// Commits one tick in one transaction, decided by the shard row. Throws
  /// Error(StoreUnavailable) or Error(StoreUnknownOutcome); the tick is then
  /// pending, and resolvePendingTick() must be called until it returns before
  /// anything of the tick is acted on and before the next commit. Throws
  /// Error(NoAuthority) if the shard is not owned or the session has changed,
  /// Error(Internal) if a tick is pending. Precondition: \p Tick not empty.
  TickResult commitTick(const ShardId &Shard, const TickCommit &Tick);

  /// Submits the pending tick again, unchanged. Throws as commitTick().
  /// Precondition: isPending().
  TickResult resolvePendingTick(const ShardId &Shard);

  /// True if the outcome of a commit on \p Shard is open.
  bool isPending(const ShardId &Shard) const;

  /// Stores the state after the last committed tick: first the object, then
  /// the shard row, then old journal rows and the old object are deleted.
  /// Throws as commitTick(); a failure of the deletions is not an error, as
  /// the next snapshot repeats them.
  TickResult saveSnapshot(const ShardId &Shard, ShardSnapshot Snapshot);

  /// Reads snapshot and journal of an owned shard. Throws
  /// Error(StoreUnavailable), Error(NoAuthority) if not owned any more, and
  /// Error(Internal) if journal rows are missing.
  ShardRecovery recover(const ShardId &Shard);

private:
  struct OwnedShard {
    SessionId Session;
    ShardRecord Record;
    std::string LastTransaction; ///< That wrote Record.
    RowVersion Version = 0;      ///< Of the shard row; 0: not read yet.
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
