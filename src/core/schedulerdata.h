/// \file
/// The parts that the classes behind a ShardScheduler share.
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

/// Run time of a task as its submitter declared it.
inline Duration declaredRunTime(const RunSpec &Spec) {
  return Duration(std::int64_t(Spec.EstimateSeconds) * 1000);
}

/// State of one shard's scheduler. Owned by it; not thread-safe.
struct SchedulerData {
  explicit SchedulerData(SchedulerOptions Options) : Options(Options) {}

  /// Queue of a team; queues are added as teams appear.
  TeamQueue &queue(TeamIndex Team) {
    if (Team >= Queues.size())
      Queues.resize(Team + 1);
    return Queues[Team];
  }
  TeamQueue &queue(const RunEntry &Run) { return queue(Run.Team); }

  /// Expected run time of a task of \p Run.
  Duration runTime(const RunEntry &Run) const {
    return Estimator.runTime(Run.Work.Class, declaredRunTime(Run.Record.Spec));
  }

  SchedulerOptions Options;
  PlacementIndex Index;
  FairShare Shares;
  ShardState State{Index, Shares};
  HealthTracker Health;
  UsageEstimator Estimator;
  std::vector<TeamQueue> Queues;
  std::map<std::string, WaitStatistics> Waits;
  Decisions Out;                ///< Collected until the next tick ends.
  std::uint32_t StopBudget = 0; ///< Stops left in this tick.
  std::uint64_t Generation = 1; ///< Grows when workers or limits change.
};

} // namespace apricotwing

#endif
