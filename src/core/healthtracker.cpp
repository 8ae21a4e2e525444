#include "core/healthtracker.h"

#include <algorithm>
#include <utility>

namespace apricotwing {

bool HealthTracker::isTrusted(WorkerIndex Worker, TimePoint Now) const {
  const auto Found = Workers.find(Worker);
  if (Found == Workers.end())
    return false;
  const WorkerState &State = Found->second;
  return State.Health == WorkerHealth::Healthy && State.LastSuccess &&
         Now - *State.LastSuccess <= Options.Window;
}

bool HealthTracker::countsAgainst(WorkerIndex Worker, const RunId &Run) const {
  const auto Found = Runs.find(Run);
  if (Found == Runs.end() || Found->second.Succeeded)
    return true;
  return std::ranges::none_of(
      Found->second.FailedOnTrusted,
      [Worker](WorkerIndex Other) { return Other != Worker; });
}

std::uint32_t HealthTracker::countRunsAgainst(WorkerIndex Worker,
                                              TimePoint Now) {
  std::deque<Failure> &Failures = Workers[Worker].Failures;
  while (!Failures.empty() && Now - Failures.front().At > Options.Window)
    Failures.pop_front();
  std::set<RunId> Against;
  for (const Failure &Each : Failures)
    if (countsAgainst(Worker, Each.Run))
      Against.insert(Each.Run);
  return std::uint32_t(Against.size());
}

bool HealthTracker::mayQuarantine() const {
  const std::size_t Allowed = std::max<std::size_t>(
      1, WorkerCount * Options.MaxQuarantinedPercent / 100);
  return Unavailable.size() < Allowed;
}

void HealthTracker::change(WorkerIndex Worker, WorkerHealth Health) {
  Workers[Worker].Health = Health;
  if (Health == WorkerHealth::Healthy)
    Unavailable.erase(Worker);
  else
    Unavailable.insert(Worker);
  Changes.push_back({Worker, Health});
}

void HealthTracker::quarantine(WorkerIndex Worker, TimePoint Now) {
  WorkerState &State = Workers[Worker];
  State.Backoff = State.Backoff.count() == 0
                      ? Options.FirstBackoff
                      : std::min(State.Backoff * 2, Options.MaxBackoff);
  State.Until = Now + State.Backoff;
  change(Worker, WorkerHealth::Quarantined);
}

void HealthTracker::recordSuccess(WorkerIndex Worker, const RunId &Run,
                                  TimePoint Now) {
  if (const auto Found = Runs.find(Run); Found != Runs.end())
    Found->second.Succeeded = true;
  WorkerState &State = Workers[Worker];
  State.LastSuccess = Now;
  State.Failures.clear();
  if (State.Health == WorkerHealth::Quarantined)
    return;
  State.Backoff = Duration{0};
  if (State.Health == WorkerHealth::Probing)
    change(Worker, WorkerHealth::Healthy);
}

void HealthTracker::recordFailure(WorkerIndex Worker, const RunId &Run,
                                  TimePoint Now) {
  // The tasks of a run on one worker count once, so a new failure replaces the
  // earlier one.
  WorkerState &State = Workers[Worker];
  std::erase_if(State.Failures,
                [&Run](const Failure &Old) { return Old.Run == Run; });
  State.Failures.push_back({Run, Now});
  RunState &Entry = Runs[Run];
  Entry.FailedOn.insert(Worker);
  if (isTrusted(Worker, Now) && Entry.FailedOnTrusted.insert(Worker).second)
    liftWrongQuarantines(Run, Now);
  if (State.Health == WorkerHealth::Quarantined)
    return;
  const bool IsOnProbation = State.Backoff.count() > 0;
  const std::uint32_t Threshold = IsOnProbation ? 1 : Options.RunsForQuarantine;
  if ((State.Health == WorkerHealth::Probing || mayQuarantine()) &&
      countsAgainst(Worker, Run) && countRunsAgainst(Worker, Now) >= Threshold)
    quarantine(Worker, Now);
}

void HealthTracker::liftWrongQuarantines(const RunId &Run, TimePoint Now) {
  for (const WorkerIndex Other : Runs[Run].FailedOn) {
    WorkerState &State = Workers[Other];
    if (State.Health != WorkerHealth::Quarantined ||
        State.Backoff != Options.FirstBackoff ||
        countRunsAgainst(Other, Now) >= Options.RunsForQuarantine)
      continue;
    State.Backoff = Duration{0};
    change(Other, WorkerHealth::Healthy);
  }
}

void HealthTracker::advance(TimePoint Now) {
  std::vector<WorkerIndex> Expired;
  for (const WorkerIndex Worker : Unavailable) {
    if (Now >= Workers[Worker].Until)
      Expired.push_back(Worker);
  }
  for (const WorkerIndex Worker : Expired) {
    const bool WasProbing = Workers[Worker].Health == WorkerHealth::Probing;
    Workers[Worker].Until = Now + Options.ProbeTime;
    change(Worker, WasProbing ? WorkerHealth::Healthy : WorkerHealth::Probing);
  }
}

std::vector<HealthChange> HealthTracker::takeChanges() {
  return std::exchange(Changes, {});
}

WorkerHealth HealthTracker::health(WorkerIndex Worker) const {
  const auto Found = Workers.find(Worker);
  return Found == Workers.end() ? WorkerHealth::Healthy : Found->second.Health;
}

std::vector<WorkerIndex> HealthTracker::quarantined() const {
  return {Unavailable.begin(), Unavailable.end()};
}

bool HealthTracker::isBadRun(const RunId &Run) const {
  const auto Found = Runs.find(Run);
  return Found != Runs.end() && !Found->second.Succeeded &&
         Found->second.FailedOnTrusted.size() >= Options.WorkersForBadRun;
}

const std::set<WorkerIndex> *HealthTracker::failedOn(const RunId &Run) const {
  const auto Found = Runs.find(Run);
  return Found == Runs.end() ? nullptr : &Found->second.FailedOn;
}

} // namespace apricotwing
