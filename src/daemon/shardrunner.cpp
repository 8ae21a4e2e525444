#include "daemon/shardrunner.h"

#include "core/shardmap.h"

#include <algorithm>
#include <utility>

namespace apricotwing {

namespace {

constexpr std::size_t WorkerCallPoolThreads = 16;
constexpr std::size_t MaxQueuedCalls = 16384;
constexpr std::size_t CallbackQueueCapacity = 16384;

/// Delay before an instance that is not the preferred owner tries to take over
/// a free shard.
constexpr Duration TakeoverDelay{2000};

/// Minimum interval at which the preferred owner reads the row of a shard that
/// another instance holds. Fencing the current owner takes much longer.
constexpr Duration AcquireRetry{500};

/// Interval of inbox scans without a notification. A notification causes an
/// immediate scan but may get lost.
constexpr Duration ScanPeriod{1000};
constexpr std::uint32_t MaxRowsPerScan = 1000;

/// Largest number of pages of an inbox that are read at a time while runs in it
/// wait for memory.
constexpr int MaxInboxPages = 10;

/// Journal entries between two snapshots. Bounds the part of the journal that a
/// new owner has to replay.
constexpr std::uint64_t JournalEntriesPerSnapshot = 500;

/// Journal entries between two attempts to save a snapshot, if the first one
/// failed. Each failed attempt may block the tick for the timeout of the object
/// store, so the next attempt is delayed.
constexpr std::uint64_t JournalEntriesPerRetry = 50;

constexpr Duration StatusPeriod{1000};

/// Returns the part of a row key after the last slash.
RunId runIdFromKey(const std::string &Key) {
  return Key.substr(Key.rfind('/') + 1);
}

} // namespace

ShardRunner::HeldShard::~HeldShard() {
  if (Fleet)
    Fleet->detach();
}

ShardRunner::ShardRunner(DaemonContext &Context,
                         const InstanceListService &Instances)
    : Context(Context), Instances(Instances),
      AllShards(shardIds(Context.Options.Scheduler.ShardsPerCell)),
      Ownership(Context.Table, Context.Objects, Context.Codec, Context.Ids,
                Context.Session),
      PostedCallbacks(CallbackQueueCapacity),
      WorkerCallPool(WorkerCallPoolThreads, MaxQueuedCalls),
      Thread(
          Context.Options.Scheduler.Tick, [this] { round(); },
          [&Context](const std::exception &Failure) {
            Context.Logger.failure(Component::Scheduler, "round failed",
                                   Failure);
          }) {}

ShardRunner::~ShardRunner() { Thread.stop(); }

void ShardRunner::notify() { InboxNotified = true; }

void ShardRunner::handleSessionLost() {
  SessionLost = true;
  Thread.wake();
}

bool ShardRunner::queryRun(
    const RunId &Run, std::function<void(std::optional<RunView>)> OnResult) {
  const bool Posted =
      PostedCallbacks.push([this, Run, OnResult = std::move(OnResult)] {
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
          return OnResult(View);
        }
        OnResult(std::nullopt);
      });
  if (Posted)
    Thread.wake();
  return Posted;
}

std::vector<ShardStatus> ShardRunner::status() const {
  const std::lock_guard Lock(StatusMutex);
  return Status;
}

void ShardRunner::runPostedCallbacks() {
  std::function<void()> Callback;
  while (PostedCallbacks.pop(Callback, std::chrono::milliseconds(0)))
    Callback();
}

void ShardRunner::round() {
  if (SessionLost.exchange(false)) {
    Shards.clear();
    Ownership.forgetAll();
  }
  runPostedCallbacks();
  const TimePoint Now = Context.Time.now();
  // A wake-up only runs the posted callbacks. It does not start an early tick,
  // because each tick may cost a transaction.
  if (LastTick != TimePoint::min() &&
      Now - LastTick < Context.Options.Scheduler.Tick)
    return;
  LastTick = Now;
  if (Context.Session.isValid(Now))
    acquireShards(Now);
  ScanInboxNow = InboxNotified.exchange(false);
  std::vector<ShardId> HeldIds;
  for (const auto &[Shard, Unused] : Shards)
    HeldIds.push_back(Shard);
  for (const ShardId &Shard : HeldIds) {
    try {
      runShard(Shard, Shards.at(Shard), Now);
    } catch (const Error &Failure) {
      Context.Logger.failure(Component::Scheduler, "tick failed", Failure);
      if (Failure.kind() == ErrorKind::NoAuthority)
        abandonShard(Shard, Failure.what());
    }
  }
  publishStatus(Now);
}

