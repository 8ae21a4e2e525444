#include "core/teamqueue.h"

namespace apricotwing {

void TeamQueue::addWaiting(const RunEntry &Run, std::uint64_t Count) {
  Pending += Run.Record.Spec.PerTask * std::int64_t(Count);
  Tasks += Count;
}

void TeamQueue::removeWaiting(const RunEntry &Run, std::uint64_t Count) {
  Pending -= Run.Record.Spec.PerTask * std::int64_t(Count);
  Tasks -= Count;
}

void TeamQueue::makeReady(RunEntry &Run, std::uint32_t Index, TimePoint Now) {
  if (Run.Scheduling.Ready.empty())
    Run.Scheduling.ReadySince = Now;
  Run.Scheduling.Ready.push_back(Index);
  ++Version;
  requeue(Run);
}

std::uint32_t TeamQueue::takeReady(RunEntry &Run) {
  const std::uint32_t Index = Run.Scheduling.Ready.back();
  Run.Scheduling.Ready.pop_back();
  ++Version;
  removeWaiting(Run);
  if (Run.Scheduling.Ready.empty())
    dequeue(Run);
  return Index;
}

void TeamQueue::dequeue(RunEntry &Run) {
  if (!Run.Scheduling.Queued)
    return;
  Waiting.erase(Run.Scheduling.Key);
  ++Version;
  Run.Scheduling.Queued = false;
}

void TeamQueue::requeue(RunEntry &Run) {
  if (Run.Scheduling.Queued || Run.Scheduling.Ready.empty() ||
      Run.Record.State == RunState::Unschedulable)
    return;
  Waiting.emplace(Run.Scheduling.Key, &Run);
  ++Version;
  Run.Scheduling.Queued = true;
}

void TeamQueue::removeRun(RunEntry &Run) {
  dequeue(Run);
  removeWaiting(Run, Run.Scheduling.Ready.size() + Run.Scheduling.Delayed);
  Run.Scheduling.Ready.clear();
  Run.Scheduling.Delayed = 0;
}

Resources TeamQueue::cap() const { return Resources::min(Limit, Grant); }

} // namespace apricotwing
