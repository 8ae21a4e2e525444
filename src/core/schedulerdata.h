/// \file
/// Data shared by the classes that implement ShardScheduler.
#ifndef APRICOTWING_CORE_SCHEDULERDATA_H
#define APRICOTWING_CORE_SCHEDULERDATA_H

#include "core/fairshare.h"
#include "core/healthtracker.h"
#include "core/placementindex.h"
#include "core/shardscheduler.h"
#include "core/shardstate.h"
#include "core/teamqueue.h"
#include "core/usageestimator.h"
#include "core/waitstatistics.h"

#include <map>
#include <vector>

namespace apricotwing {

/// Run time of a task as declared at submission.
inline Duration declaredRunTime(const RunSpec &Spec) {
  return Duration(std::int64_t(Spec.EstimateSeconds) * 1000);
}

/// State of the scheduler of one shard. Owned by that scheduler; not
/// thread-safe.
struct SchedulerData {
  explicit SchedulerData(SchedulerOptions Options) : Options(Options) {}

  /// Queue of a team; created on first use.
  TeamQueue &queue(TeamIndex Team) {
    if (Team >= Queues.size())
      Queues.resize(Team + 1);
    return Queues[Team];
  }
  TeamQueue &queue(const RunEntry &Run) { return queue(Run.Team); }

  /// Expected run time of a task of \p Run.
  Duration runTime(const RunEntry &Run) const {
    return Estimator.runTime(Run.Scheduling.Class,
                             declaredRunTime(Run.Record.Spec));
  }

  SchedulerOptions Options;
  PlacementIndex Index;
  FairShare Shares;
  ShardState State{Index, Shares};
  HealthTracker Health;
  UsageEstimator Estimator;
  std::vector<TeamQueue> Queues;
  std::map<std::string, WaitStatistics> Waits;
  Decisions PendingDecisions;   ///< Collected until the end of the next tick.
  std::uint32_t StopBudget = 0; ///< Stops still allowed in this tick.
  std::uint64_t Generation = 1; ///< Incremented when workers or limits change.
};

} // namespace apricotwing

#endif
