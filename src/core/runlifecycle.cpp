#include "core/runlifecycle.h"

#include <algorithm>
#include <functional>

namespace apricotwing {

namespace {

/// Retired runs remembered to recognise a late read of their inbox row.
constexpr std::size_t KeptRetired = 65'536;

/// A service that ran at least this long restarts with the first delay.
constexpr Duration StableService{60'000};

/// Cap on the expected run time in the rank of a run, so that a long run is
/// overtaken only by shorter ones that were submitted at most this much later.
constexpr Duration MaxRankBonus{1'800'000};

/// Doublings after which a delay has passed any sensible bound.
constexpr std::uint32_t MaxDoublings = 20;

} // namespace

void RunLifecycle::record(JournalEvent Event, TimePoint Now) {
  Data.State.apply(Event, Now);
  Data.Out.Events.push_back(std::move(Event));
}

RunRecord RunLifecycle::shown(const RunEntry &Run) {
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
  if (Run.Work.Changed)
    return;
  Run.Work.Changed = true;
  ChangedRuns.push_back(Run.Record.Id);
}

void RunLifecycle::updateWorking(TeamIndex Team) {
  Data.Shares.setWorking(Team, Data.queue(Team).tasks() > 0 ||
                                   Data.Shares.allocated(Team) != Resources{});
}

void RunLifecycle::prepare(RunEntry &Run, TimePoint Now) {
  const RunSpec &Spec = Run.Record.Spec;
  Run.Work.Class = UsageEstimator::classOf(Run.Record.Team, Spec);
  Run.Work.Expected = Data.runTime(Run);
  const Duration Bonus = std::min(Run.Work.Expected, MaxRankBonus);
  Run.Work.Key = {Spec.Urgency == Priority::Normal,
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
    const RunRecord Record = shown(*Run);
    Run->Work.ShownState = Record.State;
    Run->Work.ShownReason = Record.Reason;
    for (TaskEntry &Task : Run->Tasks)
      Task.Inherited = Task.isActive();
    if (Run->Active > 0 &&
        (Run->isEnding() || Run->Record.Spec.Kind == RunKind::Gang))
      queueStops(*Run);
    if (Run->isEnding() && Run->Active == 0)
      Over.push_back(Run->Record.Id);
    else if (Run->Ended == Run->Tasks.size())
      concludeEnd(*Run, TaskState::Succeeded, Now);
  }
  for (TeamIndex Team = 0; Team < Data.State.teamNames().size(); ++Team)
    updateWorking(Team);
}

void RunLifecycle::admit(const RunRecord &Record, TimePoint Now) {
  record(RunAdmitted{Record}, Now);
  RunEntry &Run = *Data.State.find(Record.Id);
  prepare(Run, Now);
  updateWorking(Run.Team);
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
  Data.queue(Run).drop(Run);
  updateWorking(Run.Team);
  if (Run.Active > 0)
    queueStops(Run);
  else
    Over.push_back(Run.Record.Id);
}

void RunLifecycle::cancel(RunEntry &Run, TimePoint Now) {
  finishRun(Run, RunState::Cancelled, "cancelled by its team", Now);
}

void RunLifecycle::setAside(RunEntry &Run, const std::string &Reason,
                            TimePoint Now) {
  Data.queue(Run).unqueue(Run);
  change(Run, RunState::Unschedulable, Reason, Now);
}

void RunLifecycle::bringBack(RunEntry &Run, TimePoint Now) {
  change(Run, RunState::Pending, "", Now);
  Data.queue(Run).requeue(Run);
}

void RunLifecycle::start(RunEntry &Run, WorkerIndex Worker,
                         const Resources &Reserved, TimePoint Now) {
  const std::uint32_t Index = Data.queue(Run).takeReady(Run);
  TaskEntry &Task = Run.Tasks[Index];
  const RunSpec &Spec = Run.Record.Spec;
  const Duration Waited = Now - Task.Since;
  Run.Work.Expected = Data.runTime(Run);
  Data.Out.Waits.push_back({Spec.Kind, Spec.Urgency, Waited});
  Data.Waits[std::string(Spec.Urgency == Priority::Urgent
                             ? priorityName(Spec.Urgency)
                             : runKindName(Spec.Kind))]
      .record(Waited);
  const AttemptId Id{{Run.Record.Id, Index}, Task.Attempt + 1};
  record(TaskStarted{Id, Data.Index.id(Worker), Reserved, Task.HasCheckpoint},
         Now);
  Task.Sends = 1;
  Data.Out.Starts.push_back(
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
  Data.Out.Stops.push_back(
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
  if (Run.Work.StopsQueued)
    return;
  Run.Work.StopsQueued = true;
  StopJobs.push_back({Run.Record.Id});
}

bool RunLifecycle::hasGap(const RunEntry &Run) {
  return std::ranges::any_of(Run.Tasks, [](const TaskEntry &Task) {
    return Task.State == TaskState::Pending ||
           Task.State == TaskState::Stopping;
  });
}

void RunLifecycle::learn(const TaskRef &Task, TaskState Outcome,
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
    Data.Estimator.recordRunTime(
        Run.Work.Class, declaredRunTime(Run.Record.Spec), Now - Entry.Since);
}

Duration RunLifecycle::retryDelay(const TaskRef &Task, TaskState Outcome,
                                  Duration Lasted) const {
  TaskEntry &Entry = Task.task();
  const bool IsService = Task.Run->Record.Spec.Kind == RunKind::Service;
  if (Outcome != TaskState::Failed &&
      !(IsService && Outcome == TaskState::Succeeded))
    return Duration{0};
  if (IsService)
    Entry.QuickEnds = Lasted >= StableService ? 1 : Entry.QuickEnds + 1;
  const std::uint32_t Ends = IsService ? Entry.QuickEnds : Entry.Failures;
  const std::uint32_t Doublings =
      std::min(Ends > 0 ? Ends - 1 : 0, MaxDoublings);
  return std::min(Data.Options.RetryDelay * (std::int64_t(1) << Doublings),
                  Data.Options.MaxRetryDelay);
}

void RunLifecycle::requeue(const TaskRef &Task, TaskState Outcome,
                           Duration Lasted, TimePoint Now) {
  RunEntry &Run = *Task.Run;
  Data.queue(Run).addWaiting(Run);
  const Duration Delay = retryDelay(Task, Outcome, Lasted);
  if (Delay.count() == 0) {
    Data.queue(Run).makeReady(Run, Task.Index, Now);
    return;
  }
  ++Run.Work.Delayed;
  Run.Work.Why = WaitReason::RetryDelay;
  Task.task().Since = Now + Delay;
  Delayed.push({Now + Delay, Run.Record.Id, Task.Index});
}

void RunLifecycle::end(const TaskRef &Task, TaskState Outcome,
                       std::int32_t ExitCode, TimePoint Now) {
  RunEntry &Run = *Task.Run;
  const Duration Lasted = Now - Task.task().Since;
  learn(Task, Outcome, Now);
  record(TaskEnded{Task.attempt(), Outcome, ExitCode}, Now);
  markChanged(Run);
  if (!Run.isEnding() && Task.task().State == TaskState::Pending)
    requeue(Task, Outcome, Lasted, Now);
  concludeEnd(Run, Outcome, Now);
  updateWorking(Run.Team);
}

void RunLifecycle::concludeEnd(RunEntry &Run, TaskState Outcome,
                               TimePoint Now) {
  if (Run.isEnding()) {
    if (Run.Active == 0)
      Over.push_back(Run.Record.Id);
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
    if (!Run || Run->isEnding() || Run->Work.Delayed == 0)
      continue;
    --Run->Work.Delayed;
    Data.queue(*Run).makeReady(*Run, Next.Index, Now);
  }
}

bool RunLifecycle::continueStop(StopJob &Job, TimePoint Now) {
  RunEntry *Run = Data.State.find(Job.Run);
  if (!Run)
    return true;
  // A gang that was started again as a whole in the meantime has no gap.
  const bool IsNeeded = Run->Active > 0 && (Run->isEnding() || hasGap(*Run));
  const StopReason Reason =
      Run->isEnding() ? StopReason::Cancelled : StopReason::Preempted;
  for (; IsNeeded && Job.NextTask < Run->Tasks.size(); ++Job.NextTask) {
    const TaskRef Task{Run, Job.NextTask};
    if (!Task.task().isActive())
      continue;
    if (Data.StopBudget == 0)
      return false;
    stopOne(Task, Reason, Now);
  }
  Run->Work.StopsQueued = false;
  return true;
}

void RunLifecycle::continueStops(TimePoint Now) {
  while (!StopJobs.empty()) {
    if (!continueStop(StopJobs.front(), Now))
      return;
    StopJobs.pop_front();
  }
}

void RunLifecycle::retire(TimePoint Now) {
  for (const RunId &Id : Over) {
    RunEntry *Run = Data.State.find(Id);
    if (!Run)
      continue;
    Data.Out.ChangedRuns.push_back(shown(*Run));
    Data.Health.forget(Id);
    const TeamIndex Team = Run->Team;
    record(RunRetired{Id}, Now);
    updateWorking(Team);
    RetiredSet.insert(Id);
    RetiredOrder.push_back(Id);
    if (RetiredOrder.size() > KeptRetired) {
      RetiredSet.erase(RetiredOrder.front());
      RetiredOrder.pop_front();
    }
  }
  Over.clear();
}

void RunLifecycle::collectChanged() {
  for (const RunId &Id : ChangedRuns) {
    RunEntry *Run = Data.State.find(Id);
    if (!Run)
      continue;
    Run->Work.Changed = false;
    RunRecord Record = shown(*Run);
    if (Record.State == Run->Work.ShownState &&
        Record.Reason == Run->Work.ShownReason)
      continue;
    Run->Work.ShownState = Record.State;
    Run->Work.ShownReason = Record.Reason;
    Data.Out.ChangedRuns.push_back(std::move(Record));
  }
  ChangedRuns.clear();
}

} // namespace apricotwing
