/// \file
/// Selection of the tasks that are preempted for an urgent task.
#ifndef APRICOTWING_CORE_PREEMPTIONPLANNER_H
#define APRICOTWING_CORE_PREEMPTIONPLANNER_H

#include "core/schedulerdata.h"

#include <optional>
#include <vector>

namespace apricotwing {

/// A worker and the tasks to preempt on it.
struct PreemptionPlan {
  WorkerIndex Worker = NoWorker;
  std::vector<TaskRef> Victims;
};

/// Finds the worker on which placing an urgent task has the lowest preemption
/// cost. Preferred victims are tasks of teams above their share, then
/// checkpointable tasks, then single tasks rather than gangs, then the most
/// recently started tasks. Urgent tasks are never victims. A team above its own
/// share may only preempt its own tasks and those of teams that are further
/// above their shares. Once a plan is found, only a bounded number of workers
/// is compared. Only reads the data; not thread-safe.
class PreemptionPlanner {
public:
  /// \p Data must outlive this object.
  explicit PreemptionPlanner(const SchedulerData &Data) : Data(Data) {}

  /// Plan for one task of \p Run on a worker of \p Candidates; empty if no
  /// preemption makes it fit. If the task fits already, the plan has no
  /// victims.
  std::optional<PreemptionPlan> plan(const RunEntry &Run, const Resources &Need,
                                     const WorkerMask &Candidates,
                                     TimePoint Now) const;

  /// True if \p Task may be preempted for \p Run.
  bool isVictim(const TaskRef &Task, const RunEntry &Run, TimePoint Now) const;

private:
  struct Cost {
    int WorstClass = 0;
    std::size_t Victims = 0;
    std::uint64_t Oldest = 0; ///< Start order of the oldest victim.

    bool isBelow(const Cost &Other) const;
  };

  int victimClass(const TaskRef &Task) const;
  bool planOn(WorkerIndex Worker, const RunEntry &Run, const Resources &Need,
              TimePoint Now, PreemptionPlan &Plan, Cost &PlanCost) const;

  const SchedulerData &Data;
};

} // namespace apricotwing

#endif
