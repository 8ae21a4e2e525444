/// \file
/// Queue of the waiting runs of one team.
#ifndef APRICOTWING_CORE_TEAMQUEUE_H
#define APRICOTWING_CORE_TEAMQUEUE_H

#include "core/shardstate.h"

#include <map>

namespace apricotwing {

/// The runs of one team that have tasks to start, with the team's limit and
/// grant. Owned by the shard's scheduler; not thread-safe.
class TeamQueue {
public:
  using Runs = std::map<QueueKey, RunEntry *>;

  /// Runs with tasks that are ready to start, in scheduling order.
  const Runs &runs() const { return Waiting; }

  /// Sum of the declared sizes of all waiting tasks, including delayed ones.
  const Resources &pending() const { return Pending; }

  /// Number of waiting tasks, including delayed ones.
  std::uint64_t tasks() const { return Tasks; }

  /// Counts \p Count tasks of \p Run as waiting, without making them ready.
  void addWaiting(const RunEntry &Run, std::uint64_t Count = 1);

  /// Undoes addWaiting().
  void removeWaiting(const RunEntry &Run, std::uint64_t Count = 1);

  /// Makes a task that was counted as waiting ready to start.
  void makeReady(RunEntry &Run, std::uint32_t Index, TimePoint Now);

  /// Removes and returns the run's next ready task. Precondition: there is one.
  std::uint32_t takeReady(RunEntry &Run);

  /// Removes a run from the order; its tasks still count as waiting.
  void dequeue(RunEntry &Run);

  /// Adds a run with ready tasks to the order again.
  void requeue(RunEntry &Run);

  /// Incremented whenever the runs or their ready tasks change.
  std::uint64_t version() const { return Version; }

  /// Removes a run with all its waiting tasks.
  void removeRun(RunEntry &Run);

  Resources Limit; ///< Zero for a team that is not configured.
  Resources Grant;
  bool Configured = false;

  /// Resources that the team may use in this shard.
  Resources cap() const;

private:
  Runs Waiting;
  std::uint64_t Version = 0;
  Resources Pending;
  std::uint64_t Tasks = 0;
};

} // namespace apricotwing

#endif
