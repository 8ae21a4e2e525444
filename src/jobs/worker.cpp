#include "jobs/worker.h"

#include <algorithm>
#include <limits>

namespace apricotwing::jobs {

namespace {

/// Weight of the newest run. Estimates are off by half or more, so that it
/// takes some ten runs to tell a worker's pace.
constexpr double PaceLearningRate = 0.12;

/// Bound of one observation, so that one wrong estimate tells little.
constexpr double LargestPace = 6;

/// The part of \p Run that is counted against the capacity.
Resources countedPart(const HeldRun &Run) {
  Resources Result = Run.Request;
  if (Run.BestEffort)
    Result.CpuMillis = 0;
  return Result;
}

} // namespace

void Worker::noteEnd(bool Success, TimePoint Now) {
  if (Success) {
    FailuresInRow = 0;
    return;
  }
  if (++FailuresInRow >= FailuresToAvoid)
    avoidUntil(Now + AvoidTime);
}

void Worker::notePace(double Multiple) {
  Pace += PaceLearningRate *
          (std::clamp(Multiple, 1 / LargestPace, LargestPace) - Pace);
}

void Worker::hold(const std::string &Task, HeldRun Run) {
  Used += countedPart(Run);
  if (Run.BestEffort)
    FillingCpuMillis += Run.Request.CpuMillis;
  Runs[Task] = std::move(Run);
}

bool Worker::release(const std::string &Task, std::int64_t Run) {
  const auto Found = Runs.find(Task);
  if (Found == Runs.end() || Found->second.Run != Run)
    return false;
  Used -= countedPart(Found->second);
  if (Found->second.BestEffort)
    FillingCpuMillis -= Found->second.Request.CpuMillis;
  Runs.erase(Found);
  return true;
}

void Worker::claim(const std::string &Name, const StepSpec &Step, int Slots) {
  releaseClaim(Name);
  Resources Sum;
  for (int Slot = 0; Slot < Slots; ++Slot)
    Sum += Step.Request;
  Claimed += Sum;
  Claims[Name] = Sum;
}

Resources Worker::releaseClaim(const std::string &Name) {
  const auto Found = Claims.find(Name);
  if (Found == Claims.end())
    return {};
  const Resources Freed = Found->second;
  Claimed -= Freed;
  Claims.erase(Found);
  return Freed;
}

int Worker::slotsFor(const StepSpec &Step, const std::string &Name) const {
  Resources Kept = Claimed;
  if (const auto Own = Claims.find(Name); Own != Claims.end())
    Kept -= Own->second;
  Resources Free = freeResources() - Kept;
  // A filling task makes progress only with processors that nobody uses.
  if (Step.BestEffort)
    Free.CpuMillis = unusedCpuMillis();
  return slotsIn(Free, Step);
}

int Worker::slotsInRoom(const StepSpec &Step) const {
  return slotsIn(freeResources(), Step);
}

int Worker::slotsIfEmpty(const StepSpec &Step) const {
  return slotsIn(Info.Capacity, Step);
}

int Worker::slotsIn(const Resources &Room, const StepSpec &Step) const {
  int Slots = std::numeric_limits<int>::max();
  const auto Limit = [&Slots](std::int64_t Free, std::int64_t Wanted) {
    if (Wanted > 0)
      Slots = std::min(Slots, int(std::max<std::int64_t>(Free, 0) / Wanted));
  };
  Limit(Room.CpuMillis, Step.Request.CpuMillis);
  Limit(Room.MemoryMib, Step.Request.MemoryMib);
  Limit(Room.Accelerators, Step.Request.Accelerators);
  if (Step.MaxPerWorker > 0)
    Slots = std::min(Slots, Step.MaxPerWorker);
  return std::min(Slots, Step.Count);
}

bool Worker::satisfies(const StepSpec &Step) const {
  return Step.RequiredLabel.empty() ||
         std::find(Info.Labels.begin(), Info.Labels.end(),
                   Step.RequiredLabel) != Info.Labels.end();
}

} // namespace apricotwing::jobs
