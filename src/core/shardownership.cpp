#include "core/shardownership.h"

#include "core/error.h"
#include "core/shardmap.h"

#include <algorithm>
#include <utility>

namespace apricotwing {

namespace {

constexpr int CommitAttempts = 3;

/// Journal rows that are read or deleted at a time.
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
  const SessionId Me = Session.sessionId();
  if (!Session.isValidFor(Me, Now))
    return AcquireResult::NoAuthority;
  if (const auto Found = Owned.find(Shard); Found != Owned.end()) {
    Holding &Held = Found->second;
    if (Held.Session == Me && !isReleasing(Held))
      return AcquireResult::Acquired;
    if (Held.Session == Me)
      submit(Shard, Held); // Ends an open release.
    Owned.erase(Shard);
  }

  const std::optional<Row> Present = Table.read(keys::shard(Shard));
  ShardRecord Record =
      Present ? Codec.decodeShard(Present->Value) : ShardRecord();
  Transaction Change;
  Change.Id = Ids.next();
  Change.Conditions = {{keys::shard(Shard), Present ? Present->Version : 0}};
  // A row that names this very session comes from a commit whose answer was
  // lost; it is taken over like a free one, with a new shard epoch.
  if (!Record.Owner.Instance.empty() && Record.Owner != Me) {
    const std::optional<RowCondition> Ended = endedOwner(Record.Owner);
    if (!Ended)
      return AcquireResult::Held;
    Change.Conditions.push_back(*Ended);
  }
  Record.Owner = Me;
  ++Record.ShardEpoch;
  Change.Writes = {{keys::shard(Shard), Codec.encode(Record)}};
  if (commitWithRetry(Table, Change, keys::shard(Shard), CommitAttempts) ==
      CommitResult::Conflict)
    return AcquireResult::Conflict;

