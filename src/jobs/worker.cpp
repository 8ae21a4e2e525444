#include "jobs/worker.h"

#include <algorithm>
#include <limits>

namespace apricotwing::jobs {

namespace {

/// Weight of the latest run in the moving average. Estimates are off by half or
/// more, so about 10 runs are needed to determine a worker's slowdown.
constexpr double SlowdownLearningRate = 0.12;

/// Bound on a single observation, so that one wrong estimate has little effect.
constexpr double MaxSlowdown = 6;

/// The resources of \p Run that count against the capacity.
Resources chargedResources(const AllocatedRun &Run) {
  Resources Result = Run.Request;
  if (Run.BestEffort)
    Result.CpuMillis = 0;
  return Result;
}

} // namespace

void Worker::recordOutcome(bool Success, TimePoint Now) {
  if (Success) {
    ConsecutiveFailures = 0;
    return;
  }
  if (++ConsecutiveFailures >= ConsecutiveFailureLimit)
    avoidUntil(Now + AvoidTime);
}

void Worker::recordSlowdown(double Multiple) {
  Slowdown += SlowdownLearningRate *
              (std::clamp(Multiple, 1 / MaxSlowdown, MaxSlowdown) - Slowdown);
}

void Worker::allocate(const std::string &Task, AllocatedRun Run) {
  Used += chargedResources(Run);
  if (Run.IsLasting)
    UsedByLasting += chargedResources(Run);
  if (Run.BestEffort)
    FillingCpuMillis += Run.Request.CpuMillis;
  AllocatedRun &Entry = Runs[Task];
  UnknownRuns += int(Run.IsUnknown) - int(Entry.IsUnknown);
  LoneRuns +=
      int(Run.AloneUntil.has_value()) - int(Entry.AloneUntil.has_value());
  if (Run.AloneUntil)
    ReservedUntil = std::max(ReservedUntil, *Run.AloneUntil);
  Entry = std::move(Run);
}

bool Worker::release(const std::string &Task, std::int64_t Run) {
  const auto Found = Runs.find(Task);
  if (Found == Runs.end() || Found->second.Run != Run)
    return false;
  Used -= chargedResources(Found->second);
  if (Found->second.IsLasting)
    UsedByLasting -= chargedResources(Found->second);
  if (Found->second.BestEffort)
    FillingCpuMillis -= Found->second.Request.CpuMillis;
  UnknownRuns -= int(Found->second.IsUnknown);
  LoneRuns -= int(Found->second.AloneUntil.has_value());
  if (LoneRuns == 0)
    ReservedUntil = {};
  Runs.erase(Found);
  return true;
}

bool Worker::isReservedForOthers(const std::string &Step, TimePoint Now) const {
  return isReserved(Now) &&
         std::any_of(Runs.begin(), Runs.end(), [&](const auto &Entry) {
           return Entry.second.AloneUntil && Now < *Entry.second.AloneUntil &&
                  !Entry.first.starts_with(Step + ".");
         });
}

Isolation Worker::isolation() const {
  Isolation Result;
  for (const auto &[Task, Run] : Runs)
    if (Run.AloneUntil) {
      Result.Losses = std::max(Result.Losses, Run.Losses);
      Result.Since = std::max(Result.Since, Run.Since);
    }
  return Result;
}

void Worker::endApartness() {
  for (auto &[Task, Run] : Runs)
    Run.IsApart = false;
}

bool Worker::hasSuspectSince(TimePoint Since) const {
  return std::any_of(Runs.begin(), Runs.end(), [Since](const auto &Entry) {
    return Entry.second.IsSuspect && Entry.second.Since >= Since;
  });
}

bool Worker::hasStartSince(TimePoint Since) const {
  return std::any_of(Runs.begin(), Runs.end(), [Since](const auto &Entry) {
    return Entry.second.Since >= Since;
  });
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

int Worker::slotsFor(const StepSpec &Step, const std::string &Name,
                     const std::set<std::string> &Yielding) const {
  Resources ClaimedByOthers = Claimed;
  for (const auto &[Claimant, Amount] : Claims)
    if (Claimant == Name || Yielding.contains(Claimant))
      ClaimedByOthers -= Amount;
  Resources Free = freeResources() - ClaimedByOthers;
  // A best-effort task makes progress only on processors that no other run
  // uses.
  if (Step.BestEffort)
    Free.CpuMillis = unusedCpuMillis();
  return slotsIn(Free, Step);
}

int Worker::slotsInFreeResources(const StepSpec &Step) const {
  return slotsIn(freeResources(), Step);
}

int Worker::slotsIfEmpty(const StepSpec &Step) const {
  return slotsIn(Info.Capacity, Step);
}

int Worker::slotsBesideLasting(const StepSpec &Step) const {
  return slotsIn(Info.Capacity - UsedByLasting, Step);
}

int Worker::slotsIn(const Resources &Room, const StepSpec &Step) const {
  int Slots = std::numeric_limits<int>::max();
  const auto Limit = [&Slots](std::int64_t Free, std::int64_t Required) {
    if (Required > 0)
      Slots = std::min(Slots, int(std::max<std::int64_t>(Free, 0) / Required));
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
