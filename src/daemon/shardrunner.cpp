#include "daemon/shardrunner.h"

#include "core/shardmap.h"

#include <algorithm>
#include <utility>

namespace apricotwing {

namespace {

constexpr std::size_t WorkerCallThreads = 16;
constexpr std::size_t MaxWaitingCalls = 16384;
constexpr std::size_t MailboxCapacity = 16384;

/// An instance that the hint does not prefer waits this long before it tries
/// to take over a free shard.
constexpr Duration TakeoverDelay{2000};

/// The preferred instance looks at the row of a shard that another one holds
/// at most this often; fencing its owner takes longer by far.
constexpr Duration AcquireRetry{500};

/// Notifications make the inbox be read at once; this is the fallback.
constexpr Duration ScanPeriod{1000};
constexpr std::uint32_t MaxRowsPerScan = 1000;

/// Bounds the journal that a new owner has to read.
constexpr std::uint64_t EntriesPerSnapshot = 500;

/// Each failed attempt may hold up the tick for the object store's timeout, so
/// the next one waits for so many journal entries.
constexpr std::uint64_t EntriesPerSnapshotRetry = 50;

constexpr Duration StatusPeriod{1000};

/// Text after the last slash of a key.
RunId runOfKey(const std::string &Key) {
  return Key.substr(Key.rfind('/') + 1);
}

} // namespace

ShardRunner::HeldShard::~HeldShard() {
  if (Fleet)
    Fleet->detach();
}

ShardRunner::ShardRunner(DaemonContext &Context,
                         const InstanceListService &List)
    : Context(Context), List(List),
      AllShards(shardIds(Context.Values.Scheduler.ShardsPerCell)),
      Ownership(Context.Table, Context.Objects, Context.Codec, Context.Ids,
                Context.Session),
      Mailbox(MailboxCapacity), Calls(WorkerCallThreads, MaxWaitingCalls),
      Thread(
          Context.Values.Scheduler.Tick, [this] { round(); },
          [&Context](const std::exception &Failure) {
            Context.Events.failure(Component::Scheduler, "round failed",
                                   Failure);
          }) {}

ShardRunner::~ShardRunner() { Thread.stop(); }

void ShardRunner::notify() { InboxHint = true; }

void ShardRunner::handleSessionLost() {
  SessionLost = true;
  Thread.wake();
}

bool ShardRunner::queryRun(const RunId &Run,
                           std::function<void(std::optional<RunView>)> Done) {
  const bool Posted = Mailbox.push([this, Run, Done = std::move(Done)] {
    for (const auto &[Shard, Held] : Shards) {
      const std::optional<RunRecord> Found = Held.Scheduler->run(Run);
      if (!Found)
        continue;
      RunView View;
      View.Record = *Found;
      const std::uint32_t Placed =
          Found->Running + Found->Succeeded + Found->Failed;
      View.PendingTasks =
          Found->Spec.Tasks > Placed ? Found->Spec.Tasks - Placed : 0;
      View.PendingReason = Held.Scheduler->pendingReason(Run);
      return Done(View);
    }
    Done(std::nullopt);
  });
  if (Posted)
    Thread.wake();
  return Posted;
}

std::vector<ShardStatus> ShardRunner::status() const {
  const std::lock_guard Lock(StatusMutex);
  return Status;
}

void ShardRunner::drainMailbox() {
  std::function<void()> Message;
  while (Mailbox.pop(Message, std::chrono::milliseconds(0)))
    Message();
}

void ShardRunner::round() {
  if (SessionLost.exchange(false)) {
    Shards.clear();
    Ownership.forgetAll();
  }
  drainMailbox();
  const TimePoint Now = Context.Time.now();
  // A wake only asks for the mailbox: each tick may cost a transaction.
  if (LastTick != TimePoint::min() &&
      Now - LastTick < Context.Values.Scheduler.Tick)
    return;
  LastTick = Now;
  if (Context.Session.isValid(Now))
    acquireShards(Now);
  HasInboxHint = InboxHint.exchange(false);
  std::vector<ShardId> Held;
  for (const auto &[Shard, Unused] : Shards)
    Held.push_back(Shard);
  for (const ShardId &Shard : Held) {
    try {
      runShard(Shard, Shards.at(Shard), Now);
    } catch (const Error &Failure) {
      Context.Events.failure(Component::Scheduler, "tick failed", Failure);
      if (Failure.kind() == ErrorKind::NoAuthority)
        drop(Shard, Failure.what());
    }
  }
  publishStatus(Now);
}

bool ShardRunner::mayTry(const ShardId &Shard, TimePoint Now) {
  const auto [Last, IsNew] = LastTry.try_emplace(Shard, Now);
  if (Ownership.isPreferred(Shard))
    return IsNew || Now - Last->second >= AcquireRetry;
  return Now - Last->second >= TakeoverDelay;
}

void ShardRunner::acquireShards(TimePoint Now) {
  for (const ShardId &Shard : AllShards) {
    if (Shards.contains(Shard) || !mayTry(Shard, Now))
      continue;
    LastTry[Shard] = Now;
    try {
      const AcquireResult Result = Ownership.tryAcquire(Shard, Now);
      if (Result == AcquireResult::Acquired)
        takeOver(Shard, Now);
    } catch (const Error &Failure) {
      Context.Events.failure(Component::Scheduler, "cannot take over a shard",
                             Failure);
    }
  }
}

void ShardRunner::takeOver(const ShardId &Shard, TimePoint Now) {
  const ShardRecord Record = *Ownership.owned(Shard);
  HeldShard Held;
  Held.Scheduler = std::make_unique<ShardScheduler>(Shard);
  try {
    const ShardRecovery Recovery = Ownership.recover(Shard);
    if (Recovery.Snapshot)
      Held.Scheduler->restore(*Recovery.Snapshot, Now);
    Held.EntriesSinceSnapshot = Recovery.Tail.size();
    for (const JournalRecord &Entry : Recovery.Tail)
      for (const JournalEvent &Event : Entry.Events)
        Held.Scheduler->apply(Event, Now);
  } catch (const Error &) {
    Ownership.release(Shard);
    throw;
  }
  const auto Post = [this](std::function<void()> Message) {
    return Mailbox.push(std::move(Message));
  };
  Held.Fleet =
      std::make_shared<WorkerFleet>(Context, Calls, Post, *Held.Scheduler,
                                    Record.ShardEpoch, Record.ShardEpoch > 1);
  Held.Grants = std::make_unique<TaskGrants>(
      Context.Table, Context.Codec, Context.Ids, Ownership, *Held.Scheduler,
      Context.Values.Scheduler.ShardsPerCell == 1);
  Shards.emplace(Shard, std::move(Held));
  Context.Counts.shardTakenOver();
  Context.Events.info(Component::Scheduler, "shard taken over",
                      Shard + " epoch " + std::to_string(Record.ShardEpoch));
}

void ShardRunner::drop(const ShardId &Shard, const std::string &Why) {
  Context.Events.warning(Component::Scheduler, "shard given up",
                         Shard + ": " + Why);
  Shards.erase(Shard);
  Ownership.forget(Shard);
}

void ShardRunner::runShard(const ShardId &Shard, HeldShard &Held,
                           TimePoint Now) {
  refreshWorkers(Shard, Held);
  const bool HasAuthority = Ownership.isOwner(Shard, Now);
  Held.Fleet->advance(Now, HasAuthority);
  if (!HasAuthority)
    return;
  if (Ownership.isPending(Shard)) {
    settle(Shard, Held);
    if (!Shards.contains(Shard))
      return;
  }
  const std::shared_ptr<const Config> Document = Context.Session.config();
  if (Document)
    Held.Grants->advance(*Document, Now);
  readInbox(Shard, Held, Now);
  tick(Shard, Held, Now);
}

void ShardRunner::refreshWorkers(const ShardId &Shard, HeldShard &Held) {
  const InstanceListService::Snapshot Listed = List.latest();
  const std::shared_ptr<const Config> Document = Context.Session.config();
  if (!Listed || !Document ||
      (Listed == Held.SeenList && Document->Version == Held.SeenConfig))
    return;
  const auto Assigned =
      assignWorkers(Listed->Workers, Context.Values.Scheduler.ShardsPerCell);
  std::vector<ListedWorker> Own;
  std::vector<WorkerView> Views;
  for (const ListedWorker &Worker : Listed->Workers) {
    if (Assigned.at(Worker.Id) != Shard)
      continue;
    Own.push_back(Worker);
    WorkerView View{Worker.Id,
                    Worker.Zone,
                    Worker.Rack,
                    Worker.Capacity,
                    Worker.ListedLabels,
                    Document->DrainedWorkers.contains(Worker.Id),
                    Worker.State == ListedState::Leaving};
    const auto Configured = Document->WorkerLabels.find(Worker.Id);
    if (Configured != Document->WorkerLabels.end())
      for (const auto &[Label, Value] : Configured->second)
        View.AllLabels[Label] = Value;
    Views.push_back(std::move(View));
  }
  Held.Fleet->setWorkers(Own);
  Held.Scheduler->setWorkers(Views);
  if (Document->Version != Held.SeenConfig)
    Held.Scheduler->setTeams(*Document);
  Held.SeenList = Listed;
  Held.SeenConfig = Document->Version;
}

void ShardRunner::readInbox(const ShardId &Shard, HeldShard &Held,
                            TimePoint Now) {
  if (Held.LastScan != TimePoint::min() && Now - Held.LastScan < ScanPeriod &&
      !HasInboxHint)
    return;
  Held.LastScan = Now;
  for (const Row &Entry :
       Context.Table.scan(keys::inboxPrefix(Shard), {}, MaxRowsPerScan)) {
    const RunId Run = runOfKey(Entry.Key);
    if (Held.Admitted.contains(Run))
      continue;
    const std::optional<Row> Found =
        Context.Table.read(keys::run(Entry.Value, Run));
    if (!Found)
      continue;
    Held.Scheduler->admit(Context.Codec.decodeRun(Found->Value));
    Held.Admitted.insert(Run);
  }
  for (const Row &Entry :
       Context.Table.scan(keys::cancelPrefix(Shard), {}, MaxRowsPerScan)) {
    // Repeated while the row exists, because the scheduler forgets the
    // cancellation of a run that it does not know after a while.
    Held.Scheduler->cancel(runOfKey(Entry.Key));
  }
}

void ShardRunner::tick(const ShardId &Shard, HeldShard &Held, TimePoint Now) {
  const TimePoint Start = Context.Time.now();
  Decisions Decided = Held.Scheduler->tick(Now);
  Context.Counts.decided(Context.Time.now() - Start);
  if (!Decided.needsCommit()) {
    Held.Fleet->carryOut(Decided);
    return;
  }
  TickCommit Commit;
  Commit.Events = Decided.Events;
  Commit.Runs = Decided.ChangedRuns;
  for (const RunId &Run : Decided.HandledAdmissions)
    Commit.DeletedKeys.push_back(keys::inbox(Shard, Run));
  for (const RunId &Run : Decided.HandledCancellations)
    Commit.DeletedKeys.push_back(keys::cancel(Shard, Run));
  Held.Uncommitted = std::move(Decided);
  const TimePoint CommitStart = Context.Time.now();
  const TickResult Result = Ownership.commitTick(Shard, Commit);
  Context.Counts.committed(Context.Time.now() - CommitStart);
  concludeCommit(Shard, Held, Result);
}

void ShardRunner::settle(const ShardId &Shard, HeldShard &Held) {
  concludeCommit(Shard, Held, Ownership.resolvePendingTick(Shard));
}

void ShardRunner::concludeCommit(const ShardId &Shard, HeldShard &Held,
                                 TickResult Result) {
  if (Result == TickResult::LostOwnership)
    return drop(Shard, "another instance owns it");
  if (!Held.Uncommitted)
    return;
  const Decisions Committed = std::move(*Held.Uncommitted);
  Held.Uncommitted.reset();
  for (const RunId &Run : Committed.HandledAdmissions)
    Held.Admitted.erase(Run);
  ++Held.EntriesSinceSnapshot;
  noteDecisions(Committed);
  // The commit may have taken longer than the authority lasted. The commands
  // are repeated after the next reports of the workers.
  if (Ownership.isOwner(Shard, Context.Time.now()))
    Held.Fleet->carryOut(Committed);
  saveSnapshotIfDue(Shard, Held);
}

void ShardRunner::noteDecisions(const Decisions &Committed) {
  for (const WaitSample &Wait : Committed.Waits)
    Context.Counts.taskStarted(Wait.Kind, Wait.Urgency, Wait.Waited);
  for (const RunRecord &Run : Committed.ChangedRuns)
    if (isFinal(Run.State))
      Context.Counts.runFinished(Run.Team, Run.State);
  for (const JournalEvent &Event : Committed.Events) {
    const auto *Ended = std::get_if<TaskEnded>(&Event);
    if (Ended != nullptr && Ended->Outcome == TaskState::Lost)
      Context.Counts.taskLost();
    const auto *Stopping = std::get_if<TaskStopping>(&Event);
    if (Stopping != nullptr && Stopping->Reason == StopReason::Preempted)
      Context.Counts.taskPreempted();
  }
}

void ShardRunner::saveSnapshotIfDue(const ShardId &Shard, HeldShard &Held) {
  if (Held.EntriesSinceSnapshot < EntriesPerSnapshot)
    return;
  Held.EntriesSinceSnapshot = EntriesPerSnapshot - EntriesPerSnapshotRetry;
  const std::uint64_t Last = Ownership.owned(Shard)->NextSequence - 1;
  if (Ownership.saveSnapshot(Shard, Held.Scheduler->snapshot(Last)) ==
      TickResult::LostOwnership)
    return drop(Shard, "another instance owns it");
  Held.EntriesSinceSnapshot = 0;
}

std::vector<WorkerStatus>
ShardRunner::workerStatus(const ShardId &Shard, const HeldShard &Held,
                          const std::vector<WorkerId> &Quarantined,
                          TimePoint Now) const {
  std::vector<WorkerStatus> Result;
  if (!Held.SeenList)
    return Result;
  const auto Assigned = assignWorkers(Held.SeenList->Workers,
                                      Context.Values.Scheduler.ShardsPerCell);
  const std::shared_ptr<const Config> Document = Context.Session.config();
  for (const ListedWorker &Worker : Held.SeenList->Workers) {
    if (Assigned.at(Worker.Id) != Shard)
      continue;
    WorkerStatus Entry;
    Entry.Worker = Worker;
    Entry.Tasks = std::uint32_t(Held.Scheduler->attemptsOn(Worker.Id).size());
    Entry.Drained = Document && Document->DrainedWorkers.contains(Worker.Id);
    Entry.Quarantined = std::find(Quarantined.begin(), Quarantined.end(),
                                  Worker.Id) != Quarantined.end();
    const std::optional<Duration> Silence = Held.Fleet->silence(Worker.Id, Now);
    Entry.SinceLastAnswerMs = Silence ? Silence->count() : -1;
    Result.push_back(std::move(Entry));
  }
  return Result;
}

void ShardRunner::publishStatus(TimePoint Now) {
  if (LastStatus != TimePoint::min() && Now - LastStatus < StatusPeriod)
    return;
  LastStatus = Now;
  std::vector<ShardStatus> Fresh;
  std::size_t Silent = 0;
  for (const auto &[Shard, Held] : Shards) {
    ShardStatus Entry;
    Entry.Shard = Shard;
    if (const std::optional<ShardRecord> Record = Ownership.owned(Shard)) {
      Entry.ShardEpoch = Record->ShardEpoch;
      Entry.NextSequence = Record->NextSequence;
    }
    Entry.CommitPending = Ownership.isPending(Shard);
    Entry.Stats = Held.Scheduler->stats();
    Entry.Grants = Held.Grants->held();
    Entry.Workers = workerStatus(Shard, Held, Entry.Stats.Quarantined, Now);
    Silent += Held.Fleet->silentWorkers(Now);
    for (const auto &[Team, Standing] : Entry.Stats.Teams)
      Context.Counts.setShareDistance(Team, Standing.Fraction - Standing.Share);
    Context.Counts.setTasks(TaskState::Pending, Entry.Stats.WaitingTasks);
    Context.Counts.setTasks(TaskState::Running, Entry.Stats.ActiveTasks);
    Context.Counts.setPacking(ResourceKind::Cpu, Entry.Stats.Packing);
    Context.Counts.setWorkers(WorkerCondition::Quarantined,
                              Entry.Stats.Quarantined.size());
    Fresh.push_back(std::move(Entry));
  }
  Context.Counts.setWorkers(WorkerCondition::Silent, Silent);
  Context.Counts.setLeasesHeld(LeaseKind::Shard, Shards.size());
  const std::lock_guard Lock(StatusMutex);
  Status = std::move(Fresh);
}

void ShardRunner::finish() {
  Thread.stop();
  for (const ShardId &Shard : Ownership.ownedShards()) {
    try {
      Ownership.release(Shard);
      Context.Events.info(Component::Scheduler, "shard released", Shard);
    } catch (const Error &Failure) {
      // Another instance takes it over once this session has ended.
      Context.Events.failure(Component::Scheduler, "cannot release a shard",
                             Failure);
    }
  }
  Shards.clear();
}

} // namespace apricotwing
