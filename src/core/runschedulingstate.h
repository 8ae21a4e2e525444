/// \file
/// Volatile scheduling state of a run.
#ifndef APRICOTWING_CORE_RUNSCHEDULINGSTATE_H
#define APRICOTWING_CORE_RUNSCHEDULINGSTATE_H

#include "core/run.h"
#include "core/time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace apricotwing {

/// Why the waiting tasks of a run do not start.
enum class WaitReason {
  NotTried,
  TeamLimit,
  Grant,
  NoRoom,
  ReservedRoom,
  GangIncomplete,
  RetryDelay,
  StartsPerTick,
};

/// Text for callers and operators. Thread-safe.
std::string_view waitReasonText(WaitReason Value);

/// Sort key of a run in its team's queue: urgent runs first, then by rank.
struct QueueKey {
  bool IsNormal = true;
  std::int64_t RankMs = 0;
  std::uint64_t Order = 0;

  // The name that clang-tidy reports belongs to the generated comparison.
  // NOLINTNEXTLINE(readability-identifier-naming)
  friend auto operator<=>(const QueueKey &, const QueueKey &) = default;
};

/// The part of a run's state that the scheduler keeps only in memory. A value
/// type.
struct RunSchedulingState {
  std::vector<std::uint32_t> Ready; ///< Tasks to start; the last is next.
  std::uint32_t Delayed = 0;        ///< Tasks that wait for their retry delay.
  std::uint32_t Claims = 0;         ///< Number of its preemption claims.
  bool Queued = false;
  bool StopsQueued = false; ///< Its active tasks will be stopped.
  bool Changed = false;     ///< May differ from its stored row.
  WaitReason BlockReason = WaitReason::NotTried;
  QueueKey Key;
  std::uint64_t CheckedGeneration = 0; ///< Of the last feasibility check.
  Duration Expected{0}; ///< Run time of a task, estimated at its last start.
  std::string Class;    ///< Class of its tasks in the UsageEstimator.
  RunState PublishedState = RunState::Accepted; ///< State in its row.
  std::string PublishedReason;
  TimePoint ReadySince; ///< When its waiting tasks became ready.
};

} // namespace apricotwing

#endif
