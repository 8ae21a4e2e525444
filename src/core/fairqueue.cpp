#include "core/fairqueue.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace apricotwing {

void FairQueue::push(const TeamName &Team, std::uint32_t Share,
                     const QueueEntry &Entry) {
  const auto [It, Inserted] = Queues.try_emplace(Team);
  TeamQueue &Queue = It->second;
  if (Inserted)
    Queue.Index = Queues.size();
  if (Queue.Entries.empty()) {
    // An idle team accumulates no credit for the service that it did not use.
    Queue.VirtualTime = std::max(Queue.VirtualTime, VirtualTime);
    Queue.Share = std::max<std::uint32_t>(Share, 1);
    ActiveShares += Queue.Share;
    Active.emplace(keyOf(Queue), It);
  }
  Size += Queue.Entries.insert(Entry).second ? 1 : 0;
}

bool FairQueue::remove(const TeamName &Team, const QueueEntry &Entry) {
  const auto It = Queues.find(Team);
  if (It == Queues.end() || It->second.Entries.erase(Entry) == 0)
    return false;
  --Size;
  if (It->second.Entries.empty())
    deactivate(It->second);
  return true;
}

bool FairQueue::serveOne(const TeamCheck &MayRun, const TrySend &Send) {
  for (const auto &Candidate : Active) {
    // Copied, because serving the team erases its node in Active.
    const auto It = Candidate.second;
    if (!MayRun(It->first))
      continue;
    TeamQueue &Queue = It->second;
    const auto Sent =
        std::find_if(Queue.Entries.begin(), Queue.Entries.end(), Send);
    if (Sent == Queue.Entries.end())
      continue;
    const bool Charged = Sent->Charged;
    deactivate(Queue);
    Queue.Entries.erase(Sent);
    --Size;
    if (!Charged)
      charge(Queue);
    if (!Queue.Entries.empty()) {
      ActiveShares += Queue.Share;
      Active.emplace(keyOf(Queue), It);
    }
    return true;
  }
  return false;
}

void FairQueue::charge(TeamQueue &Queue) {
  // A team whose limit blocked it has a low virtual time. It must not catch up
  // at the expense of the other teams.
  Queue.VirtualTime = std::max(Queue.VirtualTime, VirtualTime);
  VirtualTime = Queue.VirtualTime;
  Queue.VirtualTime += 1.0 / Queue.Share;
}

void FairQueue::deactivate(const TeamQueue &Queue) {
  Active.erase(keyOf(Queue));
  ActiveShares -= Queue.Share;
}

std::optional<QueueEntry> FairQueue::latest(const TeamName &Team) const {
  const auto It = Queues.find(Team);
  if (It == Queues.end() || It->second.Entries.empty())
    return std::nullopt;
  return *It->second.Entries.rbegin();
}

std::size_t FairQueue::countAhead(const TeamName &Team,
                                  TimePoint Deadline) const {
  const auto It = Queues.find(Team);
  if (It == Queues.end())
    return 0;
  const auto &Entries = It->second.Entries;
  return std::size_t(std::distance(
      Entries.begin(),
      Entries.upper_bound(QueueEntry{
          Deadline, std::numeric_limits<std::uint64_t>::max(), false})));
}

double FairQueue::fraction(const TeamName &Team, std::uint32_t Share) const {
  const auto It = Queues.find(Team);
  const bool Waiting = It != Queues.end() && !It->second.Entries.empty();
  const double OwnShare = std::max<std::uint32_t>(Share, 1);
  return OwnShare / (double(ActiveShares) + (Waiting ? 0 : OwnShare));
}

} // namespace apricotwing
