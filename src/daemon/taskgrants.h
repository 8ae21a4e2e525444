/// \file
/// A shard's part of the teams' limits on running tasks.
#ifndef APRICOTWING_DAEMON_TASKGRANTS_H
#define APRICOTWING_DAEMON_TASKGRANTS_H

#include "core/grantledger.h"
#include "core/shardownership.h"
#include "core/shardscheduler.h"
#include "daemon/context.h"

#include <map>

namespace apricotwing {

/// Holds the grants of one owned shard from the pools of the teams' limits.
/// The shard uses a lower grant before the row is written, and a higher one
/// only afterwards. Owned by the shard's ShardRunner entry; belongs to the
/// scheduler thread.
class TaskGrants {
public:
  TaskGrants(DaemonContext &Context, ShardOwnership &Ownership,
             ShardScheduler &Scheduler);

  /// Adjusts the grants to limits and demand. Throws Error of the store; the
  /// call is repeated in a later round.
  void advance(const Config &Document, TimePoint Now);

  /// What the shard holds, by team.
  const std::map<TeamName, Resources> &held() const { return Held; }

private:
  void adjust(const TeamName &Team, const Resources &Limit,
              const Resources &Target, TimePoint Now);

  DaemonContext &Context;
  ShardOwnership &Ownership;
  ShardScheduler &Scheduler;
  GrantLedger Ledger;
  std::map<TeamName, Resources> Held;
  std::map<TeamName, Resources> EnsuredLimits;
  std::map<TeamName, TimePoint> LastRound;
};

} // namespace apricotwing

#endif
