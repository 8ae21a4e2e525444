/// \file
/// Choice of tasks that make way for an urgent one.
#ifndef APRICOTWING_CORE_PREEMPTIONPLANNER_H
#define APRICOTWING_CORE_PREEMPTIONPLANNER_H

#include "core/schedulerdata.h"

#include <optional>
#include <vector>

namespace apricotwing {

/// A worker and the tasks to stop there.
struct PreemptionPlan {
  WorkerIndex Worker = NoWorker;
  std::vector<TaskRef> Victims;
};

/// Finds the worker where an urgent task costs least. Tasks of teams above
/// their share go first, then checkpointable ones, then single tasks before
/// gangs, then the most recently started. Urgent tasks are never victims. A
/// team above its own share may only displace its own tasks and those of
/// teams that are further above theirs. Once a
/// plan is found, only a bounded number of workers is compared. Reads the data
/// only; not thread-safe.
class PreemptionPlanner {
public:
  /// \p Data must outlive this object.
  explicit PreemptionPlanner(const SchedulerData &Data) : Data(Data) {}

  /// Victims for one task of \p Run on a worker of \p Candidates; empty if no
  /// worker can be freed. A worker that has room already has no victims.
  std::optional<PreemptionPlan> plan(const RunEntry &Run, const Resources &Need,
                                     const WorkerMask &Candidates,
                                     TimePoint Now) const;

  /// Whether \p Task may make way for \p Run.
  bool isVictim(const TaskRef &Task, const RunEntry &Run, TimePoint Now) const;

private:
  struct Cost {
    int WorstClass = 0;
    std::size_t Victims = 0;
    std::uint64_t Oldest = 0; ///< Start order; larger is more recent.

    bool isBelow(const Cost &Other) const;
  };

  int victimClass(const TaskRef &Task) const;
  bool planOn(WorkerIndex Worker, const RunEntry &Run, const Resources &Need,
              TimePoint Now, PreemptionPlan &Plan, Cost &Price) const;

  const SchedulerData &Data;
};

} // namespace apricotwing

#endif
