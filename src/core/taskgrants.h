/// \file
/// A shard's grants from the teams' limits on running tasks.
#ifndef APRICOTWING_CORE_TASKGRANTS_H
#define APRICOTWING_CORE_TASKGRANTS_H

#include "core/grantledger.h"
#include "core/shardownership.h"
#include "core/shardscheduler.h"

#include <map>
#include <set>

namespace apricotwing {

/// Holds the grants of one owned shard from the pools of the teams' limits. The
/// scheduler applies a lower grant before the row is written, and a higher
/// grant only afterwards. Owned by the shard's entry in ShardRunner; used on
/// the scheduler thread only.
class TaskGrants {
public:
  /// \p IsOnlyShard means that the cell has no other shard, so that this one
  /// holds the whole limits. The references must outlive this object.
  TaskGrants(TableService &Table, const RecordCodec &Codec, TransactionIds &Ids,
             ShardOwnership &Ownership, ShardScheduler &Scheduler,
             bool IsOnlyShard);

  /// Adjusts the grants to the limits and the demand. Throws the store's Error;
  /// the caller then repeats the call in a later round. The scheduler gets no
  /// grants before those of all teams are known; otherwise it would stop
  /// running tasks of teams whose grant has not been read yet.
  void advance(const Config &Document, TimePoint Now);

  /// The grants of the shard, by team.
  const std::map<TeamName, Resources> &held() const { return Held; }

private:
  void adjust(const TeamName &Team, const Resources &Limit,
              const Resources &Target, TimePoint Now);

  ShardOwnership &Ownership;
  ShardScheduler &Scheduler;
  const bool IsOnlyShard;
  GrantLedger Ledger;
  /// False after a takeover until the grants of all teams have been read.
  bool IsComplete = false;
  std::set<TeamName> Adjusted; ///< Teams whose grant has been read.
  std::map<TeamName, Resources> Held;
  std::map<TeamName, Resources> StoredLimits;
  std::map<TeamName, TimePoint> LastAdjustment;
};

} // namespace apricotwing

#endif
