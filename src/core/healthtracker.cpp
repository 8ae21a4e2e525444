#include "core/healthtracker.h"

#include <algorithm>
#include <utility>

namespace apricotwing {

bool HealthTracker::isTrusted(WorkerIndex Worker, TimePoint Now) const {
  const auto Found = Workers.find(Worker);
  if (Found == Workers.end())
    return false;
  const WorkerEntry &Known = Found->second;
  return Known.Health == WorkerHealth::Healthy && Known.LastSuccess &&
         Now - *Known.LastSuccess <= Options.Window;
}

bool HealthTracker::speaksAgainst(WorkerIndex Worker, const RunId &Run) const {
  const auto Found = Runs.find(Run);
  if (Found == Runs.end() || Found->second.Succeeded)
    return true;
  return std::ranges::none_of(
      Found->second.FailedOnTrusted,
      [Worker](WorkerIndex Other) { return Other != Worker; });
}

std::uint32_t HealthTracker::runsAgainst(WorkerIndex Worker, TimePoint Now) {
  std::deque<Failure> &Failures = Workers[Worker].Failures;
  while (!Failures.empty() && Now - Failures.front().At > Options.Window)
    Failures.pop_front();
  std::set<RunId> Against;
  for (const Failure &Known : Failures)
    if (speaksAgainst(Worker, Known.Run))
      Against.insert(Known.Run);
  return std::uint32_t(Against.size());
}

bool HealthTracker::mayQuarantine() const {
  const std::size_t Allowed = std::max<std::size_t>(
      1, WorkerCount * Options.MaxQuarantinedPercent / 100);
  return Closed.size() < Allowed;
}

void HealthTracker::change(WorkerIndex Worker, WorkerHealth Health) {
  Workers[Worker].Health = Health;
  if (Health == WorkerHealth::Healthy)
    Closed.erase(Worker);
  else
    Closed.insert(Worker);
  Changes.push_back({Worker, Health});
}

void HealthTracker::quarantine(WorkerIndex Worker, TimePoint Now) {
  WorkerEntry &Known = Workers[Worker];
  Known.Backoff = Known.Backoff.count() == 0
                      ? Options.FirstBackoff
                      : std::min(Known.Backoff * 2, Options.MaxBackoff);
  Known.Until = Now + Known.Backoff;
  change(Worker, WorkerHealth::Quarantined);
}

void HealthTracker::recordSuccess(WorkerIndex Worker, const RunId &Run,
                                  TimePoint Now) {
  if (const auto Found = Runs.find(Run); Found != Runs.end())
    Found->second.Succeeded = true;
  WorkerEntry &Known = Workers[Worker];
  Known.LastSuccess = Now;
  Known.Failures.clear();
  if (Known.Health == WorkerHealth::Quarantined)
    return;
  Known.Backoff = Duration{0};
  if (Known.Health == WorkerHealth::Probing)
    change(Worker, WorkerHealth::Healthy);
}

void HealthTracker::recordFailure(WorkerIndex Worker, const RunId &Run,
                                  TimePoint Now) {
  // The run's tasks on one worker count once, so a repeat is not stored.
  WorkerEntry &Known = Workers[Worker];
  std::erase_if(Known.Failures,
                [&Run](const Failure &Old) { return Old.Run == Run; });
  Known.Failures.push_back({Run, Now});
  RunEntry &Entry = Runs[Run];
  Entry.FailedOn.insert(Worker);
  if (isTrusted(Worker, Now) && Entry.FailedOnTrusted.insert(Worker).second)
    liftWrongQuarantines(Run, Now);
  if (Known.Health == WorkerHealth::Quarantined)
    return;
  const bool IsOnProbation = Known.Backoff.count() > 0;
  const std::uint32_t Enough = IsOnProbation ? 1 : Options.RunsForQuarantine;
  if ((Known.Health == WorkerHealth::Probing || mayQuarantine()) &&
      speaksAgainst(Worker, Run) && runsAgainst(Worker, Now) >= Enough)
    quarantine(Worker, Now);
}

void HealthTracker::liftWrongQuarantines(const RunId &Run, TimePoint Now) {
  for (const WorkerIndex Other : Runs[Run].FailedOn) {
    WorkerEntry &Known = Workers[Other];
    if (Known.Health != WorkerHealth::Quarantined ||
        Known.Backoff != Options.FirstBackoff ||
        runsAgainst(Other, Now) >= Options.RunsForQuarantine)
      continue;
    Known.Backoff = Duration{0};
    change(Other, WorkerHealth::Healthy);
  }
}

void HealthTracker::advance(TimePoint Now) {
  std::vector<WorkerIndex> Over;
  for (const WorkerIndex Worker : Closed) {
    if (Now >= Workers[Worker].Until)
      Over.push_back(Worker);
  }
  for (const WorkerIndex Worker : Over) {
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
  return {Closed.begin(), Closed.end()};
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
