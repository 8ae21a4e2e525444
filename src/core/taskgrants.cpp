#include "core/taskgrants.h"

#include <algorithm>

namespace apricotwing {

namespace {

/// With several shards, time after which a pool that granted less than
/// requested is tried again.
constexpr Duration RetryPeriod{1000};

const std::string CpuUnit = "cpu_millis";
const std::string MemoryUnit = "memory_mib";
const std::string AcceleratorUnit = "accelerators";

UnitAmounts toUnits(const Resources &Value) {
  return {{CpuUnit, Value.CpuMillis},
          {MemoryUnit, Value.MemoryMib},
          {AcceleratorUnit, Value.Accelerators}};
}

std::int64_t amountOf(const UnitAmounts &Units, const std::string &Unit) {
  const auto Found = Units.find(Unit);
  return Found == Units.end() ? 0 : Found->second;
}

Resources toResources(const UnitAmounts &Units) {
  return {amountOf(Units, CpuUnit), amountOf(Units, MemoryUnit),
          amountOf(Units, AcceleratorUnit)};
}

Resources componentMin(const Resources &Left, const Resources &Right) {
  return {std::min(Left.CpuMillis, Right.CpuMillis),
          std::min(Left.MemoryMib, Right.MemoryMib),
          std::min(Left.Accelerators, Right.Accelerators)};
}

Resources amountFor(const std::map<TeamName, Resources> &ByTeam,
                    const TeamName &Team) {
  const auto Found = ByTeam.find(Team);
  return Found == ByTeam.end() ? Resources{} : Found->second;
}

} // namespace

TaskGrants::TaskGrants(TableService &Table, const RecordCodec &Codec,
                       TransactionIds &Ids, ShardOwnership &Ownership,
                       ShardScheduler &Scheduler, bool IsOnlyShard)
    : Ownership(Ownership), Scheduler(Scheduler), IsOnlyShard(IsOnlyShard),
      Ledger(Table, Codec, Ids) {}

void TaskGrants::advance(const Config &Document, TimePoint Now) {
  const auto Demand = Scheduler.demand();
  const auto Allocated = Scheduler.allocated();
  for (const auto &[Team, Value] : Document.Teams) {
    const Resources &Limit = Value.Limit.Tasks;
    const Resources InUse = amountFor(Allocated, Team);
    // The only shard holds the whole limit, so that no adjustment is needed
    // when its demand changes.
    const Resources Wanted =
        IsOnlyShard ? Limit
                    : componentMin(Limit, InUse + amountFor(Demand, Team));
    const Resources Target = Resources::max(Wanted, InUse);
    const auto Last = LastAdjustment.find(Team);
    const bool IsRecent =
        Last != LastAdjustment.end() && Now - Last->second < RetryPeriod;
    const bool IsUpToDate = Adjusted.contains(Team) && Held[Team] == Target &&
                            StoredLimits[Team] == Limit;
    if (IsUpToDate || (IsRecent && StoredLimits[Team] == Limit))
      continue;
    adjust(Team, Limit, Target, Now);
  }
  IsComplete |= std::all_of(
      Document.Teams.begin(), Document.Teams.end(),
      [this](const auto &Team) { return Adjusted.contains(Team.first); });
  if (IsComplete)
    Scheduler.setGrants(Held);
}

void TaskGrants::adjust(const TeamName &Team, const Resources &Limit,
                        const Resources &Target, TimePoint Now) {
  const std::string Pool = keys::taskPool(Team);
  LastAdjustment[Team] = Now;
  Held[Team] = componentMin(Held[Team], Target);
  if (IsComplete)
    Scheduler.setGrants(Held);
  const RowCondition Guard = Ownership.ownershipCondition(Scheduler.shard());
  if (StoredLimits[Team] != Limit || !StoredLimits.contains(Team)) {
    Ledger.ensureCapacity(Pool, toUnits(Limit), {Guard});
    StoredLimits[Team] = Limit;
  }
  const PoolShare Share =
      Ledger.adjust(Pool, Scheduler.shard(), toUnits(Target), {Guard});
  Held[Team] = toResources(Share.Granted);
  Adjusted.insert(Team);
}

} // namespace apricotwing
