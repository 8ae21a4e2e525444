#include "core/shardownership.h"

#include "core/error.h"
#include "core/shardmap.h"

#include <algorithm>
#include <utility>

namespace apricotwing {

namespace {

constexpr int CommitAttempts = 3;

/// Number of journal rows that are read or deleted at a time.
constexpr std::uint32_t JournalPage = 200;

} // namespace

ShardOwnership::ShardOwnership(TableService &Table, ObjectStore &Objects,
                               const RecordCodec &Codec, TransactionIds &Ids,
                               const SessionManager &Session)
    : Table(Table), Objects(Objects), Codec(Codec), Ids(Ids), Session(Session) {
}

bool ShardOwnership::isPreferred(const ShardId &Shard) const {
  return rendezvousOwner(Shard, Session.liveInstances()) ==
         Session.sessionId().Instance;
}

AcquireResult ShardOwnership::tryAcquire(const ShardId &Shard, TimePoint Now) {
  const SessionId OwnSession = Session.sessionId();
  if (!Session.isValidFor(OwnSession, Now))
    return AcquireResult::NoAuthority;
  if (const auto Found = Owned.find(Shard); Found != Owned.end()) {
    OwnedShard &Ownership = Found->second;
    if (Ownership.Session == OwnSession && !isReleasing(Ownership))
      return AcquireResult::Acquired;
    if (Ownership.Session == OwnSession)
      submitPending(
          Shard,
          Ownership); // Resolves an earlier release with unknown outcome.
    Owned.erase(Shard);
  }

  const std::optional<Row> Present = Table.read(keys::shard(Shard));
  ShardRecord Record =
      Present ? Codec.decodeShard(Present->Value) : ShardRecord();
  Transaction Change;
  Change.Id = Ids.next();
  Change.Conditions = {{keys::shard(Shard), Present ? Present->Version : 0}};
  // If the row names this session, an earlier commit succeeded but its response
  // was lost. The shard is then acquired like a free one, with a new epoch.
  if (!Record.Owner.Instance.empty() && Record.Owner != OwnSession) {
    const std::optional<RowCondition> Ended = endedOwner(Record.Owner);
    if (!Ended)
      return AcquireResult::OwnedByOther;
    Change.Conditions.push_back(*Ended);
  }
  Record.Owner = OwnSession;
  ++Record.ShardEpoch;
  Change.Writes = {{keys::shard(Shard), Codec.encode(Record)}};
  if (commitWithRetry(Table, Change, keys::shard(Shard), CommitAttempts) ==
      CommitResult::Conflict)
    return AcquireResult::Conflict;

  OwnedShard Ownership;
  Ownership.Session = OwnSession;
  Ownership.Record = Record;
  Ownership.LastTransaction = Change.Id;
  Owned[Shard] = std::move(Ownership);
  return AcquireResult::Acquired;
}

std::optional<RowCondition> ShardOwnership::endedOwner(const SessionId &Owner) {
  const std::string Key = keys::session(Owner.Instance);
  const std::optional<Row> Present = Table.read(Key);
  if (!Present)
    return RowCondition{Key, 0};
  const SessionRecord Record = Codec.decodeSession(Present->Value);
  const bool Replaced = Record.Id.SessionEpoch > Owner.SessionEpoch;
  const bool Fenced =
      Record.Id == Owner && Record.State == SessionState::Fenced;
  if (!Replaced && !Fenced)
    return std::nullopt;
  return RowCondition{Key, Present->Version};
}

void ShardOwnership::release(const ShardId &Shard) {
  const auto Found = Owned.find(Shard);
  if (Found == Owned.end())
    return;
  OwnedShard &Ownership = Found->second;
  if (Ownership.Pending) {
    const bool Releasing = isReleasing(Ownership);
    if (submitPending(Shard, Ownership) == TickResult::LostOwnership ||
        Releasing)
      return;
  }
  ShardRecord Released = Ownership.Record;
  Released.Owner = {};
  preparePending(Shard, Ownership, Released);
  submitPending(Shard, Ownership);
}

bool ShardOwnership::isOwner(const ShardId &Shard, TimePoint Now) const {
  const auto Found = Owned.find(Shard);
  return Found != Owned.end() && !isReleasing(Found->second) &&
         Session.isValidFor(Found->second.Session, Now);
}

bool ShardOwnership::isReleasing(const OwnedShard &Ownership) {
  return Ownership.Pending && Ownership.PendingRecord.Owner.Instance.empty();
}

std::optional<ShardRecord> ShardOwnership::owned(const ShardId &Shard) const {
  const auto Found = Owned.find(Shard);
  if (Found == Owned.end())
    return std::nullopt;
  return Found->second.Record;
}

std::vector<ShardId> ShardOwnership::ownedShards() const {
  std::vector<ShardId> Result;
  for (const auto &[Shard, Ownership] : Owned)
    Result.push_back(Shard);
  return Result;
}

RowCondition ShardOwnership::ownershipCondition(const ShardId &Shard) {
  OwnedShard &Ownership = requireNoPending(Shard);
  if (!ensureVersion(Shard, Ownership)) {
    Owned.erase(Shard);
    throwNotOwned(Shard);
  }
  return {keys::shard(Shard), Ownership.Version};
}

TickResult ShardOwnership::commitTick(const ShardId &Shard,
                                      const TickCommit &Tick) {
  OwnedShard &Ownership = requireNoPending(Shard);
  ShardRecord NewRecord = Ownership.Record;
  const std::uint64_t Sequence = NewRecord.NextSequence++;
  preparePending(Shard, Ownership, NewRecord);
  JournalRecord Entry;
  Entry.ShardEpoch = NewRecord.ShardEpoch;
  Entry.Events = Tick.Events;
  std::vector<RowWrite> &Writes = Ownership.Pending->Writes;
  Writes.push_back({keys::journal(Shard, Sequence), Codec.encode(Entry)});
  for (const RunRecord &Run : Tick.Runs)
    Writes.push_back({keys::run(Run.Team, Run.Id), Codec.encode(Run)});
  for (const std::string &Key : Tick.DeletedKeys)
    Writes.push_back({Key, std::nullopt});
  return submitPending(Shard, Ownership);
}

TickResult ShardOwnership::resolvePendingTick(const ShardId &Shard) {
  const auto Found = Owned.find(Shard);
  if (Found == Owned.end() || !Found->second.Pending)
    throw Error(ErrorKind::Internal, "no tick of " + Shard + " is pending",
                "report this as a fault of the program");
  return submitPending(Shard, Found->second);
}

bool ShardOwnership::isPending(const ShardId &Shard) const {
  const auto Found = Owned.find(Shard);
  return Found != Owned.end() && Found->second.Pending;
}

TickResult ShardOwnership::saveSnapshot(const ShardId &Shard,
                                        ShardSnapshot Snapshot) {
  OwnedShard &Ownership = requireNoPending(Shard);
  const std::uint64_t PreviousSequence = Ownership.Record.SnapshotSequence;
  Snapshot.Sequence = Ownership.Record.NextSequence - 1;
  if (Snapshot.Sequence == PreviousSequence)
    return TickResult::Committed;
  Objects.put(keys::snapshot(Shard, Snapshot.Sequence), Codec.encode(Snapshot));
  ShardRecord NewRecord = Ownership.Record;
  NewRecord.SnapshotSequence = Snapshot.Sequence;
  preparePending(Shard, Ownership, NewRecord);
  const TickResult Result = submitPending(Shard, Ownership);
  if (Result == TickResult::Committed)
    deleteObsolete(Shard, Snapshot.Sequence, PreviousSequence);
  return Result;
}

void ShardOwnership::deleteObsolete(const ShardId &Shard,
                                    std::uint64_t Sequence,
                                    std::uint64_t PreviousSequence) {
  const std::string Last = keys::journal(Shard, Sequence);
  try {
    if (PreviousSequence != 0)
      Objects.remove(keys::snapshot(Shard, PreviousSequence));
    for (;;) {
      Transaction Change;
      Change.Id = Ids.next();
      for (const Row &Each :
           Table.scan(keys::journalPrefix(Shard), {}, JournalPage))
        if (Each.Key <= Last)
          Change.Writes.push_back({Each.Key, std::nullopt});
      if (Change.Writes.empty())
        return;
      Table.transact(Change);
    }
  } catch (const Error &) {
    // The remaining journal rows are covered by the snapshot, and the next
    // snapshot deletes them.
    return;
  }
}

ShardRecovery ShardOwnership::recover(const ShardId &Shard) {
  const ShardRecord Record = requireNoPending(Shard).Record;
  ShardRecovery Result;
  if (Record.SnapshotSequence != 0) {
    const std::optional<std::string> Text =
        Objects.read(keys::snapshot(Shard, Record.SnapshotSequence));
    if (!Text)
      throwIncomplete(Shard, "its snapshot is missing");
    Result.Snapshot = Codec.decodeSnapshot(*Text);
  }
  std::uint64_t Expected = Record.SnapshotSequence + 1;
  std::string After = keys::journal(Shard, Record.SnapshotSequence);
  while (Expected < Record.NextSequence) {
    const std::vector<Row> Page =
        Table.scan(keys::journalPrefix(Shard), After, JournalPage);
    for (const Row &Each : Page) {
      if (Each.Key != keys::journal(Shard, Expected))
        throwIncomplete(Shard, "journal row " + std::to_string(Expected) +
                                   " is missing");
      Result.Tail.push_back(Codec.decodeJournal(Each.Value));
      After = Each.Key;
      ++Expected;
    }
    if (Page.empty())
      throwIncomplete(Shard, "journal row " + std::to_string(Expected) +
                                 " is missing");
  }
  return Result;
}

ShardOwnership::OwnedShard &
ShardOwnership::requireNoPending(const ShardId &Shard) {
  const auto Found = Owned.find(Shard);
  if (Found == Owned.end() || Found->second.Session != Session.sessionId())
    throwNotOwned(Shard);
  if (Found->second.Pending)
    throw Error(ErrorKind::Internal,
                "an earlier commit to " + Shard + " has no known outcome yet",
                "report this as a fault of the program");
  return Found->second;
}

void ShardOwnership::preparePending(const ShardId &Shard, OwnedShard &Ownership,
                                    const ShardRecord &NewRecord) {
  Transaction Change;
  Change.Id = Ids.next();
  Change.Writes = {{keys::shard(Shard), Codec.encode(NewRecord)}};
  Ownership.Pending = std::move(Change);
  Ownership.PendingRecord = NewRecord;
}

bool ShardOwnership::ensureVersion(const ShardId &Shard,
                                   OwnedShard &Ownership) {
  if (Ownership.Version != 0)
    return true;
  const std::optional<Row> Present = Table.read(keys::shard(Shard));
  if (!Present || Present->Transaction != Ownership.LastTransaction)
    return false;
  Ownership.Version = Present->Version;
  return true;
}

TickResult ShardOwnership::submitPending(const ShardId &Shard,
                                         OwnedShard &Ownership) {
  Transaction &Change = *Ownership.Pending;
  if (Change.Conditions.empty()) {
    if (!ensureVersion(Shard, Ownership)) {
      Owned.erase(Shard);
      return TickResult::LostOwnership;
    }
    Change.Conditions = {{keys::shard(Shard), Ownership.Version}};
  }
  if (commitWithRetry(Table, Change, keys::shard(Shard), CommitAttempts) ==
      CommitResult::Conflict) {
    Owned.erase(Shard);
    return TickResult::LostOwnership;
  }
  Ownership.Record = Ownership.PendingRecord;
  Ownership.LastTransaction = Change.Id;
  Ownership.Version = 0;
  Ownership.Pending.reset();
  if (Ownership.Record.Owner.Instance.empty())
    Owned.erase(Shard);
  return TickResult::Committed;
}

void ShardOwnership::throwNotOwned(const ShardId &Shard) {
  throw Error(ErrorKind::NoAuthority,
              "shard " + Shard + " is not owned by this instance",
              "none; its current owner continues the work");
}

void ShardOwnership::throwIncomplete(const ShardId &Shard,
                                     const std::string &What) {
  // The data may be missing because another instance has acquired the shard,
  // saved a snapshot and deleted what it covers. Check the ownership first.
  OwnedShard &Ownership = Owned.at(Shard);
  Ownership.Version = 0;
  if (!ensureVersion(Shard, Ownership)) {
    Owned.erase(Shard);
    throwNotOwned(Shard);
  }
  throw Error(ErrorKind::Internal, "cannot recover " + Shard + ": " + What,
              "restore the row or object from a backup of the store");
}

} // namespace apricotwing
