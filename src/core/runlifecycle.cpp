#include "core/runlifecycle.h"

#include <algorithm>
#include <functional>

namespace apricotwing {

namespace {

/// Number of retired run ids that are kept, to recognise an inbox row that was
/// read before its deletion.
constexpr std::size_t MaxRetiredIds = 65'536;

/// A service task that ran at least this long restarts with the initial delay.
constexpr Duration MinStableRunTime{60'000};

/// Upper bound of the expected run time in the rank of a run, so that shorter
/// runs overtake a long run only if they were submitted at most this much
/// later.
constexpr Duration MaxRankBonus{1'800'000};

/// Maximum number of doublings of a delay; prevents an overflow. The delay
/// itself is limited by MaxRetryDelay.
constexpr std::uint32_t MaxDoublings = 20;

} // namespace

void RunLifecycle::record(JournalEvent Event, TimePoint Now) {
  Data.State.apply(Event, Now);
  Data.PendingDecisions.Events.push_back(std::move(Event));
}

RunRecord RunLifecycle::publicRecord(const RunEntry &Run) {
  RunRecord Result = Run.Record;
  Result.Running = Run.Active;
  if (Run.Active == 0)
    return Result;
  if (Run.isEnding())
    Result.Reason = "stopping: " + std::string(runStateName(Run.Record.State));
  Result.State = RunState::Running;
  return Result;
}

StopMode RunLifecycle::stopMode(const RunEntry &Run) {
  return Run.Record.Spec.Checkpointable && !Run.isEnding()
             ? StopMode::Checkpoint
             : StopMode::Stop;
}

void RunLifecycle::markChanged(RunEntry &Run) {
  if (Run.Scheduling.Changed)
    return;
  Run.Scheduling.Changed = true;
  ChangedRuns.push_back(Run.Record.Id);
}

void RunLifecycle::updateHasWork(TeamIndex Team) {
  Data.Shares.setHasWork(Team, Data.queue(Team).tasks() > 0 ||
                                   Data.Shares.allocated(Team) != Resources{});
}

void RunLifecycle::prepare(RunEntry &Run, TimePoint Now) {
  const RunSpec &Spec = Run.Record.Spec;
  Run.Scheduling.Class = UsageEstimator::classOf(Run.Record.Team, Spec);
  Run.Scheduling.Expected = Data.runTime(Run);
  const Duration Bonus = std::min(Run.Scheduling.Expected, MaxRankBonus);
  Run.Scheduling.Key = {Spec.Urgency == Priority::Normal,
                        (Now.time_since_epoch() + Bonus).count(), Run.Order};
  if (Run.isEnding())
    return;
  TeamQueue &Queue = Data.queue(Run);
  for (std::uint32_t Left = std::uint32_t(Run.Tasks.size()); Left > 0; --Left)
    if (Run.Tasks[Left - 1].State == TaskState::Pending) {
      Queue.addWaiting(Run);
      Queue.makeReady(Run, Left - 1, Now);
    }
}

void RunLifecycle::rebuild(TimePoint Now) {
  for (const auto &[Order, Run] : Data.State.runs()) {
    prepare(*Run, Now);
    const RunRecord Record = publicRecord(*Run);
    Run->Scheduling.PublishedState = Record.State;
    Run->Scheduling.PublishedReason = Record.Reason;
    for (TaskEntry &Task : Run->Tasks)
      Task.Inherited = Task.isActive();
    if (Run->Active > 0 &&
        (Run->isEnding() || Run->Record.Spec.Kind == RunKind::Gang))
      queueStops(*Run);
    if (Run->isEnding() && Run->Active == 0)
      EndedRuns.push_back(Run->Record.Id);
    else if (Run->Ended == Run->Tasks.size())
      concludeEnd(*Run, TaskState::Succeeded, Now);
  }
  for (TeamIndex Team = 0; Team < Data.State.teamNames().size(); ++Team)
    updateHasWork(Team);
}

void RunLifecycle::admit(const RunRecord &Record, TimePoint Now) {
  record(RunAdmitted{Record}, Now);
  RunEntry &Run = *Data.State.find(Record.Id);
  prepare(Run, Now);
  updateHasWork(Run.Team);
  markChanged(Run);
}

void RunLifecycle::change(RunEntry &Run, RunState State,
                          const std::string &Reason, TimePoint Now) {
  record(RunChanged{Run.Record.Id, State, Reason}, Now);
  markChanged(Run);
}

void RunLifecycle::finishRun(RunEntry &Run, RunState State,
                             const std::string &Reason, TimePoint Now) {
  if (Run.isEnding())
    return;
  change(Run, State, Reason, Now);
  Data.queue(Run).removeRun(Run);
  updateHasWork(Run.Team);
  if (Run.Active > 0)
    queueStops(Run);
  else
    EndedRuns.push_back(Run.Record.Id);
}

void RunLifecycle::cancel(RunEntry &Run, TimePoint Now) {
  finishRun(Run, RunState::Cancelled, "cancelled by its team", Now);
}

void RunLifecycle::markUnschedulable(RunEntry &Run, const std::string &Reason,
                                     TimePoint Now) {
  Data.queue(Run).dequeue(Run);
  change(Run, RunState::Unschedulable, Reason, Now);
}

void RunLifecycle::markSchedulable(RunEntry &Run, TimePoint Now) {
  change(Run, RunState::Pending, "", Now);
  Data.queue(Run).requeue(Run);
}

void RunLifecycle::start(RunEntry &Run, WorkerIndex Worker,
                         const Resources &Reserved, TimePoint Now) {
  const std::uint32_t Index = Data.queue(Run).takeReady(Run);
  TaskEntry &Task = Run.Tasks[Index];
  const RunSpec &Spec = Run.Record.Spec;
  const Duration Waited = Now - Task.Since;
  Run.Scheduling.Expected = Data.runTime(Run);
  Data.PendingDecisions.Waits.push_back({Spec.Kind, Spec.Urgency, Waited});
  Data.Waits[std::string(Spec.Urgency == Priority::Urgent
                             ? priorityName(Spec.Urgency)
                             : runKindName(Spec.Kind))]
      .record(Waited);
  const AttemptId Id{{Run.Record.Id, Index}, Task.Attempt + 1};
  record(TaskStarted{Id, Data.Index.id(Worker), Reserved, Task.HasCheckpoint},
         Now);
  Task.Sends = 1;
  Data.PendingDecisions.Starts.push_back(
      {Data.Index.id(Worker), Id, Reserved, Spec.Payload, Task.HasCheckpoint});
  markChanged(Run);
}

bool RunLifecycle::stopOne(const TaskRef &Task, StopReason Reason,
                           TimePoint Now) {
  if (Task.task().State == TaskState::Stopping || Data.StopBudget == 0)
    return false;
  --Data.StopBudget;
  const AttemptId Id = Task.attempt();
  record(TaskStopping{Id, Reason}, Now);
  Data.PendingDecisions.Stops.push_back(
      {Data.Index.id(Task.task().Worker), Id, stopMode(*Task.Run)});
  return true;
}

bool RunLifecycle::stop(const TaskRef &Task, StopReason Reason, TimePoint Now) {
  if (!stopOne(Task, Reason, Now))
    return false;
  if (Task.Run->Record.Spec.Kind == RunKind::Gang)
    queueStops(*Task.Run);
  return true;
}

void RunLifecycle::queueStops(RunEntry &Run) {
  if (Run.Scheduling.StopsQueued)
    return;
  Run.Scheduling.StopsQueued = true;
  PendingStops.push_back({Run.Record.Id});
}

bool RunLifecycle::hasInactiveTask(const RunEntry &Run) {
  return std::ranges::any_of(Run.Tasks, [](const TaskEntry &Task) {
    return Task.State == TaskState::Pending ||
           Task.State == TaskState::Stopping;
  });
}

void RunLifecycle::updateStatistics(const TaskRef &Task, TaskState Outcome,
                                    TimePoint Now) {
  const TaskEntry &Entry = Task.task();
  const RunEntry &Run = *Task.Run;
  if (Outcome == TaskState::Failed && Entry.State != TaskState::Stopping)
    Data.Health.recordFailure(Entry.Worker, Run.Record.Id, Now);
  if (Outcome != TaskState::Succeeded ||
      Run.Record.Spec.Kind == RunKind::Service)
    return;
  Data.Health.recordSuccess(Entry.Worker, Run.Record.Id, Now);
  if (!Entry.Inherited)
    Data.Estimator.recordRunTime(Run.Scheduling.Class,
                                 declaredRunTime(Run.Record.Spec),
                                 Now - Entry.Since);
}

Duration RunLifecycle::retryDelay(const TaskRef &Task, TaskState Outcome,
                                  Duration Elapsed) const {
  TaskEntry &Entry = Task.task();
  const bool IsService = Task.Run->Record.Spec.Kind == RunKind::Service;
  if (Outcome != TaskState::Failed &&
      !(IsService && Outcome == TaskState::Succeeded))
    return Duration{0};
  if (IsService)
    Entry.EarlyEnds = Elapsed >= MinStableRunTime ? 1 : Entry.EarlyEnds + 1;
  const std::uint32_t Ends = IsService ? Entry.EarlyEnds : Entry.Failures;
  const std::uint32_t Doublings =
      std::min(Ends > 0 ? Ends - 1 : 0, MaxDoublings);
  return std::min(Data.Options.RetryDelay * (std::int64_t(1) << Doublings),
                  Data.Options.MaxRetryDelay);
}

void RunLifecycle::requeue(const TaskRef &Task, TaskState Outcome,
                           Duration Elapsed, TimePoint Now) {
  RunEntry &Run = *Task.Run;
  Data.queue(Run).addWaiting(Run);
  const Duration Delay = retryDelay(Task, Outcome, Elapsed);
  if (Delay.count() == 0) {
    Data.queue(Run).makeReady(Run, Task.Index, Now);
    return;
  }
  ++Run.Scheduling.Delayed;
  Run.Scheduling.BlockReason = WaitReason::RetryDelay;
  Task.task().Since = Now + Delay;
  Delayed.push({Now + Delay, Run.Record.Id, Task.Index});
}

void RunLifecycle::end(const TaskRef &Task, TaskState Outcome,
                       std::int32_t ExitCode, TimePoint Now) {
  RunEntry &Run = *Task.Run;
  const Duration Elapsed = Now - Task.task().Since;
  updateStatistics(Task, Outcome, Now);
  record(TaskEnded{Task.attempt(), Outcome, ExitCode}, Now);
  markChanged(Run);
  if (!Run.isEnding() && Task.task().State == TaskState::Pending)
    requeue(Task, Outcome, Elapsed, Now);
  concludeEnd(Run, Outcome, Now);
  updateHasWork(Run.Team);
}

void RunLifecycle::concludeEnd(RunEntry &Run, TaskState Outcome,
                               TimePoint Now) {
  if (Run.isEnding()) {
    if (Run.Active == 0)
      EndedRuns.push_back(Run.Record.Id);
    return;
  }
  const RunKind Kind = Run.Record.Spec.Kind;
  if (Run.Ended == Run.Tasks.size())
    return finishRun(
        Run, Run.Record.Failed > 0 ? RunState::Failed : RunState::Succeeded,
        Run.Record.Failed > 0 ? "tasks failed and have no attempts left" : "",
        Now);
  if (Kind == RunKind::Gang && Run.Record.Failed > 0)
    return finishRun(Run, RunState::Failed,
                     "a task of the gang failed and has no attempts left", Now);
  if (Outcome == TaskState::Failed && Kind != RunKind::Service &&
      Data.Health.isBadRun(Run.Record.Id))
    return finishRun(Run, RunState::Failed,
                     "the run failed on several healthy workers", Now);
  if (Kind == RunKind::Gang && Run.Active > 0 &&
      Outcome != TaskState::Succeeded)
    queueStops(Run);
}

void RunLifecycle::releaseDelayed(TimePoint Now) {
  while (!Delayed.empty() && Delayed.top().Due <= Now) {
    const DelayedTask Next = Delayed.top();
    Delayed.pop();
    RunEntry *Run = Data.State.find(Next.Run);
    if (!Run || Run->isEnding() || Run->Scheduling.Delayed == 0)
      continue;
    --Run->Scheduling.Delayed;
    Data.queue(*Run).makeReady(*Run, Next.Index, Now);
  }
}

bool RunLifecycle::continueStop(PendingStop &Stop, TimePoint Now) {
  RunEntry *Run = Data.State.find(Stop.Run);
  if (!Run)
    return true;
  // A gang that was completely restarted in the meantime has no inactive task.
  const bool IsNeeded =
      Run->Active > 0 && (Run->isEnding() || hasInactiveTask(*Run));
  const StopReason Reason =
      Run->isEnding() ? StopReason::Cancelled : StopReason::Preempted;
  for (; IsNeeded && Stop.NextTask < Run->Tasks.size(); ++Stop.NextTask) {
    const TaskRef Task{Run, Stop.NextTask};
    if (!Task.task().isActive())
      continue;
    if (Data.StopBudget == 0)
      return false;
    stopOne(Task, Reason, Now);
  }
  Run->Scheduling.StopsQueued = false;
  return true;
}

void RunLifecycle::continueStops(TimePoint Now) {
  while (!PendingStops.empty()) {
    if (!continueStop(PendingStops.front(), Now))
      return;
    PendingStops.pop_front();
  }
}

void RunLifecycle::retire(TimePoint Now) {
  for (const RunId &Id : EndedRuns) {
    RunEntry *Run = Data.State.find(Id);
    if (!Run)
      continue;
    Data.PendingDecisions.ChangedRuns.push_back(publicRecord(*Run));
    Data.Health.forget(Id);
    const TeamIndex Team = Run->Team;
    record(RunRetired{Id}, Now);
    updateHasWork(Team);
    RetiredSet.insert(Id);
    RetiredOrder.push_back(Id);
    if (RetiredOrder.size() > MaxRetiredIds) {
      RetiredSet.erase(RetiredOrder.front());
      RetiredOrder.pop_front();
    }
  }
  EndedRuns.clear();
}

void RunLifecycle::collectChanged() {
  for (const RunId &Id : ChangedRuns) {
    RunEntry *Run = Data.State.find(Id);
    if (!Run)
      continue;
    Run->Scheduling.Changed = false;
    RunRecord Record = publicRecord(*Run);
    if (Record.State == Run->Scheduling.PublishedState &&
        Record.Reason == Run->Scheduling.PublishedReason)
      continue;
    Run->Scheduling.PublishedState = Record.State;
    Run->Scheduling.PublishedReason = Record.Reason;
    Data.PendingDecisions.ChangedRuns.push_back(std::move(Record));
  }
  ChangedRuns.clear();
}

} // namespace apricotwing