bool ShardRunner::isAcquireDue(const ShardId &Shard, TimePoint Now) {
  const auto [Last, IsNew] = LastAcquireAttempt.try_emplace(Shard, Now);
  if (Ownership.isPreferred(Shard))
    return IsNew || Now - Last->second >= AcquireRetry;
  return Now - Last->second >= TakeoverDelay;
}

void ShardRunner::acquireShards(TimePoint Now) {
  for (const ShardId &Shard : AllShards) {
    if (Shards.contains(Shard) || !isAcquireDue(Shard, Now))
      continue;
    LastAcquireAttempt[Shard] = Now;
    try {
      const AcquireResult Result = Ownership.tryAcquire(Shard, Now);
      if (Result == AcquireResult::Acquired)
        takeOver(Shard, Now);
    } catch (const Error &Failure) {
      Context.Logger.failure(Component::Scheduler, "cannot take over a shard",
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
  const auto Post = [this](std::function<void()> Callback) {
    return PostedCallbacks.push(std::move(Callback));
  };
  Held.Fleet = std::make_shared<WorkerFleet>(Context, WorkerCallPool, Post,
                                             *Held.Scheduler, Record.ShardEpoch,
                                             Record.ShardEpoch > 1);
  Held.Grants = std::make_unique<TaskGrants>(
      Context.Table, Context.Codec, Context.Ids, Ownership, *Held.Scheduler,
      Context.Options.Scheduler.ShardsPerCell == 1);
  Shards.emplace(Shard, std::move(Held));
  Context.Metrics.shardTakenOver();
  Context.Logger.info(Component::Scheduler, "shard taken over",
                      Shard + " epoch " + std::to_string(Record.ShardEpoch));
}

void ShardRunner::abandonShard(const ShardId &Shard,
                               const std::string &Reason) {
  Context.Logger.warning(Component::Scheduler, "shard abandoned",
                         Shard + ": " + Reason);
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
    resolvePendingCommit(Shard, Held);
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
  const InstanceListService::Snapshot Snapshot = Instances.latest();
  const std::shared_ptr<const Config> Document = Context.Session.config();
  if (!Snapshot || !Document ||
      (Snapshot == Held.LastInstances &&
       Document->Version == Held.LastConfigVersion))
    return;
  const auto Assigned =
      assignWorkers(Snapshot->Workers, Context.Options.Scheduler.ShardsPerCell);
  std::vector<ListedWorker> OwnWorkers;
  std::vector<WorkerView> Views;
  for (const ListedWorker &Worker : Snapshot->Workers) {
    if (Assigned.at(Worker.Id) != Shard)
      continue;
    OwnWorkers.push_back(Worker);
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
  Held.Fleet->setWorkers(OwnWorkers);
  Held.Scheduler->setWorkers(Views);
  if (Document->Version != Held.LastConfigVersion)
    Held.Scheduler->setTeams(*Document);
  Held.LastInstances = Snapshot;
  Held.LastConfigVersion = Document->Version;
}

void ShardRunner::readInbox(const ShardId &Shard, HeldShard &Held,
                            TimePoint Now) {
  if (Held.LastScan != TimePoint::min() && Now - Held.LastScan < ScanPeriod &&
      !ScanInboxNow)
    return;
  Held.LastScan = Now;
  std::set<TeamName> FullTeams; // Whose next run has no room.
  std::string After;
  for (int Page = 0; Page < MaxInboxPages; ++Page) {
    const std::vector<Row> Rows =
        Context.Table.scan(keys::inboxPrefix(Shard), After, MaxRowsPerScan);
    for (const Row &Entry : Rows)
      if (!FullTeams.contains(Entry.Value) &&
          !readInboxRow(Held, Entry.Value, runIdFromKey(Entry.Key)))
        FullTeams.insert(Entry.Value);
    // Runs that have room may follow those of full teams.
    if (FullTeams.empty() || Rows.size() < MaxRowsPerScan)
      break;
    After = Rows.back().Key;
  }
  if (!FullTeams.empty())
    Context.Logger.warning(Component::Scheduler, "runs wait for memory",
                           "teams: " + std::to_string(FullTeams.size()));
  for (const Row &Entry :
       Context.Table.scan(keys::cancelPrefix(Shard), {}, MaxRowsPerScan))
    readCancellation(Held, Entry.Value, runIdFromKey(Entry.Key));
}

// Returns false if the run has no room, and then leaves it in the inbox.
bool ShardRunner::readInboxRow(HeldShard &Held, const TeamName &Team,
                               const RunId &Run) {
  if (Held.AdmittedRuns.contains(Run))
    return true;
  const std::optional<Row> Found = Context.Table.read(keys::run(Team, Run));
  if (!Found)
    return true;
  const RunRecord Record = Context.Codec.decodeRun(Found->Value);
  if (!Held.Scheduler->hasRoomFor(Record))
    return false;
  Held.Scheduler->admit(Record);
  Held.AdmittedRuns.insert(Run);
  return true;
}

void ShardRunner::readCancellation(HeldShard &Held, const TeamName &Team,
                                   const RunId &Run) {
  if (!Held.Scheduler->knows(Run)) {
    // Admission and retirement change the run's row, so the row tells whether
    // the run is still in a part of the inbox that has not been read, or was
    // retired by an earlier owner.
    const std::optional<Row> Found = Context.Table.read(keys::run(Team, Run));
    const std::optional<RunRecord> Record =
        Found ? std::optional(Context.Codec.decodeRun(Found->Value))
              : std::nullopt;
    if (!Record || isFinal(Record->State))
      return Held.Scheduler->discardCancellation(Run);
    if (!Held.Scheduler->hasRoomFor(*Record))
      return; // The next scan finds the row of the cancellation again.
    Held.Scheduler->admit(*Record);
    Held.AdmittedRuns.insert(Run);
  }
  Held.Scheduler->cancel(Run);
}

void ShardRunner::tick(const ShardId &Shard, HeldShard &Held, TimePoint Now) {
  const TimePoint Start = Context.Time.now();
  Decisions Decided = Held.Scheduler->tick(Now);
  Context.Metrics.tickDecided(Context.Time.now() - Start);
  if (!Decided.needsCommit()) {
    Held.Fleet->sendCommands(Decided);
    return;
  }
  TickCommit Commit;
  Commit.Events = Decided.Events;
  Commit.Runs = Decided.ChangedRuns;
  for (const RunId &Run : Decided.HandledAdmissions)
    Commit.DeletedKeys.push_back(keys::inbox(Shard, Run));
  for (const RunId &Run : Decided.HandledCancellations)
    Commit.DeletedKeys.push_back(keys::cancel(Shard, Run));
  Held.PendingDecisions = std::move(Decided);
  const TimePoint CommitStart = Context.Time.now();
  const TickResult Result = Ownership.commitTick(Shard, Commit);
  Context.Metrics.tickCommitted(Context.Time.now() - CommitStart);
  finishCommit(Shard, Held, Result);
}

void ShardRunner::resolvePendingCommit(const ShardId &Shard, HeldShard &Held) {
  finishCommit(Shard, Held, Ownership.resolvePendingTick(Shard));
}

void ShardRunner::finishCommit(const ShardId &Shard, HeldShard &Held,
                               TickResult Result) {
  if (Result == TickResult::LostOwnership)
    return abandonShard(Shard, "another instance owns it");
  if (!Held.PendingDecisions)
    return;
  const Decisions Committed = std::move(*Held.PendingDecisions);
  Held.PendingDecisions.reset();
  for (const RunId &Run : Committed.HandledAdmissions)
    Held.AdmittedRuns.erase(Run);
  ++Held.EntriesSinceSnapshot;
  recordDecisions(Committed);
  // The authority may have expired during the commit. Commands that are not
  // sent now are repeated after the next reports of the workers.
  if (Ownership.isOwner(Shard, Context.Time.now()))
    Held.Fleet->sendCommands(Committed);
  saveSnapshotIfDue(Shard, Held);
}

void ShardRunner::recordDecisions(const Decisions &Committed) {
  for (const WaitSample &Wait : Committed.Waits)
    Context.Metrics.taskStarted(Wait.Kind, Wait.Urgency, Wait.Waited);
  for (const RunRecord &Run : Committed.ChangedRuns)
    if (isFinal(Run.State))
      Context.Metrics.runFinished(Run.Team, Run.State);
  for (const JournalEvent &Event : Committed.Events) {
    const auto *Ended = std::get_if<TaskEnded>(&Event);
    if (Ended != nullptr && Ended->Outcome == TaskState::Lost)
      Context.Metrics.taskLost();
    const auto *Stopping = std::get_if<TaskStopping>(&Event);
    if (Stopping != nullptr && Stopping->Reason == StopReason::Preempted)
      Context.Metrics.taskPreempted();
  }
}

void ShardRunner::saveSnapshotIfDue(const ShardId &Shard, HeldShard &Held) {
  // Reports may have arrived while the outcome of the commit was unknown.
  if (Held.EntriesSinceSnapshot < JournalEntriesPerSnapshot ||
      Held.Scheduler->hasUncommittedEvents())
    return;
  Held.EntriesSinceSnapshot =
      JournalEntriesPerSnapshot - JournalEntriesPerRetry;
  const std::uint64_t Last = Ownership.owned(Shard)->NextSequence - 1;
  if (Ownership.saveSnapshot(Shard, Held.Scheduler->snapshot(Last)) ==
      TickResult::LostOwnership)
    return abandonShard(Shard, "another instance owns it");
  Held.EntriesSinceSnapshot = 0;
}

std::vector<WorkerStatus>
ShardRunner::workerStatus(const ShardId &Shard, const HeldShard &Held,
                          const std::vector<WorkerId> &Quarantined,
                          TimePoint Now) const {
  std::vector<WorkerStatus> Result;
  if (!Held.LastInstances)
    return Result;
  const auto Assigned = assignWorkers(Held.LastInstances->Workers,
                                      Context.Options.Scheduler.ShardsPerCell);
  const std::shared_ptr<const Config> Document = Context.Session.config();
  for (const ListedWorker &Worker : Held.LastInstances->Workers) {
    if (Assigned.at(Worker.Id) != Shard)
      continue;
    WorkerStatus Entry;
    Entry.Worker = Worker;
    Entry.Tasks = std::uint32_t(Held.Scheduler->attemptsOn(Worker.Id).size());
    Entry.Drained = Document && Document->DrainedWorkers.contains(Worker.Id);
    Entry.Quarantined = std::find(Quarantined.begin(), Quarantined.end(),
                                  Worker.Id) != Quarantined.end();
    const std::optional<Duration> SinceResponse =
        Held.Fleet->timeSinceResponse(Worker.Id, Now);
    Entry.SinceLastAnswerMs = SinceResponse ? SinceResponse->count() : -1;
    Result.push_back(std::move(Entry));
  }
  return Result;
}

void ShardRunner::publishStatus(TimePoint Now) {
  if (LastStatus != TimePoint::min() && Now - LastStatus < StatusPeriod)
    return;
  LastStatus = Now;
  std::vector<ShardStatus> NewStatus;
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
      Context.Metrics.setShareDistance(Team,
                                       Standing.Fraction - Standing.Share);
    Context.Metrics.setTasks(TaskState::Pending, Entry.Stats.WaitingTasks);
    Context.Metrics.setTasks(TaskState::Running, Entry.Stats.ActiveTasks);
    Context.Metrics.setPackingRatio(ResourceKind::Cpu, Entry.Stats.Packing);
    Context.Metrics.setWorkers(WorkerCondition::Quarantined,
                               Entry.Stats.Quarantined.size());
    NewStatus.push_back(std::move(Entry));
  }
  Context.Metrics.setWorkers(WorkerCondition::Silent, Silent);
  Context.Metrics.setLeasesHeld(LeaseKind::Shard, Shards.size());
  const std::lock_guard Lock(StatusMutex);
  Status = std::move(NewStatus);
}

void ShardRunner::finish() {
  Thread.stop();
  for (const ShardId &Shard : Ownership.ownedShards()) {
    try {
      Ownership.release(Shard);
      Context.Logger.info(Component::Scheduler, "shard released", Shard);
    } catch (const Error &Failure) {
      // Another instance takes over the shard once this session has ended.
      Context.Logger.failure(Component::Scheduler, "cannot release a shard",
                             Failure);
    }
  }
  Shards.clear();
}

} // namespace apricotwing
