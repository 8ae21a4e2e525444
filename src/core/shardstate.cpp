#include "core/shardstate.h"

#include "core/error.h"

#include <algorithm>

namespace apricotwing {

namespace {

/// What a run adds beside its state: its place in tables and texts.
constexpr std::size_t ExtraRunBytes = 1024;

[[noreturn]] void throwInconsistent(const std::string &Message) {
  throw Error(ErrorKind::Internal,
              "the journal is inconsistent with the state of the shard: " +
                  Message,
              "report this as a fault with the journal of the shard");
}

/// Uses up one of the task's attempts; false if none is left.
bool useAttempt(const RunEntry &Run, TaskEntry &Task) {
  ++Task.Failures;
  return Run.Record.Spec.Kind == RunKind::Service ||
         Task.Failures < Run.Record.Spec.MaxAttempts;
}

} // namespace

ShardState::ShardState(PlacementIndex &Index, FairShare &Shares)
    : Index(Index), Shares(Shares) {}

TeamIndex ShardState::team(const TeamName &Name) {
  const auto Found = Teams.find(Name);
  if (Found != Teams.end())
    return Found->second;
  const TeamIndex Team = Shares.addTeam();
  Teams.emplace(Name, Team);
  TeamNames.push_back(Name);
  return Team;
}

RunEntry *ShardState::find(const RunId &Run) const {
  const auto Found = Runs.find(Run);
  return Found == Runs.end() ? nullptr : Found->second.get();
}

RunEntry &ShardState::requireRun(const RunId &Run) const {
  RunEntry *Found = find(Run);
  if (!Found)
    throwInconsistent("run " + Run + " is unknown");
  return *Found;
}

TaskRef ShardState::findActive(const AttemptId &Id) const {
  RunEntry *Run = find(Id.Task.Run);
  if (!Run || Id.Task.Index >= Run->Tasks.size())
    return {};
  const TaskEntry &Task = Run->Tasks[Id.Task.Index];
  if (!Task.isActive() || Task.Attempt != Id.Attempt)
    return {};
  return {Run, Id.Task.Index};
}

TaskRef ShardState::requireActive(const AttemptId &Id) const {
  const TaskRef Found = findActive(Id);
  if (!Found.Run)
    throwInconsistent("attempt " + toString(Id) + " is not active");
  return Found;
}

const std::vector<TaskRef> &ShardState::tasksOn(WorkerIndex Worker) const {
  static const std::vector<TaskRef> NoTasks;
  return Worker < ByWorker.size() ? ByWorker[Worker] : NoTasks;
}

void ShardState::allocate(const TaskRef &Task) {
  const TaskEntry &Entry = Task.task();
  if (Entry.Worker >= ByWorker.size())
    ByWorker.resize(Entry.Worker + 1);
  ByWorker[Entry.Worker].push_back(Task);
  Index.allocate(Entry.Worker, Entry.Reserved);
  Shares.add(Task.Run->Team, Entry.Reserved);
  ++Task.Run->Active;
  ++ActiveTasks;
}

void ShardState::release(const TaskRef &Task) {
  TaskEntry &Entry = Task.task();
  std::vector<TaskRef> &Others = ByWorker[Entry.Worker];
  const auto Position = std::ranges::find(Others, Task);
  *Position = Others.back();
  Others.pop_back();
  Index.release(Entry.Worker, Entry.occupied());
  Shares.remove(Task.Run->Team, Entry.Reserved);
  Entry.Worker = NoWorker;
  Entry.Reserved = {};
  Entry.Excess = {};
  --Task.Run->Active;
  --ActiveTasks;
}

void ShardState::setExcess(const TaskRef &Task, const Resources &Excess) {
  TaskEntry &Entry = Task.task();
  if (Entry.Excess == Excess)
    return;
  Index.adjust(Entry.Worker, Excess - Entry.Excess);
  Entry.Excess = Excess;
}

std::size_t runBytes(const RunRecord &Record) {
  return sizeof(RunEntry) + ExtraRunBytes + Record.Spec.Payload.size() +
         Record.Spec.Tasks * sizeof(TaskEntry);
}

RunEntry &ShardState::insert(const RunRecord &Record) {
  auto Entry = std::make_unique<RunEntry>();
  Entry->Record = Record;
  Entry->Team = team(Record.Team);
  Entry->Order = NextOrder++;
  Entry->Tasks.resize(Record.Spec.Tasks);
  RunEntry &Result = *Entry;
  if (!Runs.try_emplace(Record.Id, std::move(Entry)).second)
    throwInconsistent("run " + Record.Id + " is admitted twice");
  ByOrder.emplace(Result.Order, &Result);
  Memory.add(Record.Team, runBytes(Record));
  return Result;
}

void ShardState::finish(RunEntry &Run, TaskEntry &Task, TaskState Final) {
  Task.State = Final;
  ++Run.Ended;
  if (Final == TaskState::Succeeded)
    ++Run.Record.Succeeded;
  if (Final == TaskState::Failed)
    ++Run.Record.Failed;
}

void ShardState::applyOutcome(RunEntry &Run, TaskEntry &Task,
                              const TaskEnded &Event) {
  const bool WasStopping = Task.State == TaskState::Stopping;
  const bool IsService = Run.Record.Spec.Kind == RunKind::Service;
  if (Event.Outcome == TaskState::Succeeded && (!IsService || Run.isEnding()))
    return finish(Run, Task, TaskState::Succeeded);
  if (Run.isEnding())
    return finish(Run, Task, TaskState::Cancelled);
  Task.State = TaskState::Pending;
  if (Event.Outcome == TaskState::Cancelled) {
    if (WasStopping && Run.Record.Spec.Checkpointable)
      Task.HasCheckpoint = true;
    return;
  }
  const bool IsLost = Event.Outcome == TaskState::Lost;
  if (IsLost && Run.Record.Spec.OnLost == LostPolicy::Fail)
    return finish(Run, Task, TaskState::Failed);
  if (IsLost && WasStopping)
    return;
  if (!useAttempt(Run, Task))
    finish(Run, Task, TaskState::Failed);
}

void ShardState::applyOne(const RunAdmitted &Event, TimePoint Now) {
  RunEntry &Run = insert(Event.Run);
  if (!Run.isEnding())
    Run.Record.State = RunState::Pending;
  Run.Record.Running = Run.Record.Succeeded = Run.Record.Failed = 0;
  for (TaskEntry &Task : Run.Tasks)
    Task.Since = Now;
}

void ShardState::applyOne(const TaskStarted &Event, TimePoint Now) {
  RunEntry &Run = requireRun(Event.Id.Task.Run);
  if (Event.Id.Task.Index >= Run.Tasks.size())
    throwInconsistent("task " + toString(Event.Id.Task) + " does not exist");
  TaskEntry &Task = Run.Tasks[Event.Id.Task.Index];
  if (Task.State != TaskState::Pending || Run.isEnding() ||
      Event.Id.Attempt != Task.Attempt + 1)
    throwInconsistent("attempt " + toString(Event.Id) + " cannot start");
  Task.State = TaskState::Starting;
  Task.Attempt = Event.Id.Attempt;
  Task.Worker = Index.intern(Event.Worker);
  Task.Reserved = Event.Reserved;
  Task.Excess = {};
  Task.Confirmed = Task.Inherited = false;
  Task.Sends = 0;
  Task.Since = Now;
  Task.StartOrder = NextStart++;
  allocate({&Run, Event.Id.Task.Index});
}

void ShardState::applyOne(const TaskStopping &Event, TimePoint /*Now*/) {
  TaskEntry &Task = requireActive(Event.Id).task();
  // The reason of a later stop replaces that of an earlier one.
  Task.State = TaskState::Stopping;
  Task.Stop = Event.Reason;
}

void ShardState::applyOne(const TaskEnded &Event, TimePoint Now) {
  const TaskRef Ref = requireActive(Event.Id);
  release(Ref);
  applyOutcome(*Ref.Run, Ref.task(), Event);
  Ref.task().Since = Now;
}

void ShardState::applyOne(const RunChanged &Event, TimePoint /*Now*/) {
  RunEntry &Run = requireRun(Event.Run);
  if (Run.isEnding())
    throwInconsistent("run " + Event.Run + " changes after its end");
  Run.Record.State = Event.State;
  Run.Record.Reason = Event.Reason;
}

void ShardState::applyOne(const RunRetired &Event, TimePoint /*Now*/) {
  const RunEntry &Run = requireRun(Event.Run);
  if (!Run.isEnding() || Run.Active > 0)
    throwInconsistent("run " + Event.Run + " is retired before its end");
  Memory.remove(Run.Record.Team, runBytes(Run.Record));
  ByOrder.erase(Run.Order);
  Runs.erase(Event.Run);
}

void ShardState::apply(const JournalEvent &Event, TimePoint Now) {
  std::visit([&](const auto &Concrete) { applyOne(Concrete, Now); }, Event);
}

void ShardState::restore(const ShardSnapshot &Snapshot, TimePoint Now) {
  if (!Runs.empty())
    throwInconsistent("a snapshot is restored over existing runs");
  for (const RunSnapshot &Saved : Snapshot.Runs) {
    RunEntry &Run = insert(Saved.Run);
    Run.Record.Running = Run.Record.Succeeded = Run.Record.Failed = 0;
    Run.Tasks.resize(Saved.Tasks.size());
    for (std::uint32_t Position = 0; Position < Saved.Tasks.size();
         ++Position) {
      const TaskSnapshot &Source = Saved.Tasks[Position];
      TaskEntry &Task = Run.Tasks[Position];
      Task.Attempt = Source.Attempt;
      Task.Failures = Source.Failures;
      Task.HasCheckpoint = Source.HasCheckpoint;
      Task.Stop = Source.Stop;
      Task.Since = Now;
      if (isFinal(Source.State)) {
        finish(Run, Task, Source.State);
        continue;
      }
      Task.State = Source.State;
      if (!Task.isActive())
        continue;
      Task.Worker = Index.intern(Source.Worker);
      Task.Reserved = Source.Reserved;
      Task.StartOrder = NextStart++;
      allocate({&Run, Position});
    }
  }
}

ShardSnapshot ShardState::snapshot(std::uint64_t Sequence) const {
  ShardSnapshot Result;
  Result.Sequence = Sequence;
  Result.Runs.reserve(ByOrder.size());
  for (const auto &[Order, Run] : ByOrder) {
    RunSnapshot Saved;
    Saved.Run = Run->Record;
    Saved.Run.Running = Run->Active;
    Saved.Tasks.reserve(Run->Tasks.size());
    for (const TaskEntry &Task : Run->Tasks) {
      TaskSnapshot Target;
      Target.State =
          Task.State == TaskState::Running ? TaskState::Starting : Task.State;
      Target.Attempt = Task.Attempt;
      Target.Failures = Task.Failures;
      Target.HasCheckpoint = Task.HasCheckpoint;
      if (Task.isActive()) {
        Target.Worker = Index.id(Task.Worker);
        Target.Reserved = Task.Reserved;
      }
      if (Task.State == TaskState::Stopping)
        Target.Stop = Task.Stop;
      Saved.Tasks.push_back(std::move(Target));
    }
    Result.Runs.push_back(std::move(Saved));
  }
  return Result;
}

} // namespace apricotwing
