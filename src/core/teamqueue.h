/// \file
/// Waiting runs of one team.
#ifndef APRICOTWING_CORE_TEAMQUEUE_H
#define APRICOTWING_CORE_TEAMQUEUE_H

#include "core/shardstate.h"

#include <map>

namespace apricotwing {

/// The runs of one team that have tasks to start, and the team's bounds.
/// Owned by the shard's scheduler; not thread-safe.
class TeamQueue {
public:
  using Runs = std::map<QueueKey, RunEntry *>;

  /// Tasks ready to start, in order.
  const Runs &runs() const { return Waiting; }

  /// Sum of the declared sizes of all tasks that wait, delayed ones included.
  const Resources &pending() const { return Pending; }

  /// Number of tasks that wait, delayed ones included.
  std::uint64_t tasks() const { return Tasks; }

  /// Counts a task that waits, without making it ready.
  void addWaiting(const RunEntry &Run, std::uint64_t Count = 1);

  /// Undoes addWaiting().
  void removeWaiting(const RunEntry &Run, std::uint64_t Count = 1);

  /// Makes a counted task ready to start.
  void makeReady(RunEntry &Run, std::uint32_t Index, TimePoint Now);

  /// Takes the run's next ready task out. Precondition: there is one.
  std::uint32_t takeReady(RunEntry &Run);

  /// Takes a run out of the order; its counts stay.
  void unqueue(RunEntry &Run);

  /// Puts a run with ready tasks back into the order.
  void requeue(RunEntry &Run);

  /// Grows whenever the runs or their ready tasks change.
  std::uint64_t version() const { return Version; }

  /// Takes a run out with all its waiting tasks.
  void drop(RunEntry &Run);

  Resources Limit; ///< Zero for a team that is not configured.
  Resources Grant;
  bool Configured = false;

  /// What the team may have running here.
  Resources cap() const;

private:
  Runs Waiting;
  std::uint64_t Version = 0;
  Resources Pending;
  std::uint64_t Tasks = 0;
};

} // namespace apricotwing

#endif
