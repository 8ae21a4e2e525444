#include "core/shardscheduler.h"

#include "core/error.h"
#include "core/placementround.h"
#include "core/runintake.h"
#include "core/runlifecycle.h"
#include "core/schedulerdata.h"

#include <algorithm>
#include <utility>

namespace apricotwing {

namespace {

/// The part of the use that exceeds the reservation, for each resource.
Resources excessOf(const Resources &Used, const Resources &Reserved) {
  return Resources::max(Used - Reserved, {});
}

bool isEnded(TaskState State) {
  return isFinal(State) || State == TaskState::Lost;
}

} // namespace

/// Implementation of ShardScheduler: its components and the steps of a tick.
class ShardScheduler::Impl {
public:
  Impl(ShardId Shard, SchedulerOptions Options)
      : Shard(std::move(Shard)), Data(Options) {}

  void build(TimePoint Now);
  void setWorkers(const std::vector<WorkerView> &Workers);
  void setTeams(const Config &Document);
  void setGrants(const std::map<TeamName, Resources> &Grants);
  void handleReport(const WorkerId &Worker,
                    const std::vector<TaskReport> &Reports, TimePoint Now);
  void handleStartRefused(const AttemptId &Id, TimePoint Now);
  void handleWorkerExpired(const WorkerId &Worker, TimePoint Now);
  Decisions tick(TimePoint Now);
  std::map<TeamName, Resources> demand() const;
  std::string pendingReason(const RunId &Id) const;
  ShardStats stats() const;

  ShardId Shard;
  SchedulerData Data;
  RunLifecycle Lifecycle{Data};
  RunIntake Intake{Data, Lifecycle};
  bool IsBuilt = false;

private:
  void handleReported(WorkerIndex Worker, const TaskReport &Report,
                      bool &HasUnknownAttempt, TimePoint Now);
  void handleUnreported(const TaskRef &Task, TimePoint Now);
  void applyHealth(TimePoint Now);
  void stopOnDrained(TimePoint Now);
  void stopOverLimit(TimePoint Now);
  void stopNewest(TeamIndex Team, const Resources &Cap, TimePoint Now);
  void resend();
  TeamUsage usageOf(TeamIndex Team) const;

