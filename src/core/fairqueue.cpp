#include "core/fairqueue.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace apricotwing {

void FairQueue::push(const TeamName &Team, std::uint32_t Share,
                     const QueueEntry &Entry) {
  const auto [Where, New] = Queues.try_emplace(Team);
  TeamQueue &Queue = Where->second;
  if (New)
    Queue.Index = Queues.size();
  if (Queue.Entries.empty()) {
    // A team that was idle has no claim to what others used meanwhile.
    Queue.VirtualTime = std::max(Queue.VirtualTime, VirtualTime);
    Queue.Share = std::max<std::uint32_t>(Share, 1);
    ActiveShares += Queue.Share;
    Active.emplace(keyOf(Queue), Where);
  }
  Size += Queue.Entries.insert(Entry).second ? 1 : 0;
}

bool FairQueue::remove(const TeamName &Team, const QueueEntry &Entry) {
  const auto Where = Queues.find(Team);
  if (Where == Queues.end() || Where->second.Entries.erase(Entry) == 0)
    return false;
  --Size;
  if (Where->second.Entries.empty())
    deactivate(Where->second);
  return true;
}

bool FairQueue::serveOne(const TeamCheck &MayRun, const TrySend &Send) {
  for (const auto &Candidate : Active) {
    // A copy: serving the team removes the candidate's node.
    const auto Where = Candidate.second;
    if (!MayRun(Where->first))
      continue;
    TeamQueue &Queue = Where->second;
    const auto Taken =
        std::find_if(Queue.Entries.begin(), Queue.Entries.end(), Send);
    if (Taken == Queue.Entries.end())
      continue;
    const bool Charged = Taken->Charged;
    deactivate(Queue);
    Queue.Entries.erase(Taken);
    --Size;
    if (!Charged)
      charge(Queue);
    if (!Queue.Entries.empty()) {
      ActiveShares += Queue.Share;
      Active.emplace(keyOf(Queue), Where);
    }
    return true;
  }
  return false;
}

void FairQueue::charge(TeamQueue &Queue) {
  // A team that lags because its limit held it back must not make up for that
  // at the cost of the others.
  Queue.VirtualTime = std::max(Queue.VirtualTime, VirtualTime);
  VirtualTime = Queue.VirtualTime;
  Queue.VirtualTime += 1.0 / Queue.Share;
}

void FairQueue::deactivate(const TeamQueue &Queue) {
  Active.erase(keyOf(Queue));
  ActiveShares -= Queue.Share;
}

std::optional<QueueEntry> FairQueue::last(const TeamName &Team) const {
  const auto Where = Queues.find(Team);
  if (Where == Queues.end() || Where->second.Entries.empty())
    return std::nullopt;
  return *Where->second.Entries.rbegin();
}

std::size_t FairQueue::ahead(const TeamName &Team, TimePoint Deadline) const {
  const auto Where = Queues.find(Team);
  if (Where == Queues.end())
    return 0;
  const auto &Entries = Where->second.Entries;
  return std::size_t(std::distance(
      Entries.begin(),
      Entries.upper_bound(QueueEntry{
          Deadline, std::numeric_limits<std::uint64_t>::max(), false})));
}

double FairQueue::fraction(const TeamName &Team, std::uint32_t Share) const {
  const auto Where = Queues.find(Team);
  const bool Waiting = Where != Queues.end() && !Where->second.Entries.empty();
  const double Own = std::max<std::uint32_t>(Share, 1);
  return Own / (double(ActiveShares) + (Waiting ? 0 : Own));
}

} // namespace apricotwing