  Holding Held;
  Held.Session = Me;
  Held.Record = Record;
  Held.LastTransaction = Change.Id;
  Owned[Shard] = std::move(Held);
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
  Holding &Held = Found->second;
  if (Held.Pending) {
    const bool Releasing = isReleasing(Held);
    if (submit(Shard, Held) == TickResult::LostOwnership || Releasing)
      return;
  }
  ShardRecord Released = Held.Record;
  Released.Owner = {};
  prepare(Shard, Held, Released);
  submit(Shard, Held);
}

bool ShardOwnership::isOwner(const ShardId &Shard, TimePoint Now) const {
  const auto Found = Owned.find(Shard);
  return Found != Owned.end() && !isReleasing(Found->second) &&
         Session.isValidFor(Found->second.Session, Now);
}

bool ShardOwnership::isReleasing(const Holding &Held) {
  return Held.Pending && Held.PendingRecord.Owner.Instance.empty();
}

std::optional<ShardRecord> ShardOwnership::owned(const ShardId &Shard) const {
  const auto Found = Owned.find(Shard);
  if (Found == Owned.end())
    return std::nullopt;
  return Found->second.Record;
}

std::vector<ShardId> ShardOwnership::ownedShards() const {
  std::vector<ShardId> Result;
  for (const auto &[Shard, Held] : Owned)
    Result.push_back(Shard);
  return Result;
}

RowCondition ShardOwnership::ownershipCondition(const ShardId &Shard) {
  Holding &Held = idleHolding(Shard);
  if (!learnVersion(Shard, Held)) {
    Owned.erase(Shard);
    throwNotOwned(Shard);
  }
  return {keys::shard(Shard), Held.Version};
}

TickResult ShardOwnership::commitTick(const ShardId &Shard,
                                      const TickCommit &Tick) {
  Holding &Held = idleHolding(Shard);
  ShardRecord Next = Held.Record;
  const std::uint64_t Sequence = Next.NextSequence++;
  prepare(Shard, Held, Next);
  JournalRecord Entry;
  Entry.ShardEpoch = Next.ShardEpoch;
  Entry.Events = Tick.Events;
  std::vector<RowWrite> &Writes = Held.Pending->Writes;
  Writes.push_back({keys::journal(Shard, Sequence), Codec.encode(Entry)});
  for (const RunRecord &Run : Tick.Runs)
    Writes.push_back({keys::run(Run.Team, Run.Id), Codec.encode(Run)});
  for (const std::string &Key : Tick.DeletedKeys)
    Writes.push_back({Key, std::nullopt});
  return submit(Shard, Held);
}

TickResult ShardOwnership::resolvePendingTick(const ShardId &Shard) {
  const auto Found = Owned.find(Shard);
  if (Found == Owned.end() || !Found->second.Pending)
    throw Error(ErrorKind::Internal, "no tick of " + Shard + " is pending",
                "report this as a fault of the program");
  return submit(Shard, Found->second);
}

bool ShardOwnership::isPending(const ShardId &Shard) const {
  const auto Found = Owned.find(Shard);
  return Found != Owned.end() && Found->second.Pending;
}

TickResult ShardOwnership::saveSnapshot(const ShardId &Shard,
                                        ShardSnapshot Snapshot) {
  Holding &Held = idleHolding(Shard);
  const std::uint64_t Old = Held.Record.SnapshotSequence;
  Snapshot.Sequence = Held.Record.NextSequence - 1;
  if (Snapshot.Sequence == Old)
    return TickResult::Committed;
  Objects.put(keys::snapshot(Shard, Snapshot.Sequence), Codec.encode(Snapshot));
  ShardRecord Next = Held.Record;
  Next.SnapshotSequence = Snapshot.Sequence;
  prepare(Shard, Held, Next);
  const TickResult Result = submit(Shard, Held);
  if (Result == TickResult::Committed)
    deleteCovered(Shard, Snapshot.Sequence, Old);
  return Result;
}

void ShardOwnership::deleteCovered(const ShardId &Shard, std::uint64_t Sequence,
                                   std::uint64_t Old) {
  const std::string Last = keys::journal(Shard, Sequence);
  try {
    if (Old != 0)
      Objects.remove(keys::snapshot(Shard, Old));
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
    // What is left over is covered by the snapshot; the next one deletes it.
    return;
  }
}

ShardRecovery ShardOwnership::recover(const ShardId &Shard) {
  const ShardRecord Record = idleHolding(Shard).Record;
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

ShardOwnership::Holding &ShardOwnership::idleHolding(const ShardId &Shard) {
  const auto Found = Owned.find(Shard);
  if (Found == Owned.end() || Found->second.Session != Session.sessionId())
    throwNotOwned(Shard);
  if (Found->second.Pending)
    throw Error(ErrorKind::Internal,
                "an earlier commit of " + Shard + " is still open",
                "report this as a fault of the program");
  return Found->second;
}

void ShardOwnership::prepare(const ShardId &Shard, Holding &Held,
                             const ShardRecord &Next) {
  Transaction Change;
  Change.Id = Ids.next();
  Change.Writes = {{keys::shard(Shard), Codec.encode(Next)}};
  Held.Pending = std::move(Change);
  Held.PendingRecord = Next;
}

bool ShardOwnership::learnVersion(const ShardId &Shard, Holding &Held) {
  if (Held.Version != 0)
    return true;
  const std::optional<Row> Present = Table.read(keys::shard(Shard));
  if (!Present || Present->Transaction != Held.LastTransaction)
    return false;
  Held.Version = Present->Version;
  return true;
}

TickResult ShardOwnership::submit(const ShardId &Shard, Holding &Held) {
  Transaction &Change = *Held.Pending;
  if (Change.Conditions.empty()) {
    if (!learnVersion(Shard, Held)) {
      Owned.erase(Shard);
      return TickResult::LostOwnership;
    }
    Change.Conditions = {{keys::shard(Shard), Held.Version}};
  }
  if (commitWithRetry(Table, Change, keys::shard(Shard), CommitAttempts) ==
      CommitResult::Conflict) {
    Owned.erase(Shard);
    return TickResult::LostOwnership;
  }
  Held.Record = Held.PendingRecord;
  Held.LastTransaction = Change.Id;
  Held.Version = 0;
  Held.Pending.reset();
  if (Held.Record.Owner.Instance.empty())
    Owned.erase(Shard);
  return TickResult::Committed;
}

void ShardOwnership::throwNotOwned(const ShardId &Shard) {
  throw Error(ErrorKind::NoAuthority,
              "this instance does not own " + Shard + " any more",
              "none; its present owner goes on with it");
}

void ShardOwnership::throwIncomplete(const ShardId &Shard,
                                     const std::string &What) {
  // A later owner deletes what its own snapshot covers.
  Holding &Held = Owned.at(Shard);
  Held.Version = 0;
  if (!learnVersion(Shard, Held)) {
    Owned.erase(Shard);
    throwNotOwned(Shard);
  }
  throw Error(ErrorKind::Internal, "cannot recover " + Shard + ": " + What,
              "restore the row or object from a backup of the store");
}

} // namespace apricotwing
