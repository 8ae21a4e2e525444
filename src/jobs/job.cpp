#include "jobs/job.h"

#include <algorithm>

namespace apricotwing::jobs {

TimePoint StepState::waitsForCallSince() const {
  return LastCallAt ? std::max(*LastCallAt, QueuedAt) : QueuedAt;
}

bool StepState::hasAllClaims() const {
  std::size_t Slots = 0;
  for (const auto &[Worker, Count] : Claimed)
    Slots += std::size_t(Count);
  return Slots >= Tasks.size();
}

bool StepState::isWholeConfirmed() const {
  return std::all_of(Tasks.begin(), Tasks.end(), [](const TaskState &Task) {
    return Task.Phase == TaskPhase::Placed && Task.Confirmed;
  });
}

CrashHistory StepState::gangCrashes() const {
  CrashHistory Result;
  for (const TaskState &Task : Tasks)
    Result.mergeGangMember(Task.Crashes);
  return Result;
}

bool StepState::needsProbe(TimePoint Now) const {
  if (!HasCrashes || SuspectSucceeded)
    return false;
  std::set<WorkerIncarnation> Lost;
  for (const TaskState &Task : Tasks) {
    if (Task.Phase == TaskPhase::Done || !Task.Crashes.isSuspect())
      continue;
    if (Task.Phase == TaskPhase::Placed &&
        Now - Task.PlacedAt >= CrashHistory::DangerTime)
      return false;
    for (const CrashRecord &Record : Task.Crashes.records())
      if (Record.counts())
        Lost.insert(Record.Worker);
  }
  return Lost.size() >= 2;
}

bool StepState::isSuspectPlaced() const {
  return std::any_of(Tasks.begin(), Tasks.end(), [](const TaskState &Task) {
    return Task.Phase == TaskPhase::Placed && Task.Crashes.isSuspect();
  });
}

int StepState::nextProbe() const {
  int Result = -1;
  int MostLosses = 0;
  for (std::size_t Index = 0; Index < Tasks.size(); ++Index) {
    const int Losses = Tasks[Index].Crashes.losses();
    if (Tasks[Index].Phase != TaskPhase::Ready || Losses <= MostLosses)
      continue;
    MostLosses = Losses;
    Result = int(Index);
  }
  return Result;
}

bool Job::isStepDone(int Step) const {
  const StepState &State = Steps[std::size_t(Step)];
  return std::size_t(State.DoneCount) == State.Tasks.size();
}

bool Job::isUnblocked(int Step) const {
  const std::vector<int> &After = Spec.Steps[std::size_t(Step)].After;
  return std::all_of(After.begin(), After.end(),
                     [this](int Earlier) { return isStepDone(Earlier); });
}

bool Job::isDone() const {
  for (std::size_t Step = 0; Step < Steps.size(); ++Step)
    if (!isStepDone(int(Step)))
      return false;
  return true;
}

bool Job::hasPlacedTask() const {
  return std::any_of(Steps.begin(), Steps.end(), [](const StepState &Step) {
    return std::any_of(
        Step.Tasks.begin(), Step.Tasks.end(),
        [](const TaskState &Task) { return Task.Phase == TaskPhase::Placed; });
  });
}

void Job::updateEstimate() {
  std::vector<Duration> EndOf;
  Duration Longest{0};
  for (std::size_t Step = 0; Step < Steps.size(); ++Step) {
    Duration Start{0};
    for (const int Earlier : Spec.Steps[Step].After)
      Start = std::max(Start, EndOf[std::size_t(Earlier)]);
    const Duration Left =
        isStepDone(int(Step)) ? Duration{0} : Spec.Steps[Step].Estimate;
    EndOf.push_back(Start + Left);
    Longest = std::max(Longest, EndOf.back());
  }
  RemainingEstimate = Longest;
}

JobProgress Job::progress() const {
  JobProgress Result;
  Result.Phase = Phase;
  Result.Queue = Spec.Queue;
  if (Phase != JobPhase::Active)
    return Result;
  for (const StepState &Step : Steps) {
    StepProgress Stored;
    Stored.GangFailures = Step.GangFailures;
    Stored.LastFailedRun = Step.LastFailedRun;
    for (std::size_t Index = 0; Index < Step.Tasks.size(); ++Index) {
      const TaskState &Task = Step.Tasks[Index];
      if (Task.Phase == TaskPhase::Done) {
        Stored.Done.push_back(int(Index));
        continue;
      }
      if (Task.Phase == TaskPhase::Placed)
        Stored.Placed[int(Index)] = {Task.Worker, Task.Run, Task.Confirmed};
      if (Task.Failures > 0)
        Stored.Failures[int(Index)] = Task.Failures;
      if (!Task.Checkpoint.empty())
        Stored.Checkpoints[int(Index)] = Task.Checkpoint;
      if (!Task.Crashes.records().empty())
        Stored.Crashes[int(Index)] = Task.Crashes.records();
    }
    Stored.Begun = Step.HasBegun && Step.DoneCount == 0;
    Result.Steps.push_back(std::move(Stored));
  }
  return Result;
}

void Job::restore(const JobProgress &Stored) {
  Phase = Stored.Phase;
  StoredPhase = Stored.Phase;
  Steps.clear();
  for (std::size_t Number = 0; Number < Spec.Steps.size(); ++Number) {
    StepState Step;
    Step.Tasks.resize(std::size_t(Spec.Steps[Number].Count));
    if (Number < Stored.Steps.size()) {
      const StepProgress &Progress = Stored.Steps[Number];
      Step.GangFailures = Progress.GangFailures;
      Step.LastFailedRun = Progress.LastFailedRun;
      Step.HasBegun = Progress.Begun || !Progress.Done.empty();
      const auto TaskAt = [&Step](int Index) -> TaskState * {
        const bool Exists =
            Index >= 0 && std::size_t(Index) < Step.Tasks.size();
        return Exists ? &Step.Tasks[std::size_t(Index)] : nullptr;
      };
      for (const int Index : Progress.Done)
        if (TaskState *Task = TaskAt(Index);
            Task && Task->Phase != TaskPhase::Done) {
          Task->Phase = TaskPhase::Done;
          ++Step.DoneCount;
        }
      for (const auto &[Index, Run] : Progress.Placed)
        if (TaskState *Task = TaskAt(Index);
            Task && Task->Phase == TaskPhase::Ready) {
          Task->Phase = TaskPhase::Placed;
          Task->Worker = Run.Worker;
          Task->Run = Run.Run;
          Task->Confirmed = Run.Confirmed;
        }
      for (const auto &[Index, Count] : Progress.Failures)
        if (TaskState *Task = TaskAt(Index))
          Task->Failures = Count;
      for (const auto &[Index, Checkpoint] : Progress.Checkpoints)
        if (TaskState *Task = TaskAt(Index))
          Task->Checkpoint = Checkpoint;
      for (const auto &[Index, Records] : Progress.Crashes)
        if (TaskState *Task = TaskAt(Index)) {
          Step.HasCrashes = true;
          for (const CrashRecord &Record : Records)
            Task->Crashes.add(Record);
        }
    }
    Step.ReadyCount = int(std::count_if(
        Step.Tasks.begin(), Step.Tasks.end(),
        [](const TaskState &Task) { return Task.Phase == TaskPhase::Ready; }));
    HasBegun = HasBegun || Step.HasBegun;
    Steps.push_back(std::move(Step));
  }
  updateEstimate();
}

} // namespace apricotwing::jobs
