#include "cell/leader.h"

#include "cell/codec.h"
#include "cell/policytracker.h"
#include "cell/supervisorselection.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <utility>

namespace apricotwing::cell {

namespace {

/// Minimum interval between two watch calls for the worker registry. Each
/// response contains all rows that were written since.
constexpr Duration RegistryWatchInterval{250};
constexpr Duration RegistryWatchTimeout{2000};

/// The same for the transfers of workers between shards, which are rare.
constexpr Duration TransferWatchInterval{50};
constexpr Duration TransferWatchTimeout{2000};

/// Interval at which the leaders of shards compare their loads, and the age up
/// to which the load of another shard is used.
constexpr Duration LoadExchangeInterval{400};
constexpr Duration MaxLoadAge{1500};

/// A row of the registry that names a start further in the future than the
/// clocks of two machines can differ was not stored by the worker.
constexpr Duration MaxClockDifference{3'600'000};

/// A worker that is missing in the registry for this long is considered gone.
constexpr Duration UnregisteredGracePeriod{2500};

/// A member is removed, and its workers are reassigned, if no message arrives
/// from it for this long.
constexpr Duration MemberTimeout{1000};

/// The same limit for a member that still sends messages but whose replies are
/// late. It is longer because a busy leader processes the replies late itself.
constexpr Duration MemberAckTimeout{2500};

/// Maximum number of members that belong to other shards. They are the
/// instances with the largest CPU shares: candidates for leadership and
/// supervision.
constexpr std::size_t MaxGuests = 8;

/// Guests make calls for advice, too, if the shard has fewer members of its
/// own.
constexpr std::size_t MinAdvisers = 3;

/// The layout of a new cell is decided once no new worker has registered for
/// this long, which is the interval at which workers write to the registry, or
/// after MaxLayoutDelay.
constexpr Duration LayoutSettleTime{1500};
constexpr Duration MaxLayoutDelay{6000};

/// Leadership is transferred to a member whose CPU share is larger by this
/// factor, once it has been a member for MinTransferDelay.
constexpr double TransferShareRatio = 1.5;
constexpr Duration MinTransferDelay{2000};
constexpr Duration MaxSuccessorStoreAge{1000};

/// Minimum interval between two scheduling rounds, so that simultaneous events
/// are handled in one round.
constexpr Duration MinDecisionInterval{4};

/// Maximum interval between two scheduling rounds, because tickets and delays
/// expire without an event.
constexpr Duration MaxDecisionInterval{100};

/// Time for which a submission may be delayed by the network before or after
/// an instance keeps it open.
constexpr Duration SubmissionDelayMargin{30'000};

/// Interval of the removal of expired ended jobs.
constexpr Duration JobExpiryInterval{5000};

/// Interval of the checks of members, registry and advice calls.
constexpr Duration MaintenanceInterval{100};

/// Interval of the log lines about the load, and about a leader that cannot
/// serve.
constexpr Duration LoadLogInterval{2000};

/// Minimum interval between two writes of the past use of the accounts. With a
/// half-life of an hour, a lost leader takes at most 0.1% of the cell with it.
constexpr Duration UsageStoreInterval{5000};

/// Interval of the log lines about past use, and how many accounts they name.
constexpr Duration UsageLogInterval{30'000};
constexpr std::size_t MaxUsageLines = 20;

/// Time after which a run that has to end but has not is logged, in intervals
/// of LoadLogInterval, and how many of them.
constexpr Duration OverdueStopAge{2000};
constexpr int MaxOverdueStopLines = 20;

/// Time after which a step that waits is logged, in intervals of
/// LoadLogInterval, and how many steps of each cause. Workers are noticed as
/// lost within about this time, and calls for advice take up to 0.8 s.
constexpr Duration LongWait{3000};
constexpr std::size_t MaxWaitingLinesPerCause = 2;

/// Delay before a worker whose process has ended is assigned again if the
/// registry still contains the same process.
constexpr Duration EndedProcessDelay{1500};

/// Age of a run from which its confirmation is stored. Short runs have ended by
/// then and need no write.
constexpr Duration ConfirmationDelay{500};

/// Tolerance for a response that was in transit when the store failed.
constexpr Duration StoreResponseMargin{60};

/// Factor for the CPU share of the leader's own instance when workers are
/// distributed, because it also does the scheduling.
constexpr double LeaderSupervisionWeight = 0.5;

/// A long scheduling round is followed by a pause of this many times its
/// duration, so that messages and commits get the larger part of the CPU time.
constexpr int RoundPauseFactor = 2;

/// Factor for the load of a member that is in another zone than the worker.
constexpr double CrossZoneLoadFactor = 4;

/// Replaces the CPU share of an instance that reports none.
constexpr double MinCpuShare = 0.01;

/// A worker is moved to another member if that reduces the load by at least
/// this factor. After each move the worker's lists must be read again, which
/// takes about 20 ms.
constexpr double MinRebalanceGain = 1.3;
constexpr Duration RebalanceInterval{250};
constexpr int MaxMovesPerRebalance = 12;

/// Time after a takeover before workers are assigned.
constexpr Duration MinJoinPeriod{60};

/// Time after a takeover in which more members are expected to join. A member
/// notices the change with its next message, which an idle one sends within
/// 0.4 s, and then reads the leader record.
constexpr Duration MaxJoinPeriod{700};

/// Number of instances that members ask for the leader while the store does not
/// answer them, and minimum interval between two changes of the list.
constexpr std::size_t MaxContacts = 8;
constexpr Duration ContactsInterval{1000};

/// Maximum number of fencing tokens per term.
constexpr std::int64_t TokensPerTerm = 1'000'000;

} // namespace

Leader::Leader(const Ports &Deps, int Shard, const LeaderRecord &Record,
               std::int64_t Version, TimePoint SentAt)
    : Deps(Deps), Shard(Shard), Record(Record),
      StateJournal(Deps.Store, Deps.Time, Deps.Log, Deps.Times,
                   partitionOf(Shard), Record, Version, SentAt),
      Scheduler(Record.Term, Deps.Times.Scheduler),
      Calls(
          {Scheduler, StateJournal, Deps.Time, Deps.Log},
          {[this] { storeChangedJobs(); }, [this] { DecisionNeeded = true; }}),
      Registry(Deps.Store, Deps.Time, Deps.Records.workerTable(), {""},
               RegistryWatchInterval, RegistryWatchTimeout,
               Record.Instance.Name,
               {[this](const std::vector<StoredRow> &Rows) {
                  onRegistrySnapshot(Rows);
                },
                [this](const std::vector<StoredRow> &Rows) {
                  onRegistryChanges(Rows);
                }}),
      Loader(
          Deps.Store, Deps.Time, Deps.Log, partitionOf(Shard),
          Scheduler.usage().isEnabled(),
          {[this](ChangeLog Packed) { StateJournal.adopt(std::move(Packed)); },
           [this](StoredState Stored) { restoreJobs(std::move(Stored)); },
           [this](const std::string &Id, jobs::JobPhase Phase) {
             restoreEnded(Id, Phase);
           },
           [this] { onAllLoaded(); }}),
      LastToken(Record.Term * TokensPerTerm), TermStartedAt(Deps.Time.now()),
      NextObstacleLog(TermStartedAt + LoadLogInterval) {
  Deps.Log.event("leading", Record.Instance.Name,
                 {{"shard", std::to_string(Shard)},
                  {"term", std::to_string(Record.Term)},
                  {"version", std::to_string(Version)}});
}

// The layout of the cell.

void Leader::setLayout(const ShardLayout &NewLayout) {
  if (Ownership)
    return;
  Ownership.emplace(NewLayout);
  Scheduler.setServedAccounts([this](const std::string &Account) {
    return Ownership->layout().shardOfAccount(Account) == Shard;
  });
  std::vector<std::string> Foreign;
  for (const auto &[Id, Worker] : WorkerStates)
    if (!isOwnWorker(Id))
      Foreign.push_back(Id);
  for (const std::string &Id : Foreign)
    removeWorker(Id, jobs::WorkerLoss::Transferred, jobs::LossEvidence::NoRuns);
  if (NewLayout.shardCount() > 1) {
    std::vector<std::string> Partitions;
    Partitions.reserve(std::size_t(NewLayout.shardCount()));
    for (int Other = 0; Other < NewLayout.shardCount(); ++Other)
      Partitions.push_back(partitionOf(Other));
    const auto OnRows = [this](const std::vector<StoredRow> &Rows) {
      onTransfers(Rows);
    };
    Transfers = std::make_unique<TableWatcher>(
        Deps.Store, Deps.Time, TransferTable, std::move(Partitions),
        TransferWatchInterval, TransferWatchTimeout, Record.Instance.Name,
        TableWatcher::Callbacks{OnRows, OnRows});
  }
  if (Loaded)
    Calls.allowActiveJobs();
  if (Loader.isDone())
    Calls.allowAll();
  DecisionNeeded = true;
}

bool Leader::isOwnWorker(const std::string &Id) const {
  return !Ownership || Ownership->ownerOf(Id) == Shard;
}

// Without the transfers a worker might be used that was given away.
bool Leader::mayUseWorkers() const {
  return Ownership && (!Transfers || TransfersRead);
}

// Transfers of workers between shards.

void Leader::onTransfers(const std::vector<StoredRow> &Rows) {
  TransfersRead = true;
  std::set<std::string> Changed;
  for (const StoredRow &Row : Rows) {
    const auto Transfer =
        Row.Deleted ? std::nullopt : decodeTransfer(Row.Value);
    if (Transfer && Ownership->record(Row.Key, *Transfer))
      Changed.insert(Row.Key);
  }
  // Only the last transfer of a worker counts: an earlier one must not end the
  // runs of a worker that has returned.
  for (const std::string &Id : Changed) {
    if (!isOwnWorker(Id)) {
      removeWorker(Id, jobs::WorkerLoss::Transferred,
                   jobs::LossEvidence::NoRuns);
      continue;
    }
    if (const auto Known = ForeignRows.extract(Id); !Known.empty()) {
      Deps.Log.event(
          "worker received", Id,
          {{"number", std::to_string(Ownership->lastTransfer(Id).Number)}});
      applyRegistryRow(Known.mapped());
    }
  }
}

// Publishes the load of this shard and reads that of the others, which their
// leader records contain.
void Leader::exchangeLoads(TimePoint Now) {
  if (!Transfers || Now < NextLoadExchange)
    return;
  NextLoadExchange = Now + LoadExchangeInterval;
  const ShardLoad Own{Scheduler.usableWorkers(), Scheduler.freeShare(),
                      Scheduler.estimatedWait(std::numeric_limits<int>::max()),
                      Scheduler.longestWait(Now)};
  StateJournal.setLoad(Own);
  for (int Other = 0; Other < Ownership->layout().shardCount(); ++Other) {
    if (Other == Shard)
      continue;
    Deps.Store.read(
        LeaderTable, partitionOf(Other), LeaderKey, 1,
        Guard.wrap([this, Other](const ReadResult &Result) {
          if (Result.Outcome != StoreOutcome::Done || Result.Rows.empty())
            return;
          if (const auto Read = decodeLeaderRecord(Result.Rows.front().Value))
            OtherLoads[Other] = {Read->Load, Deps.Time.now()};
        }));
  }
  transferWorkers(Own, Now);
}

void Leader::transferWorkers(const ShardLoad &Own, TimePoint Now) {
  std::map<int, ShardLoad> Loads;
  for (const auto &[Other, Known] : OtherLoads)
    if (Now - Known.ReadAt < MaxLoadAge)
      Loads[Other] = Known.Load;
  std::vector<std::string> Idle;
  for (const auto &[Id, Worker] : WorkerStates)
    if (isIdle(Worker))
      Idle.push_back(Id);
  const auto Planned = planTransfer(Own, Loads, Idle.size());
  if (!Planned)
    return;
  Deps.Log.event(
      "workers transferred", Record.Instance.Name,
      {{"from", std::to_string(Shard)},
       {"to", std::to_string(Planned->To)},
       {"count", std::to_string(Planned->Workers)},
       {"their_wait_ms", std::to_string(Loads[Planned->To].Wait.count())}});
  for (std::size_t Index = 0; Index < Planned->Workers; ++Index)
    transferWorker(Idle[Index], Planned->To);
}

// True if the worker has no work and the outcome of all its orders is known.
bool Leader::isIdle(const WorkerState &Worker) const {
  const jobs::Worker *Host = Scheduler.worker(Worker.Info.Incarnation.Id);
  return Worker.Registered && Worker.InRoster && Host &&
         Host->isUsable(Deps.Time.now()) && Host->runs().empty() &&
         Host->claims().empty();
}

void Leader::transferWorker(const std::string &Id, int To) {
  const TransferRecord Last = Ownership->lastTransfer(Id);
  const TransferRecord Transfer{Shard, To, Last.Number + 1,
                                Last.Token + (Record.Term + 1) * TokensPerTerm};
  // One commit removes the worker from the roster and gives it away.
  StateJournal.write(
      {{TransferTable, Id, encode(Transfer)}, {RosterTable, Id, std::nullopt}});
  Ownership->record(Id, Transfer);
  WorkerStates.at(Id).InRoster = false;
  removeWorker(Id, jobs::WorkerLoss::Transferred, jobs::LossEvidence::NoRuns);
}

// A cell whose workers are just starting waits until they have registered,
// because the layout depends on their number and never changes.
void Leader::proposeLayout() {
  const TimePoint Now = Deps.Time.now();
  const bool Settled =
      !WorkerStates.empty() && Now - LastNewWorker >= LayoutSettleTime;
  if (LayoutProposed || (!Settled && Now - TermStartedAt < MaxLayoutDelay))
    return;
  LayoutProposed = true;
  // A store that has jobs or workers without a layout was written by a version
  // without shards.
  const bool Used =
      Scheduler.activeJobs() > 0 ||
      std::any_of(WorkerStates.begin(), WorkerStates.end(),
                  [](const auto &Entry) { return Entry.second.InRoster; });
  const ShardLayout Planned =
      Used ? ShardLayout()
           : planLayout(Scheduler.accounts(), WorkerStates.size(),
                        Members.size());
  StateJournal.put(LayoutTable, LayoutKey, encode(Planned));
  StateJournal.whenCommitted(Guard.wrap([this, Planned] {
    Deps.Log.event("layout stored", Record.Instance.Name,
                   {{"shards", std::to_string(Planned.shardCount())},
                    {"workers", std::to_string(WorkerStates.size())},
                    {"members", std::to_string(Members.size())}});
    setLayout(Planned);
    Deps.LayoutDecided(Planned);
  }));
}

void Leader::setPolicy(const jobs::ClusterPolicy &NewPolicy) {
  Scheduler.setPolicy(NewPolicy);
  PolicyVersion = NewPolicy.Version;
  DecisionNeeded = true;
  if (Loaded)
    storeSettings();
}

void Leader::setEvacuatedZones(const std::set<std::string> &Zones) {
  const std::set<std::string> Before = Scheduler.evacuatedZones();
  if (Zones == Before)
    return;
  Scheduler.setEvacuatedZones(Zones);
  for (const std::string &Zone : Zones)
    if (!Before.contains(Zone))
      logZone("zone evacuated", Zone);
  for (const std::string &Zone : Before)
    if (!Zones.contains(Zone))
      logZone("zone taken back", Zone);
  dropUnsentOrders();
  DecisionNeeded = true;
}

void Leader::logZone(std::string_view Event, const std::string &Zone) {
  const auto &Workers = Scheduler.workers();
  const auto Count =
      std::count_if(Workers.begin(), Workers.end(), [&Zone](const auto &Entry) {
        return Entry.second.info().Zone == Zone;
      });
  Deps.Log.event(
      Event, Zone,
      {{"shard", std::to_string(Shard)}, {"workers", std::to_string(Count)}});
}

// Drops what waits for the next message to a member and concerns evacuated
// workers: starts, and their names in requests for advice.
void Leader::dropUnsentOrders() {
  const TimePoint Now = Deps.Time.now();
  const auto IsEvacuated = [this](const std::string &Id) {
    const jobs::Worker *Host = Scheduler.worker(Id);
    return Host && Host->isEvacuated();
  };
  for (auto &[Name, Member] : Members) {
    auto &Starts = Member.Outgoing.Starts;
    const auto Dropped = std::stable_partition(
        Starts.begin(), Starts.end(), [&](const jobs::StartCommand &Order) {
          return !IsEvacuated(Order.Worker.Id);
        });
    for (auto Order = Dropped; Order != Starts.end(); ++Order) {
      forgetStart(Order->Worker, Order->Task, Order->Run);
      Scheduler.startRefused(Order->Worker, Order->Task, Order->Run,
                             jobs::StartRefusal::Expired, Now);
    }
    Starts.erase(Dropped, Starts.end());
    for (jobs::AdviceRequest &Request : Member.Outgoing.Advice)
      std::erase_if(Request.Workers, IsEvacuated);
    std::erase_if(Member.Outgoing.Advice, [&, &To = Name](const auto &Request) {
      if (!Request.Workers.empty())
        return false;
      Dispatcher.withdraw(To, Request.Step, Now);
      Scheduler.adviceFailed(Request.Step);
      return true;
    });
  }
}

// An evacuation that an old view lacks may be in force.
bool Leader::mayStart() const {
  return !Deps.Times.EvacuatesZones ||
         Deps.Time.now() - OperatorRowsKnownUntil <= PolicyTracker::MaxViewAge;
}

// Stored no later than the first job that needs them, because no job is
// accepted before the state is loaded.
void Leader::storeSettings() {
  const std::vector<RowChange> Changes =
      StoredSettings.update(Scheduler.settings());
  if (!Changes.empty())
    StateJournal.write(Changes);
}

// The row is part of a commit that takes place anyway. A leader that is lost
// loses what was used since the last one.
void Leader::storeUsage(TimePoint Now) {
  jobs::UsageHistory &Usage = Scheduler.usage();
  if (!Usage.isEnabled() || !Loaded || Now < NextUsageStore ||
      !StateJournal.isLeaseValid() || !StateJournal.isCommitDue() ||
      !Usage.takeChanged(Now))
    return;
  NextUsageStore = Now + UsageStoreInterval;
  StateJournal.put(
      UsageTable, UsageKey,
      encode(StoredUsage{StateJournal.timeAt(Now), Usage.stored(Now)}));
}

// State recovery after a takeover.

void Leader::restoreUsage(const StoredUsage &Stored) {
  const TimePoint Now = Deps.Time.now();
  const ShardTime SharedNow = StateJournal.timeAt(Now);
  std::optional<Duration> Elapsed;
  if (Stored.Time.Epoch == SharedNow.Epoch)
    Elapsed = Duration(SharedNow.Ms - Stored.Time.Ms);
  Scheduler.usage().restore(Stored.Shares, Elapsed, Now);
}

void Leader::restoreJobs(StoredState Stored) {
  const TimePoint Now = Deps.Time.now();
  if (Stored.Layout) {
    setLayout(*Stored.Layout);
    Deps.LayoutDecided(*Stored.Layout);
  }
  // Restore workers first because the placements of jobs refer to them.
  for (const RosterEntry &Entry : Stored.Roster) {
    WorkerState &Known = WorkerStates[Entry.Incarnation.Id];
    // The process of the roster may have runs, whatever the registry names.
    if (!Known.Registered || Known.Info.Incarnation != Entry.Incarnation) {
      if (Known.Registered)
        Known.NextProcess = Known.Info;
      Known.Info.Incarnation = Entry.Incarnation;
      Known.Info.Address = Entry.Address;
      Known.Info.Zone = Entry.Zone;
      Known.Info.Draining = true;
      Known.Info.DrainAssumed = true;
      Known.UnregisteredSince = Now;
      Scheduler.updateWorker(Known.Info, Now);
    }
    Known.InRoster = true;
  }
  // Members of the previous leader may have extended worker leases until their
  // own lease expired, which was last renewed before the previous term ended.
  for (auto &[Id, Worker] : WorkerStates)
    Worker.MaxLeaseEnd = latestGrantFrom(TermStartedAt);
  for (const RosterEntry &Entry : Stored.Roster)
    restoreLeaseEnd(Entry);
  JobRows = Stored.JobRows;
  Scheduler.restoreSettings(Stored.Settings);
  if (Stored.Usage)
    restoreUsage(*Stored.Usage);
  const std::int64_t UnixNowMs = Deps.WallTime.unixMs();
  const std::size_t JobCount = Stored.Jobs.size();
  // Each job is removed once it is restored, so that no two copies of all jobs
  // are in memory.
  while (!Stored.Jobs.empty()) {
    const auto Job = Stored.Jobs.extract(Stored.Jobs.begin());
    const auto Progress = Stored.Progress.extract(Job.key());
    const jobs::JobSpec &Spec = Job.mapped();
    const Duration Age(
        std::max<std::int64_t>(UnixNowMs - Spec.AcceptedUnixMs, 0));
    Scheduler.restore(
        Spec, Progress.empty() ? jobs::JobProgress{} : Progress.mapped(), Age,
        Now);
  }
  for (const RosterEntry &Entry : Stored.Roster)
    restoreUnconfirmedStarts(Entry);
  Scheduler.forgetUnusedSettings();
  StoredSettings = Stored.SettingRows;
  storeSettings();
  Deps.Log.event("state loaded", Record.Instance.Name,
                 {{"shard", std::to_string(Shard)},
                  {"term", std::to_string(Record.Term)},
                  {"jobs", std::to_string(JobCount)},
                  {"job_memory", std::to_string(Scheduler.memory().held())},
                  {"roster", std::to_string(Stored.Roster.size())},
                  {"unconfirmed", std::to_string(countUnconfirmedStarts())},
                  {"after_ms", std::to_string((Now - TermStartedAt).count())}});
  Loaded = true;
  if (Ownership)
    Calls.allowActiveJobs();
  DecisionNeeded = true;
}

void Leader::restoreLeaseEnd(const RosterEntry &Entry) {
  const TimePoint Now = Deps.Time.now();
  const ShardTime SharedNow = StateJournal.timeAt(Now);
  const auto LocalTimeOf =
      [&](const std::optional<ShardTime> &Stored) -> std::optional<TimePoint> {
    if (!Stored || Stored->Epoch != SharedNow.Epoch)
      return std::nullopt;
    return Now + Duration(Stored->Ms - SharedNow.Ms);
  };
  WorkerState &Worker = WorkerStates.at(Entry.Incarnation.Id);
  // The roster has only processes that had answered before this term.
  const TimePoint Latest = longestLeaseFrom(TermStartedAt);
  Worker.FormerLeaseEnd =
      std::min(LocalTimeOf(Entry.FormerLeaseEnd).value_or(Latest), Latest);
  Worker.MaxLeaseEnd = std::max(Worker.MaxLeaseEnd, *Worker.FormerLeaseEnd);
  if (const auto FrozenEnd = LocalTimeOf(Entry.LeaseEnd)) {
    Worker.LeaseFrozen = true;
    Worker.MaxLeaseEnd = std::min(Worker.MaxLeaseEnd, *FrozenEnd);
  }
}

void Leader::restoreUnconfirmedStarts(const RosterEntry &Entry) {
  WorkerState &Worker = WorkerStates.at(Entry.Incarnation.Id);
  const TimePoint Now = Deps.Time.now();
  const ShardTime SharedNow = StateJournal.timeAt(Now);
  const auto &Stored = Entry.LeaseEnd ? Entry.LeaseEnd : Entry.FormerLeaseEnd;
  const bool HasList =
      Entry.UnconfirmedStarts && Stored && Stored->Epoch == SharedNow.Epoch;
  const TimePoint LastSend = TermStartedAt + Deps.Times.MemberLease;
  if (HasList)
    for (const UnconfirmedStart &Start : *Entry.UnconfirmedStarts)
      Worker.UnconfirmedStarts[{Start.Task, Start.Run}] =
          std::min(Now + Duration(Start.SentMs - SharedNow.Ms), LastSend);
  // The list of a frozen lease is complete, as no start was sent after it.
  if (HasList && Entry.LeaseEnd)
    return;
  // The last leader may have been lost before it stored the list. A placement
  // is stored before its order is sent, so each start that may be on its way is
  // among those that are not stored as confirmed.
  for (const auto &Run : Scheduler.unconfirmedRuns(Entry.Incarnation))
    Worker.UnconfirmedStarts.try_emplace(Run, LastSend);
}

std::size_t Leader::countUnconfirmedStarts() const {
  std::size_t Result = 0;
  for (const auto &[Id, Worker] : WorkerStates)
    Result += Worker.UnconfirmedStarts.size();
  return Result;
}

std::vector<UnconfirmedStart> Leader::unconfirmedStarts(
    const WorkerState &Worker,
    const std::function<std::int64_t(TimePoint)> &Encode) const {
  std::vector<UnconfirmedStart> Result;
  for (const auto &[Key, SentAt] : Worker.UnconfirmedStarts)
    Result.push_back({Key.first, Key.second, Encode(SentAt)});
  return Result;
}

TimePoint Leader::longestLeaseFrom(TimePoint Answer) const {
  return Answer + Deps.Times.onWorkerClock(Deps.Times.MaxWorkerLease) +
         Deps.Times.ClockSkewMargin;
}

// Whether calls to a former process of a new worker may be on their way.
bool Leader::mayHaveBeenCalled(const std::string &Id) const {
  const TimePoint Now = Deps.Time.now();
  const bool IsEarlierTermOver =
      Record.Term == 1 || Now - TermStartedAt >= Deps.Times.MaxCallDelay;
  return !IsEarlierTermOver || RemovedAt.contains(Id) ||
         (Ownership && Ownership->lastTransfer(Id).Number > 0);
}

void Leader::noteContact(WorkerState &Worker) {
  if (Worker.FormerLeaseEnd)
    return;
  Worker.FormerLeaseEnd = longestLeaseFrom(Deps.Time.now());
  Worker.MaxLeaseEnd = std::max(Worker.MaxLeaseEnd, *Worker.FormerLeaseEnd);
}

void Leader::restoreEnded(const std::string &Id, jobs::JobPhase Phase) {
  jobs::JobSpec Ended;
  Ended.Id = Id;
  jobs::JobProgress Progress;
  Progress.Phase = Phase;
  Scheduler.restore(Ended, Progress, Duration{0}, Deps.Time.now());
}

void Leader::onAllLoaded() {
  Deps.Log.event("ended jobs loaded", Record.Instance.Name,
                 {{"term", std::to_string(Record.Term)},
                  {"after_ms",
                   std::to_string((Deps.Time.now() - TermStartedAt).count())}});
  if (Ownership)
    Calls.allowAll();
}

// CPU share that a member has for this shard if each shard that it leads takes
// the same part.
double Leader::effectiveShare(const MemberState &Member) {
  return Member.Info.CpuShare / (1 + Member.OtherShardsLed);
}

const Leader::MemberState *Leader::bestSuccessor() const {
  const TimePoint Now = Deps.Time.now();
  const MemberState *Best = nullptr;
  for (const auto &[Name, Member] : Members) {
    const bool Eligible = Name != Record.Instance.Name && !Member.Leaving &&
                          Member.Sender->isEstablished() &&
                          Now - Member.StoreAnsweredAt < MaxSuccessorStoreAge;
    if (Eligible && (!Best || effectiveShare(Member) > effectiveShare(*Best)))
      Best = &Member;
  }
  return Best;
}

// Names a successor only if it is much larger than another member. Among equal
// members the first one that notices the step-down takes over without waiting.
void Leader::stepDown() {
  const MemberState *Candidate = bestSuccessor();
  const bool HasLargeCandidate =
      Candidate &&
      std::any_of(Members.begin(), Members.end(), [&](const auto &One) {
        return effectiveShare(One.second) * TransferShareRatio <=
               effectiveShare(*Candidate);
      });
  const std::string Successor =
      HasLargeCandidate ? Candidate->Info.Name : std::string();
  Deps.Log.event("stepping down", Record.Instance.Name,
                 {{"shard", std::to_string(Shard)},
                  {"term", std::to_string(Record.Term)},
                  {"for", Successor}});
  // The next leader takes over sooner than after a crash, in which time these
  // starts may still reach the next processes of their workers.
  for (const auto &[Id, Worker] : WorkerStates)
    if (Worker.InRoster && !Worker.UnconfirmedStarts.empty())
      storeRosterEntry(Worker);
  Scheduler.markConfirmationsChanged(Deps.Time.now());
  storeChangedJobs();
  StateJournal.stepDown(Successor);
}

// The leader needs more CPU time than any other member. This matters in a cell
// with instances of unequal size whose small instances started first, and after
// the loss of leaders, when an instance may lead several shards. It gives up
// all but the one with the lowest number.
bool Leader::shouldTransferLeadership() const {
  const TimePoint Now = Deps.Time.now();
  const MemberState *Candidate = bestSuccessor();
  const double OwnShare = Record.Instance.CpuShare / (1 + LowerShardsLed);
  return Loaded && Candidate &&
         effectiveShare(*Candidate) >= OwnShare * TransferShareRatio &&
         Now - Candidate->JoinedAt >= MinTransferDelay &&
         Now - TermStartedAt >= MinTransferDelay;
}

bool Leader::shouldResign() const {
  const Duration Failing = StateJournal.failureDuration();
  if (Failing < Deps.Times.ResignTimeout)
    return false;
  // If the store is down for all instances, no member has received a response
  // since the first failure.
  const TimePoint Since = Deps.Time.now() - Failing + StoreResponseMargin;
  return std::any_of(Members.begin(), Members.end(), [&](const auto &Member) {
    return Member.first != Record.Instance.Name && !Member.second.Leaving &&
           Member.second.StoreAnsweredAt > Since;
  });
}

// Worker registry.

void Leader::onRegistrySnapshot(const std::vector<StoredRow> &Rows) {
  std::set<std::string> Named;
  ForeignRows.clear();
  for (const StoredRow &Row : Rows) {
    applyRegistryRow(Row);
    Named.insert(Row.Key);
  }
  for (auto &[Id, Worker] : WorkerStates)
    if (Worker.Registered && !Named.contains(Id))
      markUnregistered(Worker);
  RegistryRead = true;
  DecisionNeeded = true;
}

void Leader::onRegistryChanges(const std::vector<StoredRow> &Rows) {
  for (const StoredRow &Row : Rows)
    applyRegistryRow(Row);
}

void Leader::applyRegistryRow(const StoredRow &Row) {
  if (!isOwnWorker(Row.Key)) {
    if (Row.Deleted)
      ForeignRows.erase(Row.Key);
    else
      ForeignRows[Row.Key] = Row;
    return;
  }
  const auto Found = WorkerStates.find(Row.Key);
  if (Row.Deleted) {
    // It may be dropped early while the worker goes on.
    if (Found != WorkerStates.end() && Found->second.Registered)
      markUnregistered(Found->second);
    return;
  }
  const auto Info = Deps.Records.decodeWorker(Row);
  if (!Info)
    return; // The row describes no usable worker.
  if (Info->Incarnation.StartedUnixMs >
      Deps.WallTime.unixMs() + MaxClockDifference.count()) {
    Deps.Log.event("worker row ignored", Row.Key,
                   {{"born", std::to_string(Info->Incarnation.StartedUnixMs)}});
    return;
  }
  if (Found != WorkerStates.end() &&
      Found->second.Info.Incarnation != Info->Incarnation) {
    announceNextProcess(Found->second, *Info);
    return;
  }
  if (Found != WorkerStates.end()) {
    Found->second.NextProcess.reset();
    if (Found->second.Registered && Found->second.Info == *Info)
      return;
  }
  updateWorkerInfo(*Info);
}

void Leader::updateWorkerInfo(const jobs::WorkerInfo &Info) {
  const std::string &Id = Info.Incarnation.Id;
  const bool IsNew = !WorkerStates.contains(Id);
  WorkerState &Worker = WorkerStates[Id];
  if (IsNew) {
    LastNewWorker = Deps.Time.now();
    // Another shard may have used the worker until now.
    if (Ownership && Ownership->lastTransfer(Id).Number > 0)
      Worker.MaxLeaseEnd = latestGrantFrom(LastNewWorker);
    if (!mayHaveBeenCalled(Id))
      Worker.FormerLeaseEnd = LastNewWorker;
  }
  if (Worker.Info.Draining != Info.Draining)
    Deps.Log.event("worker drain state", Id,
                   {{"draining", Info.Draining ? "1" : "0"}});
  Worker.Info = Info;
  Worker.Registered = true;
  Worker.StopAnnounced = Worker.StopAnnounced || Info.Draining;
  Scheduler.updateWorker(Info, Deps.Time.now());
  DecisionNeeded = true;
}

// The row may be a delayed one or that of another writer, so the runs of the
// known process go on until it is certain that they have ended.
void Leader::announceNextProcess(WorkerState &Worker,
                                 const jobs::WorkerInfo &Next) {
  Worker.NextProcess = Next;
  Worker.Registered = true;
  const bool IsLater =
      Next.Incarnation.StartedUnixMs > Worker.Info.Incarnation.StartedUnixMs;
  if (!IsLater || Worker.Info.Draining)
    return;
  Deps.Log.event("worker seems restarted", Next.Incarnation.Id,
                 {{"born", std::to_string(Next.Incarnation.StartedUnixMs)}});
  Worker.Info.Draining = true;
  Worker.Info.DrainAssumed = true;
  Scheduler.updateWorker(Worker.Info, Deps.Time.now());
}

// Replaces processes that do not answer and have no runs by those that the
// registry names.
void Leader::replaceEndedProcesses() {
  std::vector<jobs::WorkerInfo> Next;
  for (const auto &[Id, Worker] : WorkerStates) {
    const jobs::Worker *Known = Scheduler.worker(Id);
    const bool Answers = Known && Known->isSynced() && Worker.Answers;
    const bool HasRuns = !Worker.Resolved || (Known && !Known->runs().empty());
    if (Worker.NextProcess && !Answers && !HasRuns)
      Next.push_back(*Worker.NextProcess);
  }
  for (const jobs::WorkerInfo &Info : Next) {
    const std::string &Id = Info.Incarnation.Id;
    Deps.Log.event("worker restarted", Id,
                   {{"born", std::to_string(Info.Incarnation.StartedUnixMs)}});
    const WorkerState &Former = WorkerStates.at(Id);
    // A row with an earlier start does not show that the process has crashed.
    const bool IsLater = Former.Info.Incarnation < Info.Incarnation;
    removeWorker(Id,
                 Former.causeOfLoss(IsLater ? jobs::WorkerLoss::ProcessEnded
                                            : jobs::WorkerLoss::LeaseExpired),
                 jobs::LossEvidence::NoRuns);
    updateWorkerInfo(Info);
  }
}

void Leader::markUnregistered(WorkerState &Worker) {
  Worker.Registered = false;
  Worker.NextProcess.reset();
  Worker.UnregisteredSince = Deps.Time.now();
  Deps.Log.event("worker left the registry", Worker.Info.Incarnation.Id, {});
}

void Leader::removeUnregistered() {
  const TimePoint Now = Deps.Time.now();
  std::vector<std::string> Gone;
  for (auto &[Id, Worker] : WorkerStates) {
    if (Worker.Registered ||
        Now - Worker.UnregisteredSince < UnregisteredGracePeriod)
      continue;
    if (!Worker.Info.Draining) {
      Worker.Info.Draining = true;
      Worker.Info.DrainAssumed = true;
      Scheduler.updateWorker(Worker.Info, Now);
    }
    const jobs::Worker *Known = Scheduler.worker(Id);
    const bool Empty = Worker.Resolved && (!Known || Known->runs().empty());
    if (Empty && (!Known || !Known->isSynced() || !Worker.Answers))
      Gone.push_back(Id);
  }
  for (const std::string &Id : Gone) {
    const WorkerState &Worker = WorkerStates.at(Id);
    // A machine that responds, but has no process that listens or registers, is
    // not cut off.
    const jobs::WorkerLoss Unannounced = Worker.AbsentAtExpiry
                                             ? jobs::WorkerLoss::ProcessEnded
                                             : jobs::WorkerLoss::Gone;
    Deps.Log.event("worker removed", Id,
                   {{"refused", Worker.AbsentAtExpiry ? "1" : "0"}});
    removeWorker(Id, Worker.causeOfLoss(Unannounced),
                 jobs::LossEvidence::NoRuns);
  }
}

void Leader::removeWorker(const std::string &Id, jobs::WorkerLoss Cause,
                          jobs::LossEvidence Evidence) {
  const auto Found = WorkerStates.find(Id);
  if (Found == WorkerStates.end())
    return;
  Scheduler.removeWorker(Found->second.Info.Incarnation, Cause, Deps.Time.now(),
                         proofOf(Found->second, Evidence));
  logLostRuns(Found->second);
  releaseFromMember(Id);
  if (Found->second.InRoster || Found->second.RosterPending)
    StateJournal.remove(RosterTable, Id);
  RemovedAt[Id] = Deps.Time.now();
  WorkerStates.erase(Found);
  DecisionNeeded = true;
}

TimePoint Leader::latestGrantFrom(TimePoint LastContact) const {
  return LastContact + Deps.Times.MemberLease + Deps.Times.WorkerLease +
         Deps.Times.ClockSkewMargin;
}

// The last member may extend the lease until it gets the revocation, or for as
// long as it may without an acknowledgement.
void Leader::assumeLeased(WorkerState &Worker, TimePoint LastContact) const {
  if (!Worker.LeaseFrozen)
    Worker.MaxLeaseEnd =
        std::max(Worker.MaxLeaseEnd, latestGrantFrom(LastContact));
  for (auto &[Key, SentAt] : Worker.UnconfirmedStarts)
    SentAt = std::min(SentAt, LastContact + Deps.Times.MemberLease);
}

// A message that has both an assignment and a revocation of a worker would not
// tell which is the later one.
void Leader::withdrawAssignment(LeaderMessage &Message,
                                const jobs::WorkerIncarnation &Worker) {
  std::erase_if(Message.Assigned, [&Worker](const Assignment &Earlier) {
    return Earlier.Incarnation == Worker;
  });
  std::erase(Message.Revoked, Worker);
}

void Leader::releaseFromMember(const std::string &Id) {
  WorkerState &Worker = WorkerStates.at(Id);
  const auto Member = Members.find(Worker.Member);
  if (Member != Members.end()) {
    Member->second.Workers.erase(Id);
    withdrawAssignment(Member->second.Outgoing, Worker.Info.Incarnation);
    Member->second.Outgoing.Revoked.push_back(Worker.Info.Incarnation);
  }
  Worker.Member.clear();
}

// Messages from members.

std::optional<EnvelopeReply> Leader::receive(const Envelope &Message) {
  if (StateJournal.isDeposed() || Message.Term != Record.Term)
    return EnvelopeReply{false};
  // Without a valid lease nothing may be confirmed. The member sends the
  // message again.
  if (!StateJournal.isLeaseValid())
    return std::nullopt;
  const TimePoint Now = Deps.Time.now();
  auto Found = Members.find(Message.From.Name);
  const bool IsOpen =
      Found != Members.end() && Found->second.Session == Message.Session;
  if (!IsOpen) {
    if (Message.Sequence != 1)
      return EnvelopeReply{false};
    if (Found != Members.end())
      removeMember(Message.From.Name);
    if (Message.Guest && isFull())
      return EnvelopeReply{false, false, true};
    MemberState &NewMember = Members[Message.From.Name];
    NewMember.Info = Message.From;
    NewMember.Guest = Message.Guest;
    NewMember.Session = Message.Session;
    NewMember.JoinedAt = Now;
    NewMember.Outgoing.Contacts = Contacts;
    NewMember.Sender = std::make_unique<MessageSender>(
        Deps.Peers, Deps.Time, Deps.Times, Message.From.Address,
        Deps.Times.LeaderKeepAliveInterval,
        MessageSender::Source{
            [&NewMember] { return !NewMember.Outgoing.isEmpty(); },
            [this, &NewMember](std::int64_t Sequence) {
              return composeMessage(NewMember, Sequence);
            }});
    Found = Members.find(Message.From.Name);
    updateAdvisers();
    Deps.Log.event("member joined", Message.From.Name,
                   {{"session", Message.Session},
                    {"zone", Message.From.Zone},
                    {"guest", Message.Guest ? "1" : "0"}});
  }
  MemberState &From = Found->second;
  From.LastReceivedAt = Now;
  switch (From.Receiver.checkSequence(Message.Sequence)) {
  case MessageReceiver::SequenceStatus::OutOfOrder:
    return EnvelopeReply{false};
  case MessageReceiver::SequenceStatus::Duplicate:
    return accept();
  case MessageReceiver::SequenceStatus::New:
    break;
  }
  if (!Message.ToLeader)
    return accept();
  const MemberMessage &Content = *Message.ToLeader;
  if (Content.StoreResponseAgeMs >= 0)
    From.StoreAnsweredAt = Now - Duration(Content.StoreResponseAgeMs);
  From.OtherShardsLed = Content.OtherShardsLed;
  From.FreezesLeases = Content.FreezesLeases;
  for (const ConfirmedStart &Start : Content.Confirmed) {
    forgetStart(Start.Incarnation, Start.Task, Start.Run);
    Scheduler.confirmRun(Start.Incarnation, Start.Task, Start.Run);
  }
  for (const WorkerReport &Report : Content.Workers)
    onWorkerReport(From, Report);
  for (const RefusedStart &Refused : Content.Refused) {
    forgetStart(Refused.Incarnation, Refused.Task, Refused.Run);
    Scheduler.startRefused(Refused.Incarnation, Refused.Task, Refused.Run,
                           Refused.Reason, Now);
    DecisionNeeded = true;
  }
  for (const AdviceAnswer &Answer : Content.Advice)
    onAdviceAnswer(From, Answer);
  if (Content.Leaving && !From.Leaving) {
    From.Leaving = true;
    updateAdvisers();
    Deps.Log.event("member leaving", From.Info.Name, {});
    const std::set<std::string> Workers = From.Workers;
    for (const std::string &Id : Workers) {
      assumeLeased(WorkerStates.at(Id), Deps.Time.now());
      Scheduler.markUnsynced(WorkerStates.at(Id).Info.Incarnation);
      releaseFromMember(Id);
    }
  }
  storeChangedJobs();
  return accept();
}

EnvelopeReply Leader::accept() const {
  return {true, false, false, LargestCpuShare};
}

std::string Leader::composeMessage(MemberState &To, std::int64_t Sequence) {
  Envelope Message;
  Message.Shard = Shard;
  Message.Session = To.Session;
  Message.Sequence = Sequence;
  Message.Term = Record.Term;
  Message.FromLeader = true;
  Message.From = Record.Instance;
  Message.PolicyVersion = PolicyVersion;
  Message.ToMember = std::exchange(To.Outgoing, LeaderMessage{});
  return encode(Message);
}

// A member gets an order within MemberAckTimeout or is removed.
TimePoint Leader::latestSendOf(TimePoint Dispatched) const {
  return Dispatched + MemberAckTimeout +
         std::max(Deps.Times.MemberLease, Deps.Times.StartValidity);
}

void Leader::forgetStart(const jobs::WorkerIncarnation &Incarnation,
                         const std::string &Task, std::int64_t Run) {
  const auto Found = WorkerStates.find(Incarnation.Id);
  if (Found != WorkerStates.end() &&
      Found->second.Info.Incarnation == Incarnation)
    Found->second.UnconfirmedStarts.erase({Task, Run});
}

// Workers.

void Leader::onWorkerReport(MemberState &From, const WorkerReport &Report) {
  const auto Found = WorkerStates.find(Report.Incarnation.Id);
  if (Found == WorkerStates.end() ||
      Found->second.Info.Incarnation != Report.Incarnation ||
      Found->second.Token != Report.Token ||
      Found->second.Member != From.Info.Name)
    return; // A report of an earlier session.
  WorkerState &Worker = Found->second;
  const TimePoint Now = Deps.Time.now();
  const bool IsAnswer =
      Report.Event == WorkerEvent::Synced || Report.Event == WorkerEvent::Ended;
  if (IsAnswer || Report.AnswerAgeMs >= 0)
    Worker.AnsweredAt =
        Now - Duration(IsAnswer ? Duration::rep{0} : Report.AnswerAgeMs);
  if (Worker.AnsweredAt)
    noteContact(Worker);
  DecisionNeeded = true;
  noteUnconfirmed(Report, Worker);
  if (IsAnswer || Report.Event == WorkerEvent::Reachable)
    releaseLease(Worker);
  switch (Report.Event) {
  case WorkerEvent::Synced:
    Worker.Resolved = true;
    Worker.Answers = true;
    Scheduler.syncWorker(Report.Incarnation, Report.Running, Report.Ended, Now);
    logGivenUpEnds();
    Deps.Log.event(
        "worker synced", Report.Incarnation.Id,
        {{"member", From.Info.Name},
         {"token", std::to_string(Report.Token)},
         {"running", std::to_string(Report.Running.size())},
         {"to_stop", std::to_string(runsToStopOn(Worker))},
         {"ended", std::to_string(Report.Ended.size())},
         {"assumed_lease_ms", std::to_string(std::max<Duration::rep>(
                                  (Worker.MaxLeaseEnd - Now).count(), 0))}});
    ensureInRoster(Report, Worker);
    updateReachable(Worker);
    acknowledge(Report);
    return;
  case WorkerEvent::Ended:
    for (const jobs::ActiveRun &Run : Report.Running)
      Scheduler.runProgressed(Report.Incarnation, Run, Now);
    recordEnds(Report);
    acknowledge(Report);
    return;
  case WorkerEvent::Reachable:
    Worker.Answers = true;
    updateReachable(Worker);
    return;
  case WorkerEvent::Unreachable:
    Worker.Answers = false;
    updateReachable(Worker);
    return;
  case WorkerEvent::LeaseFrozen:
    Worker.Answers = false;
    updateReachable(Worker);
    freezeLease(Worker, Duration(Report.RemainingLeaseMs));
    return;
  case WorkerEvent::LeaseExpired: {
    Worker.Resolved = true;
    Worker.AbsentAtExpiry = Report.ProcessAbsent;
    jobs::LossProof Proof = proofOf(Worker, jobs::LossEvidence::LeaseEnded);
    Proof.Basis = Report.Basis;
    Proof.GrantAgeMs = Report.GrantAgeMs;
    Scheduler.loseRuns(Report.Incarnation,
                       Report.ProcessAbsent && !Worker.StopAnnounced
                           ? jobs::WorkerLoss::Refused
                           : jobs::WorkerLoss::LeaseExpired,
                       Now, Report.Running, Proof);
    logLostRuns(Worker);
    Worker.Answers = false;
    updateReachable(Worker);
    return;
  }
  case WorkerEvent::Fenced:
    // The cause is an order of a later term or a delayed call of an earlier
    // session of this term. A new token resolves both cases.
    assumeLeased(Worker, Deps.Time.now());
    Scheduler.markUnsynced(Report.Incarnation);
    From.Workers.erase(Report.Incarnation.Id);
    Worker.Member.clear();
    return;
  case WorkerEvent::ProcessEnded:
    // All runs of this process have ended with it. The registry will contain
    // the next process once that has registered.
    Worker.Resolved = true;
    recordEnds(Report);
    Scheduler.loseRuns(
        Report.Incarnation, Worker.causeOfLoss(jobs::WorkerLoss::ProcessEnded),
        Now, {}, proofOf(Worker, jobs::LossEvidence::LaterStartAnswered));
    logLostRuns(Worker, Report.AnsweredStartUnixMs);
    Worker.Answers = false;
    updateReachable(Worker);
    From.Workers.erase(Report.Incarnation.Id);
    Worker.Member.clear();
    Worker.AssignAfter = Now + EndedProcessDelay;
    return;
  }
}

// Must be called before the report takes effect.
void Leader::noteUnconfirmed(const WorkerReport &Report, WorkerState &Worker) {
  auto &Starts = Worker.UnconfirmedStarts;
  switch (Report.Event) {
  case WorkerEvent::Synced:
  case WorkerEvent::ProcessEnded:
    Starts.clear();
    return;
  case WorkerEvent::LeaseExpired:
    std::erase_if(Starts, [&Report](const auto &Start) {
      return std::none_of(Report.Running.begin(), Report.Running.end(),
                          [&Start](const jobs::ActiveRun &Run) {
                            return Start.first == std::pair(Run.Task, Run.Run);
                          });
    });
    return;
  case WorkerEvent::LeaseFrozen:
    // The session sends no more starts.
    if (!Report.UnconfirmedStarts)
      return;
    Starts.clear();
    for (const UnconfirmedStart &Start : *Report.UnconfirmedStarts)
      Starts[{Start.Task, Start.Run}] =
          Deps.Time.now() - Duration(Start.SentMs) + Deps.Times.ClockSkewMargin;
    return;
  case WorkerEvent::Ended:
    for (const jobs::EndedRun &End : Report.Ended)
      Starts.erase({End.Task, End.Run});
    return;
  case WorkerEvent::Reachable:
  case WorkerEvent::Unreachable:
  case WorkerEvent::Fenced:
    return;
  }
}

void Leader::recordEnds(const WorkerReport &Report) {
  for (const jobs::EndedRun &End : Report.Ended) {
    Scheduler.runEnded(Report.Incarnation, End, Deps.Time.now());
    Deps.Log.event(
        "run ended", End.Task,
        {{"run", std::to_string(End.Run)},
         {"worker", Report.Incarnation.Id},
         {"how", std::string(enumName(jobs::EndKindNames, End.Kind))}});
  }
  logGivenUpEnds();
}

void Leader::logGivenUpEnds() {
  for (const jobs::GivenUpEnd &End : Scheduler.takeGivenUpEnds())
    Deps.Log.event(
        "given-up run ended", End.Task,
        {{"run", std::to_string(End.Run)},
         {"worker", End.Worker.Id},
         {"how", std::string(enumName(jobs::EndKindNames, End.Kind))},
         {"believed",
          std::string(enumName(jobs::RunOutcomeNames, End.Believed))},
         {"newest_run", std::to_string(End.NewestRun)},
         {"newest_worker", End.NewestWorker},
         {"counts", End.Counts ? "1" : "0"}});
}

jobs::LossProof Leader::proofOf(const WorkerState &Worker,
                                jobs::LossEvidence Evidence) const {
  jobs::LossProof Result;
  Result.Evidence = Evidence;
  if (Worker.AnsweredAt)
    Result.AnswerAgeMs = (Deps.Time.now() - *Worker.AnsweredAt).count();
  return Result;
}

void Leader::logLostRuns(const WorkerState &Worker,
                         std::int64_t OtherStartUnixMs) {
  for (const jobs::LostRun &Lost : Scheduler.takeLostRuns()) {
    ++LostRuns;
    Deps.Log.event(
        "run lost", Lost.Task,
        {{"run", std::to_string(Lost.Run)},
         {"worker", Lost.Worker.Id},
         {"cause", std::string(enumName(jobs::WorkerLossNames, Lost.Cause))},
         {"age_ms", std::to_string(Lost.Age.count())},
         {"losses", std::to_string(Lost.Losses)},
         {"restored", Lost.Restored ? "1" : "0"},
         {"evidence",
          std::string(enumName(jobs::LossEvidenceNames, Lost.Proof.Evidence))},
         {"basis",
          std::string(enumName(jobs::LeaseBasisNames, Lost.Proof.Basis))},
         {"grant_age_ms", std::to_string(Lost.Proof.GrantAgeMs)},
         {"born", std::to_string(Lost.Worker.StartedUnixMs)},
         {"other_born", std::to_string(OtherStartUnixMs)},
         {"answer_age_ms", std::to_string(Lost.Proof.AnswerAgeMs)},
         {"member", Worker.Member}});
  }
}

void Leader::ensureInRoster(const WorkerReport &Report, WorkerState &Worker) {
  if (Worker.InRoster || Worker.RosterPending)
    return;
  Worker.RosterPending = true;
  storeRosterEntry(Worker);
  StateJournal.whenCommitted(
      Guard.wrap([this, Incarnation = Report.Incarnation] {
        const auto Found = WorkerStates.find(Incarnation.Id);
        if (Found == WorkerStates.end() ||
            Found->second.Info.Incarnation != Incarnation)
          return;
        Found->second.InRoster = true;
        Found->second.RosterPending = false;
        updateReachable(Found->second);
        DecisionNeeded = true;
      }));
}

void Leader::storeRosterEntry(const WorkerState &Worker) {
  RosterEntry Entry{Worker.Info.Incarnation,
                    Worker.Info.Address,
                    Worker.Info.Zone,
                    std::nullopt,
                    std::nullopt,
                    std::nullopt};
  if (Worker.FormerLeaseEnd)
    Entry.FormerLeaseEnd = StateJournal.timeAt(*Worker.FormerLeaseEnd);
  if (Worker.LeaseFrozen && !Worker.ReleasePending)
    Entry.LeaseEnd = StateJournal.timeAt(Worker.MaxLeaseEnd);
  if (Entry.LeaseEnd || !Worker.UnconfirmedStarts.empty())
    Entry.UnconfirmedStarts =
        unconfirmedStarts(Worker, [this](TimePoint SentAt) {
          return StateJournal.timeAt(SentAt).Ms;
        });
  StateJournal.put(RosterTable, Entry.Incarnation.Id,
                   encode(std::vector<RosterEntry>{Entry}));
}

// A worker is not used before the roster contains it, because the next leader
// must know about it, nor while its lease is frozen.
void Leader::updateReachable(const WorkerState &Worker) {
  Scheduler.setReachable(Worker.Info.Incarnation, Worker.Answers &&
                                                      Worker.InRoster &&
                                                      !Worker.LeaseFrozen);
}

// Leases of workers that do not answer.

// The next leaders wait only for the rest of the lease.
void Leader::freezeLease(WorkerState &Worker, Duration Remaining) {
  if (Worker.LeaseFrozen)
    return;
  Worker.LeaseFrozen = true;
  Worker.MaxLeaseEnd = Deps.Time.now() + Remaining + Deps.Times.ClockSkewMargin;
  Deps.Log.event("worker lease frozen", Worker.Info.Incarnation.Id,
                 {{"member", Worker.Member},
                  {"remaining_ms", std::to_string(Remaining.count())}});
  if (Worker.InRoster || Worker.RosterPending)
    storeRosterEntry(Worker);
}

// A next leader that still finds the end of the lease must be right, so the
// lease is extended only after the commit.
void Leader::releaseLease(WorkerState &Worker) {
  if (!Worker.LeaseFrozen || Worker.ReleasePending)
    return;
  Worker.ReleasePending = true;
  if (Worker.InRoster || Worker.RosterPending)
    storeRosterEntry(Worker);
  StateJournal.whenCommitted(
      Guard.wrap([this, Incarnation = Worker.Info.Incarnation] {
        onReleaseStored(Incarnation);
      }));
}

void Leader::onReleaseStored(const jobs::WorkerIncarnation &Incarnation) {
  const auto Found = WorkerStates.find(Incarnation.Id);
  if (Found == WorkerStates.end() ||
      Found->second.Info.Incarnation != Incarnation ||
      !Found->second.ReleasePending)
    return;
  WorkerState &Worker = Found->second;
  Worker.ReleasePending = false;
  Worker.LeaseFrozen = false;
  if (MemberState *To = supervisorOf(Incarnation))
    To->Outgoing.Released.push_back({Incarnation, Worker.Token});
  updateReachable(Worker);
  DecisionNeeded = true;
}

void Leader::acknowledge(const WorkerReport &Report) {
  if (Report.Ended.empty())
    return;
  std::int64_t UpTo = 0;
  for (const jobs::EndedRun &End : Report.Ended)
    UpTo = std::max(UpTo, End.Number);
  storeChangedJobs();
  StateJournal.whenCommitted(Guard.wrap(
      [this, Incarnation = Report.Incarnation, Token = Report.Token, UpTo] {
        const auto Found = WorkerStates.find(Incarnation.Id);
        if (Found == WorkerStates.end() || Found->second.Token != Token)
          return;
        if (MemberState *To = supervisorOf(Incarnation))
          To->Outgoing.Acks.push_back({Incarnation, UpTo});
      }));
}

void Leader::storeChangedJobs() {
  const std::set<std::string> Changed = Scheduler.takeChanged();
  for (const std::string &Id : Changed) {
    const jobs::Job *Job = Scheduler.find(Id);
    if (!Job)
      continue;
    const jobs::JobProgress Progress = Job->progress();
    FailedJobs += Progress.Phase == jobs::JobPhase::Failed ? 1 : 0;
    if (Progress.Phase != jobs::JobPhase::Active) {
      std::vector<RowChange> Rows = {
          {JobTable, Id, std::nullopt},
          {EndedTable, Id, encodeEndPhase(Progress.Phase)}};
      std::ranges::move(JobRows.remove(Id), std::back_inserter(Rows));
      StateJournal.write(Rows);
      Deps.Log.event(
          "job ended", Id,
          {{"phase",
            std::string(enumName(jobs::JobPhaseNames, Progress.Phase))},
           {"after_ms",
            std::to_string((Deps.Time.now() - Job->AcceptedAt).count())},
           {"allowed_ms", std::to_string((Job->Due - Job->AcceptedAt).count())},
           {"reason", Job->FailureReason}});
    }
    if (Progress.Phase != jobs::JobPhase::Active)
      StateJournal.whenCommitted(
          Guard.wrap([this, Id] { Scheduler.markPhaseStored(Id); }));
    else
      StateJournal.write(JobRows.update(Job->Spec, Progress));
  }
}

// A next leader waits longer for the runs of a silent worker that are not
// stored as confirmed. The rows are part of a commit that takes place anyway.
void Leader::storeConfirmations(TimePoint Now) {
  if (!StateJournal.isCommitDue())
    return;
  Scheduler.markConfirmationsChanged(Now - ConfirmationDelay);
  storeChangedJobs();
}

// Members.

void Leader::checkMembers() {
  std::vector<std::string> Silent;
  for (const auto &[Name, Member] : Members)
    if (isLost(Member))
      Silent.push_back(Name);
  for (const std::string &Name : Silent)
    removeMember(Name);
}

bool Leader::isLost(const MemberState &Member) const {
  const TimePoint Now = Deps.Time.now();
  return Now - Member.LastReceivedAt > MemberTimeout ||
         Member.Sender->isRejected() ||
         Now - Member.Sender->lastAckedSend() > MemberAckTimeout;
}

bool Leader::isFull() const {
  return std::count_if(Members.begin(), Members.end(), [](const auto &Entry) {
           return Entry.second.Guest;
         }) >= std::ptrdiff_t(MaxGuests);
}

// The advice service handles the calls of an instance one after the other, so
// each instance normally makes calls for one shard only.
void Leader::updateAdvisers() {
  std::set<std::string> Chosen;
  for (const auto &[Name, Member] : Members)
    if (!Member.Guest && !Member.Leaving)
      Chosen.insert(Name);
  const bool NeedsGuests = Chosen.size() < MinAdvisers;
  for (const auto &[Name, Member] : Members)
    if (NeedsGuests && !Member.Leaving)
      Chosen.insert(Name);
  for (const std::string &Name : Advisers)
    if (!Chosen.contains(Name))
      for (const std::string &Step : Dispatcher.remove(Name))
        Scheduler.adviceFailed(Step);
  for (const std::string &Name : Chosen)
    if (!Advisers.contains(Name))
      Dispatcher.add(Name, Members.at(Name).Info.CpuShare);
  Advisers = std::move(Chosen);
}

void Leader::updateSupervisors() {
  const auto Established =
      std::count_if(Members.begin(), Members.end(), [](const auto &Entry) {
        return Entry.second.Sender->isEstablished();
      });
  Joining = Joining && Established < Record.Members &&
            Deps.Time.now() - TermStartedAt < MaxJoinPeriod;
  const double MinShare =
      Joining ? Record.LargestCpuShare * LargeShareRatio : 0;
  std::vector<SupervisorCandidate> Eligible;
  std::size_t Others = std::size_t(Joining ? Record.Members - 1 : 0);
  LargestCpuShare =
      std::max(Record.Instance.CpuShare, Joining ? Record.LargestCpuShare : 0);
  for (const auto &[Name, Member] : Members) {
    if (Member.Leaving || !Member.Sender->isEstablished())
      continue;
    LargestCpuShare = std::max(LargestCpuShare, Member.Info.CpuShare);
    if (Name != Record.Instance.Name && Member.Info.CpuShare >= MinShare)
      Eligible.push_back({Name, effectiveShare(Member)});
  }
  Others = std::max(Others, Eligible.size());
  Supervisors =
      selectSupervisors(std::move(Eligible), WorkerStates.size(), Shard);
  // In a small cell the leader's own instance supervises workers, too.
  if (Others <= MinSupervisors)
    Supervisors.insert(Record.Instance.Name);
  if (!Joining)
    StateJournal.setMembers(int(Members.size()), LargestCpuShare);
}

// The largest members are the likely next leaders.
void Leader::updateContacts(TimePoint Now) {
  if (Joining || Now < NextContactsUpdate)
    return;
  NextContactsUpdate = Now + ContactsInterval;
  std::vector<const InstanceInfo *> Candidates;
  for (const auto &[Name, Member] : Members)
    if (!Member.Leaving && Member.Sender->isEstablished())
      Candidates.push_back(&Member.Info);
  std::stable_sort(Candidates.begin(), Candidates.end(),
                   [](const InstanceInfo *Left, const InstanceInfo *Right) {
                     return Left->CpuShare > Right->CpuShare;
                   });
  Candidates.resize(std::min(Candidates.size(), MaxContacts));
  std::vector<std::string> Addresses;
  Addresses.reserve(Candidates.size());
  for (const InstanceInfo *Contact : Candidates)
    Addresses.push_back(Contact->Address);
  if (Addresses == Contacts)
    return;
  Contacts = std::move(Addresses);
  for (auto &[Name, Member] : Members)
    Member.Outgoing.Contacts = Contacts;
}

// Maximum number of workers of a member while more members may join: their
// part if as many supervise as a cell of this size has at least.
std::size_t Leader::joinPeriodQuota() const {
  const std::size_t Expected = std::clamp<std::size_t>(
      std::size_t(std::max(Record.Members, 1)) - 1, 1, MinLargeSupervisors);
  return (WorkerStates.size() + Expected - 1) / Expected;
}

void Leader::removeMember(const std::string &Name) {
  const auto Found = Members.find(Name);
  const TimePoint LastReceived = Found->second.LastReceivedAt;
  Deps.Log.event(
      "member lost", Name,
      {{"silent_ms", std::to_string((Deps.Time.now() - LastReceived).count())},
       {"workers", std::to_string(Found->second.Workers.size())}});
  for (const std::string &Id : Found->second.Workers) {
    WorkerState &Worker = WorkerStates.at(Id);
    Worker.Member.clear();
    assumeLeased(Worker, LastReceived);
    Scheduler.markUnsynced(Worker.Info.Incarnation);
  }
  Members.erase(Found);
  updateAdvisers();
  DecisionNeeded = true;
}

double Leader::loadOf(const MemberState &Member,
                      std::size_t MoreWorkers) const {
  double Share = Member.Info.CpuShare;
  if (!Supervisors.contains(Member.Info.Name))
    Share = 0; // Its workers are moved to supervisors.
  if (Member.Info.Name == Record.Instance.Name)
    Share *= LeaderSupervisionWeight;
  return double(Member.Workers.size() + MoreWorkers) /
         std::max(Share, MinCpuShare);
}

// Members join one after another, so the first ones initially get too many
// workers, in particular the leader's own instance.
void Leader::rebalanceWorkers() {
  const TimePoint Now = Deps.Time.now();
  if (Now < NextRebalance)
    return;
  NextRebalance = Now + RebalanceInterval;
  for (int Moved = 0; Moved < MaxMovesPerRebalance; ++Moved) {
    const auto Busiest = std::max_element(
        Members.begin(), Members.end(), [this](const auto &A, const auto &B) {
          return loadOf(A.second, 0) < loadOf(B.second, 0);
        });
    if (Busiest == Members.end() || !moveOneWorker(Busiest->second))
      return;
    ++MovedWorkers;
    assignWorkers();
  }
}

// Releases the worker of a member whose move reduces the load most; returns
// false if no move is worth its cost.
bool Leader::moveOneWorker(MemberState &From) {
  WorkerState *Chosen = nullptr;
  double BestGain = MinRebalanceGain;
  for (const std::string &Id : From.Workers) {
    WorkerState &Worker = WorkerStates.at(Id);
    const jobs::Worker *Host = Scheduler.worker(Id);
    // A new session cannot read the clock of an unresponsive worker, so it
    // would have to wait for the whole lease again.
    const bool Answers = Host && Host->isSynced() && Host->isReachable();
    MemberState *Other = Answers ? selectSupervisor(Worker) : nullptr;
    if (!Other || Other == &From)
      continue;
    const bool LeavesZone = From.Info.Zone == Worker.Info.Zone &&
                            Other->Info.Zone != Worker.Info.Zone;
    const double Gain =
        loadOf(From, 0) /
        (loadOf(*Other, 1) * (LeavesZone ? CrossZoneLoadFactor : 1));
    if (Gain <= BestGain)
      continue;
    BestGain = Gain;
    Chosen = &Worker;
  }
  if (!Chosen)
    return false;
  assumeLeased(*Chosen, Deps.Time.now());
  Scheduler.markUnsynced(Chosen->Info.Incarnation);
  releaseFromMember(Chosen->Info.Incarnation.Id);
  return true;
}

Leader::MemberState *Leader::selectSupervisor(const WorkerState &Worker) {
  const std::size_t Quota = Joining ? joinPeriodQuota() : WorkerStates.size();
  MemberState *Best = nullptr;
  double BestLoad = 0;
  for (auto &[Name, Candidate] : Members) {
    if (Candidate.Leaving || !Candidate.Sender->isEstablished() ||
        !Supervisors.contains(Name) || Candidate.Workers.size() >= Quota)
      continue;
    double Load = loadOf(Candidate, 1);
    // Traffic between zones costs time and money, so a member in another zone
    // is selected only if its load is far lower.
    if (Candidate.Info.Zone != Worker.Info.Zone)
      Load *= CrossZoneLoadFactor;
    if (!Best || Load < BestLoad) {
      Best = &Candidate;
      BestLoad = Load;
    }
  }
  return Best;
}

void Leader::assignWorkers() {
  const TimePoint Now = Deps.Time.now();
  for (auto &[Id, Worker] : WorkerStates) {
    if (!Worker.Member.empty() || Now < Worker.AssignAfter)
      continue;
    MemberState *To = selectSupervisor(Worker);
    if (!To)
      return;
    if (Worker.LeaseFrozen && !To->FreezesLeases) {
      releaseLease(Worker);
      continue;
    }
    Worker.Member = To->Info.Name;
    // Above all tokens of the shards that used the worker before.
    Worker.Token = Ownership->lastTransfer(Id).Token + ++LastToken;
    To->Workers.insert(Id);
    withdrawAssignment(To->Outgoing, Worker.Info.Incarnation);
    const Duration Assumed = std::max(Worker.MaxLeaseEnd - Now, Duration{0});
    To->Outgoing.Assigned.push_back(
        {Worker.Info.Incarnation, Worker.Info.Address, Worker.Token,
         std::int64_t(Assumed.count()), Worker.LeaseFrozen,
         !Worker.FormerLeaseEnd.has_value(),
         unconfirmedStarts(Worker, [Now](TimePoint SentAt) {
           return std::int64_t((Now - SentAt).count());
         })});
  }
}

Leader::MemberState *
Leader::supervisorOf(const jobs::WorkerIncarnation &Incarnation) {
  const auto Found = WorkerStates.find(Incarnation.Id);
  if (Found == WorkerStates.end() ||
      Found->second.Info.Incarnation != Incarnation)
    return nullptr;
  const auto Member = Members.find(Found->second.Member);
  return Member == Members.end() ? nullptr : &Member->second;
}

// Scheduling.

void Leader::decide() {
  const TimePoint Now = Deps.Time.now();
  if (Now < NextDecision ||
      (!DecisionNeeded && Now - LastDecision < MaxDecisionInterval))
    return;
  LastDecision = Now;
  DecisionNeeded = false;
  Scheduler.holdStarts(!mayStart());
  const jobs::Decisions Result = Scheduler.decide(Now, Dispatcher.budget(Now));
  const TimePoint Ended = Deps.Time.now();
  ++Stages.Rounds;
  Stages.InRounds += Ended - Now;
  NextDecision =
      Ended + std::max(MinDecisionInterval, (Ended - Now) * RoundPauseFactor);
  dispatch(Result);
}

void Leader::dispatch(const jobs::Decisions &Result) {
  for (const jobs::Migration &Entry : Result.Migrations)
    Deps.Log.event(
        "migrating run", Entry.Run.Task,
        {{"run", std::to_string(Entry.Run.Run)},
         {"worker", Entry.Run.Worker.Id},
         {"time_left_ms", std::to_string(Entry.TimeLeft.count())},
         {"expected_ms", std::to_string(Entry.ExpectedRemaining.count())},
         {"tasks", std::to_string(Entry.Tasks)}});
  for (const jobs::StopCommand &Order : Result.Stops) {
    MemberState *To = supervisorOf(Order.Worker);
    if (To)
      To->Outgoing.Stops.push_back(Order);
    logStop("stopping run", Order);
  }
  for (const jobs::AdviceRequest &Request : Result.Advice)
    dispatchAdvice(Request);
  if (Result.Starts.empty())
    return;
  // The placements are stored before any order is sent, so that the next leader
  // knows on which worker each task may run.
  storeChangedJobs();
  StateJournal.whenCommitted(
      Guard.wrap([this, Starts = Result.Starts, DecidedAt = Deps.Time.now()] {
        Stages.Starts += Starts.size();
        Stages.StartsStored +=
            (Deps.Time.now() - DecidedAt) * Duration::rep(Starts.size());
        for (const jobs::StartCommand &Order : Starts)
          sendStart(Order);
      }));
}

// The member is empty if nobody supervises the worker.
void Leader::logStop(std::string_view Event, const jobs::StopCommand &Order) {
  const auto Found = Scheduler.runsToStop().find(Order);
  const jobs::Worker *Host = Scheduler.worker(Order.Worker.Id);
  if (Found == Scheduler.runsToStop().end() || !Host)
    return;
  const MemberState *To = supervisorOf(Order.Worker);
  const Duration Age = Deps.Time.now() - Found->second.Since;
  Deps.Log.event(Event, Order.Task,
                 {{"run", std::to_string(Order.Run)},
                  {"worker", Order.Worker.Id},
                  {"member", To ? To->Info.Name : ""},
                  {"cause", std::string(enumName(jobs::StopCauseNames,
                                                 Found->second.Cause))},
                  {"age_ms", std::to_string(Age.count())},
                  {"orders", std::to_string(Found->second.Orders)},
                  {"synced", Host->isSynced() ? "1" : "0"},
                  {"reachable", Host->isReachable() ? "1" : "0"}});
}

std::size_t Leader::runsToStopOn(const WorkerState &Worker) const {
  const auto &Runs = Scheduler.runsToStop();
  const jobs::WorkerIncarnation &Incarnation = Worker.Info.Incarnation;
  std::size_t Count = 0;
  for (auto Run = Runs.lower_bound({Incarnation, {}, 0});
       Run != Runs.end() && Run->first.Worker == Incarnation; ++Run)
    ++Count;
  return Count;
}

void Leader::logOverdueStops(TimePoint Now) {
  if (Now < NextOverdueStopLog)
    return;
  NextOverdueStopLog = Now + LoadLogInterval;
  int Lines = 0;
  for (const auto &[Order, Progress] : Scheduler.runsToStop())
    if (Now - Progress.Since >= OverdueStopAge && Lines++ < MaxOverdueStopLines)
      logStop("run does not stop", Order);
}

// After a wave of lost workers most lines on single runs are left out, so each
// line has the history of its step.
void Leader::logWaitingSteps(TimePoint Now) {
  if (Now < NextWaitingStepLog)
    return;
  NextWaitingStepLog = Now + LoadLogInterval;
  for (const jobs::WaitingStep &Step :
       Scheduler.longestWaiting(Now, LongWait, MaxWaitingLinesPerCause))
    Deps.Log.event(
        "step waits", Step.Name,
        {{"cause", std::string(enumName(jobs::WaitCauseNames, Step.Cause))},
         {"waited_ms", std::to_string(Step.Waited.count())},
         {"compared_ms",
          std::to_string(Step.SinceCompared ? Step.SinceCompared->count()
                                            : -1)},
         {"tier", std::to_string(Step.Tier)},
         {"gang", Step.Gang ? "1" : "0"},
         {"tasks", std::to_string(Step.Tasks)},
         {"ready", std::to_string(Step.ReadyTasks)},
         {"last_run", std::to_string(Step.LastRun)},
         {"losses", std::to_string(Step.Losses)},
         {"approved", std::to_string(Step.ApprovedWorkers)},
         {"free_slots", std::to_string(Step.FreeSlots)},
         {"reserved_slots", std::to_string(Step.ReservedSlots)},
         {"advice_in_flight", Step.AdviceInFlight ? "1" : "0"},
         {"failed_calls", std::to_string(Step.FailedAdviceCalls)}});
}

Duration Leader::longestStop() const {
  const TimePoint Now = Deps.Time.now();
  Duration Longest{0};
  for (const auto &[Order, Progress] : Scheduler.runsToStop())
    Longest = std::max(Longest, Now - Progress.Since);
  return Longest;
}

void Leader::sendStart(const jobs::StartCommand &Order) {
  MemberState *To = supervisorOf(Order.Worker);
  const jobs::Worker *Host = Scheduler.worker(Order.Worker.Id);
  const bool Usable = To && Host && Host->isSynced() &&
                      StateJournal.isLeaseValid() && mayStart();
  if (Usable && Scheduler.isCurrent(Order)) {
    To->Outgoing.Starts.push_back(Order);
    Scheduler.markDispatched(Order);
    WorkerStates.at(Order.Worker.Id)
        .UnconfirmedStarts[{Order.Task, Order.Run}] =
        latestSendOf(Deps.Time.now());
    return;
  }
  // The order was never sent, so the run was not started. If the worker's lists
  // must be read again, they will confirm it.
  Scheduler.startRefused(Order.Worker, Order.Task, Order.Run,
                         jobs::StartRefusal::Expired, Deps.Time.now());
  DecisionNeeded = true;
}

void Leader::dispatchAdvice(const jobs::AdviceRequest &Request) {
  const auto Name = Dispatcher.assign(Request, Deps.Time.now());
  if (!Name) {
    Scheduler.adviceFailed(Request.Step);
    return;
  }
  Deps.Log.event("advice asked", Request.Step,
                 {{"workers", std::to_string(Request.Workers.size())},
                  {"cost_ms", std::to_string(int(Request.CostMs))},
                  {"member", *Name}});
  Members.at(*Name).Outgoing.Advice.push_back(Request);
}

void Leader::onAdviceAnswer(MemberState &From, const AdviceAnswer &Answer) {
  const TimePoint Now = Deps.Time.now();
  DecisionNeeded = true;
  if (!Answer.Answered) {
    Dispatcher.fail(From.Info.Name, Answer.Step, Now);
    Deps.Log.event("advice call failed", Answer.Step,
                   {{"member", From.Info.Name}});
    if (!Dispatcher.isAsked(Answer.Step))
      Scheduler.adviceFailed(Answer.Step);
    return;
  }
  // The call began after it was assigned. So the answer is at most as old as
  // all that passed since then beyond the call itself: the time at the member
  // and on the link, which a start takes as well.
  const auto AskedAt = Dispatcher.askedAt(From.Info.Name, Answer.Step);
  const Duration MaxAge = AskedAt && Answer.CallMs >= 0
                              ? Now - *AskedAt - Duration(Answer.CallMs)
                              : Duration{0};
  ++Stages.AdviceAnswers;
  Stages.AdviceDelay += MaxAge;
  Dispatcher.complete(From.Info.Name, Answer.Step, Now);
  Scheduler.adviceArrived(Answer.Step, Answer.RequestedWorkers, Answer.Approved,
                          Now, std::max(MaxAge, Duration{0}));
}

void Leader::logLoad(TimePoint Now) {
  if (Now < NextLoadLog)
    return;
  NextLoadLog = Now + LoadLogInterval;
  const auto Unassigned = std::count_if(
      WorkerStates.begin(), WorkerStates.end(),
      [](const auto &Entry) { return Entry.second.Member.empty(); });
  const StageTimes Recent = std::exchange(Stages, StageTimes{});
  const Journal::CommitCounts Written = StateJournal.takeCounts();
  const auto Mean = [](Duration Sum, std::uint64_t Count) {
    const auto Divisor = Duration::rep(std::max<std::uint64_t>(Count, 1));
    return std::to_string(Sum.count() / Divisor);
  };
  Deps.Log.event(
      "load", Record.Instance.Name,
      {{"shard", std::to_string(Shard)},
       {"waiting", Scheduler.summary()},
       {"jobs", std::to_string(Scheduler.activeJobs())},
       {"pending", std::to_string(Scheduler.pending())},
       {"unconfirmed", std::to_string(countUnconfirmedStarts())},
       {"advice_calls", std::to_string(Dispatcher.openCalls())},
       {"members", std::to_string(Members.size())},
       {"supervisors", std::to_string(Supervisors.size())},
       {"unassigned", std::to_string(Unassigned)},
       {"reserved", std::to_string(Scheduler.reservedWorkers(Now))},
       {"evacuated_zones", std::to_string(Scheduler.evacuatedZones().size())},
       {"evacuated_workers", std::to_string(Scheduler.evacuatedWorkers())},
       {"own_workers", std::to_string(workersOf(Record.Instance.Name))},
       {"moved", std::to_string(std::exchange(MovedWorkers, 0))},
       {"commits", std::to_string(Written.Commits)},
       {"commit_ms", Mean(Written.Latency, Written.Commits)},
       {"commit_rows", std::to_string(Written.Rows)},
       {"commit_bytes", std::to_string(Written.Bytes)},
       {"packed_rows", std::to_string(Written.PackedRows)},
       {"rounds", std::to_string(Recent.Rounds)},
       {"rounds_ms", std::to_string(Recent.InRounds.count())},
       {"starts", std::to_string(Recent.Starts)},
       {"start_stored_ms", Mean(Recent.StartsStored, Recent.Starts)},
       {"advice_answers", std::to_string(Recent.AdviceAnswers)},
       {"advice_delay_ms", Mean(Recent.AdviceDelay, Recent.AdviceAnswers)}});
}

void Leader::logUsage(TimePoint Now) {
  if (Now < NextUsageLog)
    return;
  NextUsageLog = Now + UsageLogInterval;
  for (const jobs::AccountUse &Use :
       Scheduler.usage().largest(Now, MaxUsageLines))
    Deps.Log.event(
        "past use", Use.Account,
        {{"shard", std::to_string(Shard)},
         {"share_ppm", std::to_string(std::llround(Use.Share * 1e6))},
         {"weight", std::to_string(Use.Weight)},
         {"delay_ms", std::to_string(Use.Delay.count())}});
}

// A leader that does not serve leaves no other trace than calls without an
// answer.
void Leader::logObstacle(TimePoint Now) {
  const bool Serves = StateJournal.isLeaseValid() && Loader.isDone() &&
                      RegistryRead && mayUseWorkers() && mayStart();
  if (Serves || Now < NextObstacleLog)
    return;
  NextObstacleLog = Now + LoadLogInterval;
  Deps.Log.event("leader cannot serve", Record.Instance.Name,
                 {{"shard", std::to_string(Shard)},
                  {"term", std::to_string(Record.Term)},
                  {"lease", StateJournal.isLeaseValid() ? "1" : "0"},
                  {"commit_failing_ms",
                   std::to_string(StateJournal.failureDuration().count())},
                  {"commits", std::to_string(StateJournal.commits())},
                  {"reading", Loader.currentTable()},
                  {"failed_reads", std::to_string(Loader.failedReads())},
                  {"registry", RegistryRead ? "1" : "0"},
                  {"policy", PolicyVersion > 0 ? "1" : "0"},
                  {"operator_rows", mayStart() ? "1" : "0"},
                  {"layout", Ownership ? "1" : "0"}});
}

void Leader::removeExpiredJobs(TimePoint Now) {
  if (Now < NextJobExpiry)
    return;
  NextJobExpiry = Now + JobExpiryInterval;
  Scheduler.releaseTasksOfEnded(Now - Deps.Times.MaxCallDelay);
  // The cancellation of an unknown job is kept until no submission of it can be
  // on its way any more.
  const Duration Retention =
      std::max(Deps.Times.StatusRetention,
               Deps.Times.MaxCallTime + SubmissionDelayMargin);
  for (const std::string &Id : Scheduler.endedBefore(Now - Retention)) {
    Scheduler.forget(Id);
    StateJournal.remove(EndedTable, Id);
  }
}

void Leader::pump() {
  if (StateJournal.isDeposed())
    return;
  const TimePoint Now = Deps.Time.now();
  // Restoring jobs requires the settings of their queues.
  if (PolicyVersion > 0)
    Loader.pump();
  Registry.pump();
  if (Transfers)
    Transfers->pump();
  // Without a valid lease no orders or answers are sent. The journal keeps
  // trying to renew the lease.
  if (StateJournal.isLeaseValid()) {
    checkMembers();
    if (Loaded && RegistryRead && PolicyVersion > 0 && !Ownership)
      proposeLayout();
    if (Loaded && RegistryRead && mayUseWorkers()) {
      if (Now >= NextMaintenance) {
        NextMaintenance = Now + MaintenanceInterval;
        updateSupervisors();
        updateContacts(Now);
        if (shouldTransferLeadership()) {
          stepDown();
          return;
        }
        replaceEndedProcesses();
        removeUnregistered();
        std::erase_if(RemovedAt, [&](const auto &Entry) {
          return Now - Entry.second >= Deps.Times.MaxCallDelay;
        });
        for (const std::string &Step : Dispatcher.expireCalls(Now))
          Scheduler.adviceFailed(Step);
        removeExpiredJobs(Now);
        exchangeLoads(Now);
        logLoad(Now);
        logUsage(Now);
        logOverdueStops(Now);
        logWaitingSteps(Now);
      }
      if (Now - TermStartedAt >= MinJoinPeriod)
        assignWorkers();
      if (!Joining)
        rebalanceWorkers();
      decide();
      storeChangedJobs();
      storeConfirmations(Now);
    }
    for (auto &[Name, Member] : Members)
      Member.Sender->pump();
  }
  logObstacle(Now);
  storeUsage(Now);
  StateJournal.pump();
}

} // namespace apricotwing::cell
