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
  if (Run.Work.Ready.empty())
    Run.Work.ReadySince = Now;
  Run.Work.Ready.push_back(Index);
  ++Version;
  requeue(Run);
}

std::uint32_t TeamQueue::takeReady(RunEntry &Run) {
  const std::uint32_t Index = Run.Work.Ready.back();
  Run.Work.Ready.pop_back();
  ++Version;
  removeWaiting(Run);
  if (Run.Work.Ready.empty())
    unqueue(Run);
  return Index;
}

void TeamQueue::unqueue(RunEntry &Run) {
  if (!Run.Work.Queued)
    return;
  Waiting.erase(Run.Work.Key);
  ++Version;
  Run.Work.Queued = false;
}

void TeamQueue::requeue(RunEntry &Run) {
  if (Run.Work.Queued || Run.Work.Ready.empty() ||
      Run.Record.State == RunState::Unschedulable)
    return;
  Waiting.emplace(Run.Work.Key, &Run);
  ++Version;
  Run.Work.Queued = true;
}

void TeamQueue::drop(RunEntry &Run) {
  unqueue(Run);
  removeWaiting(Run, Run.Work.Ready.size() + Run.Work.Delayed);
  Run.Work.Ready.clear();
  Run.Work.Delayed = 0;
}

Resources TeamQueue::cap() const { return Resources::min(Limit, Grant); }

} // namespace apricotwing