  PlacementRound Round{Data, Lifecycle};
  std::vector<AttemptId> Resends;
  std::vector<WorkerIndex> Drained;
  bool TeamsKnown = false;
  bool GrantsKnown = false;
  std::uint32_t ReportNumber = 0;
};

void ShardScheduler::Impl::build(TimePoint Now) {
  if (IsBuilt)
    return;
  IsBuilt = true;
  Lifecycle.rebuild(Now);
  Round.restoreUnschedulable();
}

void ShardScheduler::Impl::setWorkers(const std::vector<WorkerView> &Workers) {
  if (!Data.Index.setWorkers(Workers))
    return;
  ++Data.Generation;
  Data.Shares.setTotal(Data.Index.totalCapacity());
  Data.Health.setWorkerCount(Workers.size());
  Drained.clear();
  for (const WorkerView &View : Workers)
    if (View.Drained || View.Leaving)
      Drained.push_back(Data.Index.find(View.Id));
}

void ShardScheduler::Impl::setTeams(const Config &Document) {
  TeamsKnown = true;
  for (const auto &[Name, Team] : Document.Teams)
    Data.queue(Data.State.team(Name));
  const std::vector<TeamName> &Names = Data.State.teamNames();
  for (TeamIndex Team = 0; Team < Names.size(); ++Team) {
    TeamQueue &Queue = Data.queue(Team);
    const auto Found = Document.Teams.find(Names[Team]);
    const bool Configured = Found != Document.Teams.end();
    const Resources Limit =
        Configured ? Found->second.Limit.Tasks : Resources{};
    Data.Shares.setWeight(Team, Configured ? Found->second.Share : 0);
    if (Queue.Configured == Configured && Queue.Limit == Limit)
      continue;
    Queue.Configured = Configured;
    Queue.Limit = Limit;
    ++Data.Generation;
  }
}

void ShardScheduler::Impl::setGrants(
    const std::map<TeamName, Resources> &Grants) {
  GrantsKnown = true;
  for (const auto &[Name, Amount] : Grants)
    Data.queue(Data.State.team(Name));
  const std::vector<TeamName> &Names = Data.State.teamNames();
  for (TeamIndex Team = 0; Team < Names.size(); ++Team) {
    const auto Found = Grants.find(Names[Team]);
    Data.queue(Team).Grant =
        Found == Grants.end() ? Resources{} : Found->second;
  }
}

void ShardScheduler::Impl::handleReported(WorkerIndex Worker,
                                          const TaskReport &Report,
                                          bool &HasUnknownAttempt,
                                          TimePoint Now) {
  const WorkerId &Id = Data.Index.id(Worker);
  const TaskRef Task = Data.State.findActive(Report.Id);
  const bool IsOwnAttempt = Task.Run && Task.task().Worker == Worker;
  if (isEnded(Report.State))
    Data.PendingDecisions.Acknowledgements[Id].push_back(Report.Id);
  if (!IsOwnAttempt) {
    if (isEnded(Report.State))
      return;
    HasUnknownAttempt = true;
    Data.PendingDecisions.Stops.push_back({Id, Report.Id, StopMode::Stop});
    return;
  }
  TaskEntry &Entry = Task.task();
  Data.Estimator.recordUse(Task.Run->Scheduling.Class, Report.Used);
  if (!isEnded(Report.State)) {
    Entry.Confirmed = true;
    Entry.ReportNumber = ReportNumber;
    if (Entry.State == TaskState::Starting)
      Entry.State = TaskState::Running;
    else if (Entry.State == TaskState::Stopping)
      Resends.push_back(Report.Id);
    Data.State.setExcess(Task, excessOf(Report.Used, Entry.Reserved));
    return;
  }
  // A worker reports Cancelled after a stop command. Without one, it ended the
  // attempt on its own, and the outcome counts as lost.
  const bool IsCutShort = Report.State == TaskState::Cancelled &&
                          Entry.State != TaskState::Stopping;
  Lifecycle.end(Task, IsCutShort ? TaskState::Lost : Report.State,
                Report.ExitCode, Now);
}

void ShardScheduler::Impl::handleUnreported(const TaskRef &Task,
                                            TimePoint Now) {
  const TaskEntry &Entry = Task.task();
  // A start command of an earlier owner may have reached a worker that has
  // restarted since, so a task that must not run twice is not started again.
  const bool MayHaveRun =
      Entry.Inherited && Task.Run->Record.Spec.OnLost == LostPolicy::Fail;
  if (Entry.Confirmed || MayHaveRun)
    return Lifecycle.end(Task, TaskState::Lost, 0, Now);
  Resends.push_back(Task.attempt());
}

void ShardScheduler::Impl::handleReport(const WorkerId &Worker,
                                        const std::vector<TaskReport> &Reports,
                                        TimePoint Now) {
  const WorkerIndex Index = Data.Index.intern(Worker);
  ++ReportNumber;
  bool HasUnknownAttempt = false;
  for (const TaskReport &Report : Reports)
    handleReported(Index, Report, HasUnknownAttempt, Now);
  // Attempts that are unknown to this shard still use resources of the worker.
  Data.Index.setReady(Index, !HasUnknownAttempt);
  const std::vector<TaskRef> Tasks = Data.State.tasksOn(Index);
  for (const TaskRef &Task : Tasks)
    if (Task.task().ReportNumber != ReportNumber)
      handleUnreported(Task, Now);
}

void ShardScheduler::Impl::handleStartRefused(const AttemptId &Id,
                                              TimePoint Now) {
  const TaskRef Task = Data.State.findActive(Id);
  if (!Task.Run || Task.task().Confirmed)
    return;
  Data.Index.setReady(Task.task().Worker, false);
  const bool MayHaveArrived = Task.task().Sends > 1 || Task.task().Inherited;
  if (!MayHaveArrived)
    return Lifecycle.end(Task, TaskState::Cancelled, 0, Now);
  // A start command sent earlier may still arrive; a stop makes the worker
  // refuse it.
  Data.StopBudget = std::max(Data.StopBudget, 1U);
  Lifecycle.stop(Task, StopReason::Preempted, Now);
}

void ShardScheduler::Impl::handleWorkerExpired(const WorkerId &Worker,
                                               TimePoint Now) {
  const WorkerIndex Index = Data.Index.intern(Worker);
  Data.Index.setReady(Index, false);
  const std::vector<TaskRef> Tasks = Data.State.tasksOn(Index);
  for (const TaskRef &Task : Tasks)
    Lifecycle.end(Task, TaskState::Lost, 0, Now);
}

void ShardScheduler::Impl::applyHealth(TimePoint Now) {
  Data.Health.advance(Now);
  for (const HealthChange &Change : Data.Health.takeChanges())
    Data.Index.setHealth(Change.Worker, Change.Health);
}

void ShardScheduler::Impl::stopOnDrained(TimePoint Now) {
  for (const WorkerIndex Worker : Drained) {
    const std::vector<TaskRef> Tasks = Data.State.tasksOn(Worker);
    for (const TaskRef &Task : Tasks) {
      const RunSpec &Spec = Task.Run->Record.Spec;
      // Other tasks on a drained worker may run to their end.
      if (Data.Index.view(Worker).Leaving || Spec.Checkpointable ||
          Spec.Kind == RunKind::Service)
        Lifecycle.stop(Task, StopReason::Drained, Now);
    }
  }
}

void ShardScheduler::Impl::stopNewest(TeamIndex Team, const Resources &Cap,
                                      TimePoint Now) {
  std::vector<TaskRef> Candidates;
  Resources Remaining = Data.Shares.allocated(Team);
  for (WorkerIndex Worker = 0; Worker < Data.Index.size(); ++Worker)
    for (const TaskRef &Task : Data.State.tasksOn(Worker)) {
      if (Task.Run->Team != Team)
        continue;
      if (Task.task().State == TaskState::Stopping)
        Remaining -= Task.task().Reserved;
      else
        Candidates.push_back(Task);
    }
  std::ranges::sort(Candidates, [](const TaskRef &Left, const TaskRef &Right) {
    return Left.task().StartOrder > Right.task().StartOrder;
  });
  for (const TaskRef &Task : Candidates) {
    if (Remaining.fitsIn(Cap))
      return;
    if (Lifecycle.stop(Task, StopReason::OverLimit, Now))
      Remaining -= Task.task().Reserved;
  }
}

void ShardScheduler::Impl::stopOverLimit(TimePoint Now) {
  for (TeamIndex Team = 0; Team < Data.Queues.size(); ++Team) {
    const Resources Cap = Data.queue(Team).cap();
    if (!Data.Shares.allocated(Team).fitsIn(Cap))
      stopNewest(Team, Cap, Now);
  }
}

void ShardScheduler::Impl::resend() {
  for (const AttemptId &Id : Resends) {
    const TaskRef Task = Data.State.findActive(Id);
    if (!Task.Run)
      continue;
    TaskEntry &Entry = Task.task();
    const WorkerId &Worker = Data.Index.id(Entry.Worker);
    if (Entry.State == TaskState::Stopping)
      Data.PendingDecisions.Stops.push_back(
          {Worker, Id, RunLifecycle::stopMode(*Task.Run)});
    if (Entry.State != TaskState::Starting)
      continue;
    if (Entry.Sends < 255)
      ++Entry.Sends;
    Data.PendingDecisions.Starts.push_back({Worker, Id, Entry.Reserved,
                                            Task.Run->Record.Spec.Payload,
                                            Entry.HasCheckpoint});
  }
  Resends.clear();
}

Decisions ShardScheduler::Impl::tick(TimePoint Now) {
  build(Now);
  Data.StopBudget = Data.Options.MaxStopsPerTick;
  applyHealth(Now);
  Lifecycle.releaseDelayed(Now);
  Intake.processAdmissions(Now);
  Intake.processCancellations(Now);
  Lifecycle.continueStops(Now);
  stopOnDrained(Now);
  // Until both are known, every team would appear to be above its limit.
  if (TeamsKnown && GrantsKnown) {
    stopOverLimit(Now);
    Round.run(Now);
  }
  Lifecycle.continueStops(Now);
  resend();
  Lifecycle.retire(Now);
  Lifecycle.collectChanged();
  return std::exchange(Data.PendingDecisions, {});
}

std::map<TeamName, Resources> ShardScheduler::Impl::demand() const {
  std::vector<Resources> Wanted(Data.Queues.size());
  for (TeamIndex Team = 0; Team < Wanted.size(); ++Team)
    Wanted[Team] = Data.Shares.allocated(Team) + Data.Queues[Team].pending();
  for (const RunId &Id : Round.unschedulableRuns()) {
    const RunEntry *Run = Data.State.find(Id);
    if (Run && Run->Record.State == RunState::Unschedulable)
      Wanted[Run->Team] -=
          Run->Record.Spec.PerTask *
          std::int64_t(Run->Scheduling.Ready.size() + Run->Scheduling.Delayed);
  }
  std::map<TeamName, Resources> Result;
  for (TeamIndex Team = 0; Team < Wanted.size(); ++Team) {
    const Resources Capped =
        Resources::min(Wanted[Team], Data.Queues[Team].Limit);
    if (Capped != Resources{})
      Result.emplace(Data.State.teamNames()[Team], Capped);
  }
  return Result;
}

std::string ShardScheduler::Impl::pendingReason(const RunId &Id) const {
  const RunEntry *Run = Data.State.find(Id);
  if (!Run || Run->isEnding())
    return "";
  if (Run->Record.State == RunState::Unschedulable)
    return Run->Record.Reason;
  if (Run->Scheduling.Ready.empty() && Run->Scheduling.Delayed == 0)
    return "";
  if (!TeamsKnown || !GrantsKnown)
    return "this instance has not read the limits since it took the shard over";
  if (Run->Scheduling.Claims > 0)
    return "tasks of lower priority are being stopped for it";
  if (Round.reservedFor() == Id)
    return "workers are being freed for it";
  if (Run->Scheduling.Ready.empty())
    return std::string(waitReasonText(WaitReason::RetryDelay));
  return std::string(waitReasonText(Run->Scheduling.BlockReason));
}

TeamUsage ShardScheduler::Impl::usageOf(TeamIndex Team) const {
  TeamUsage Result;
  Result.Allocated = Data.Shares.allocated(Team);
  Result.Fraction = Data.Shares.fraction(Team);
  Result.Share = Data.Shares.share(Team);
  if (Team >= Data.Queues.size())
    return Result;
  Result.Pending = Data.Queues[Team].pending();
  Result.Waiting = Data.Queues[Team].tasks();
  // The shortfall of a team from its share is limited to what it requests.
  const double Entitled =
      std::min(Result.Share, (Result.Allocated + Result.Pending)
                                 .dominantFraction(Data.Index.totalCapacity()));
  Result.Distance = std::max(0.0, Entitled - Result.Fraction);
  return Result;
}

ShardStats ShardScheduler::Impl::stats() const {
  ShardStats Result;
  Result.ActiveTasks = Data.State.activeTasks();
  Result.Runs = Data.State.runs().size();
  Resources Allocated;
  const std::vector<TeamName> &Names = Data.State.teamNames();
  for (TeamIndex Team = 0; Team < Names.size(); ++Team) {
    const TeamUsage Usage = usageOf(Team);
    Allocated += Usage.Allocated;
    Result.WaitingTasks += Usage.Waiting;
    Result.Teams.emplace(Names[Team], Usage);
  }
  for (const auto &[Order, Run] : Data.State.runs()) {
    Result.Teams[Run->Record.Team].Active += Run->Active;
    Result.UnschedulableRuns += Run->Record.State == RunState::Unschedulable;
  }
  Result.Packing = Allocated.dominantFraction(Data.Index.totalCapacity());
  for (const auto &[Class, Waits] : Data.Waits)
    Result.Waits.emplace(Class, WaitSummary{Waits.count(), Waits.quantile(0.5),
                                            Waits.quantile(0.99)});
  for (const WorkerIndex Worker : Data.Health.quarantined())
    Result.Quarantined.push_back(Data.Index.id(Worker));
  Result.ReservedFor = Round.reservedFor();
  return Result;
}

ShardScheduler::ShardScheduler(ShardId Shard, SchedulerOptions Options)
    : Implementation(std::make_unique<Impl>(std::move(Shard), Options)) {}

ShardScheduler::~ShardScheduler() = default;

void ShardScheduler::restore(const ShardSnapshot &Snapshot, TimePoint Now) {
  Implementation->Data.State.restore(Snapshot, Now);
}

void ShardScheduler::apply(const JournalEvent &Event, TimePoint Now) {
  if (Implementation->IsBuilt)
    throw Error(ErrorKind::Internal, "replay after the first decision",
                "report this as a fault of the shard's owner");
  Implementation->Data.State.apply(Event, Now);
}

bool ShardScheduler::hasUncommittedEvents() const {
  return !Implementation->Data.PendingDecisions.Events.empty();
}

ShardSnapshot ShardScheduler::snapshot(std::uint64_t Sequence) const {
  if (hasUncommittedEvents())
    throw Error(ErrorKind::Internal, "a snapshot of uncommitted events",
                "report this as a fault of the shard's owner");
  return Implementation->Data.State.snapshot(Sequence);
}

void ShardScheduler::setWorkers(const std::vector<WorkerView> &Workers) {
  Implementation->setWorkers(Workers);
}

void ShardScheduler::setTeams(const Config &Document) {
  Implementation->setTeams(Document);
}

void ShardScheduler::setGrants(const std::map<TeamName, Resources> &Grants) {
  Implementation->setGrants(Grants);
}

std::map<TeamName, Resources> ShardScheduler::demand() const {
  return Implementation->demand();
}

std::map<TeamName, Resources> ShardScheduler::allocated() const {
  std::map<TeamName, Resources> Result;
  const std::vector<TeamName> &Names = Implementation->Data.State.teamNames();
  for (TeamIndex Team = 0; Team < Names.size(); ++Team)
    Result.emplace(Names[Team], Implementation->Data.Shares.allocated(Team));
  return Result;
}

void ShardScheduler::admit(const RunRecord &Run) {
  Implementation->Intake.admit(Run);
}

void ShardScheduler::cancel(const RunId &Run) {
  Implementation->Intake.cancel(Run);
}

void ShardScheduler::discardCancellation(const RunId &Run) {
  Implementation->Intake.discardCancellation(Run);
}

bool ShardScheduler::hasRoomFor(const RunRecord &Run) const {
  return Implementation->Intake.hasRoomFor(Run);
}

bool ShardScheduler::knows(const RunId &Run) const {
  return Implementation->Intake.knows(Run);
}

void ShardScheduler::handleReport(const WorkerId &Worker,
                                  const std::vector<TaskReport> &Reports,
                                  TimePoint Now) {
  Implementation->build(Now);
  Implementation->handleReport(Worker, Reports, Now);
}

void ShardScheduler::handleStartRefused(const AttemptId &Id, TimePoint Now) {
  Implementation->build(Now);
  Implementation->handleStartRefused(Id, Now);
}

void ShardScheduler::handleWorkerUnreachable(const WorkerId &Worker) {
  Implementation->Data.Index.setReady(Implementation->Data.Index.intern(Worker),
                                      false);
}

void ShardScheduler::handleWorkerExpired(const WorkerId &Worker,
                                         TimePoint Now) {
  Implementation->build(Now);
  Implementation->handleWorkerExpired(Worker, Now);
}

Decisions ShardScheduler::tick(TimePoint Now) {
  return Implementation->tick(Now);
}

std::string ShardScheduler::pendingReason(const RunId &Run) const {
  return Implementation->pendingReason(Run);
}

std::optional<RunRecord> ShardScheduler::run(const RunId &Run) const {
  const RunEntry *Entry = Implementation->Data.State.find(Run);
  if (!Entry)
    return std::nullopt;
  return RunLifecycle::publicRecord(*Entry);
}

bool ShardScheduler::isStartWanted(const AttemptId &Id) const {
  const TaskRef Task = Implementation->Data.State.findActive(Id);
  return Task.Run && Task.task().State != TaskState::Stopping;
}

std::vector<AttemptId>
ShardScheduler::attemptsOn(const WorkerId &Worker) const {
  std::vector<AttemptId> Result;
  const WorkerIndex Index = Implementation->Data.Index.find(Worker);
  if (Index != NoWorker)
    for (const TaskRef &Task : Implementation->Data.State.tasksOn(Index))
      Result.push_back(Task.attempt());
  return Result;
}

std::vector<WorkerId> ShardScheduler::workersInUse() const {
  std::vector<WorkerId> Result;
  for (WorkerIndex Worker = 0; Worker < Implementation->Data.Index.size();
       ++Worker)
    if (!Implementation->Data.State.tasksOn(Worker).empty())
      Result.push_back(Implementation->Data.Index.id(Worker));
  return Result;
}

ShardStats ShardScheduler::stats() const { return Implementation->stats(); }

const ShardId &ShardScheduler::shard() const { return Implementation->Shard; }

} // namespace apricotwing
