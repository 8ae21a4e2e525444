/// \file
/// A shard's part of the teams' limits on running tasks.
#ifndef APRICOTWING_CORE_TASKGRANTS_H
#define APRICOTWING_CORE_TASKGRANTS_H

#include "core/grantledger.h"
#include "core/shardownership.h"
#include "core/shardscheduler.h"

#include <map>
#include <set>

namespace apricotwing {

/// Holds the grants of one owned shard from the pools of the teams' limits.
/// The shard uses a lower grant before the row is written, and a higher one
/// only afterwards. Owned by the shard's ShardRunner entry; belongs to the
/// scheduler thread.
class TaskGrants {
public:
  /// \p IsOnlyShard: the cell has no other shard, so this one holds the whole
  /// limits. The references must outlive this object.
  TaskGrants(TableService &Table, const RecordCodec &Codec, TransactionIds &Ids,
             ShardOwnership &Ownership, ShardScheduler &Scheduler,
             bool IsOnlyShard);

  /// Adjusts the grants to limits and demand. Throws Error of the store; the
  /// call is repeated in a later round. The scheduler learns of no grant before
  /// those of all teams are known, or it would stop running tasks of teams
  /// whose grant has not been read yet.
  void advance(const Config &Document, TimePoint Now);

  /// What the shard holds, by team.
  const std::map<TeamName, Resources> &held() const { return Held; }

private:
  void adjust(const TeamName &Team, const Resources &Limit,
              const Resources &Target, TimePoint Now);

  ShardOwnership &Ownership;
  ShardScheduler &Scheduler;
  const bool IsOnlyShard;
  GrantLedger Ledger;
  /// After a takeover the grants are unknown until all teams were adjusted.
  bool IsComplete = false;
  std::set<TeamName> Adjusted; ///< Teams with a grant that was read.
  std::map<TeamName, Resources> Held;
  std::map<TeamName, Resources> EnsuredLimits;
  std::map<TeamName, TimePoint> LastRound;
};

} // namespace apricotwing

#endif
