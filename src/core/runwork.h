/// \file
/// What a scheduler keeps about a run in memory only.
#ifndef APRICOTWING_CORE_RUNWORK_H
#define APRICOTWING_CORE_RUNWORK_H

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

/// Place of a run in its team's queue: urgent runs first, then by rank.
struct QueueKey {
  bool IsNormal = true;
  std::int64_t RankMs = 0;
  std::uint64_t Order = 0;

  // The name that clang-tidy reports belongs to the generated comparison.
  // NOLINTNEXTLINE(readability-identifier-naming)
  friend auto operator<=>(const QueueKey &, const QueueKey &) = default;
};

/// Volatile part of a run. A value type.
struct RunWork {
  std::vector<std::uint32_t> Ready; ///< Tasks to start, the next one last.
  std::uint32_t Delayed = 0;        ///< Tasks that wait for their retry.
  std::uint32_t Claims = 0;         ///< Workers freed for this run.
  bool Queued = false;
  bool StopsQueued = false; ///< Its active tasks are to be stopped.
  bool Changed = false;     ///< May differ from its row.
  WaitReason Why = WaitReason::NotTried;
  QueueKey Key;
  std::uint64_t CheckedGeneration = 0; ///< Feasibility was checked then.
  Duration Expected{0}; ///< Run time of a task, as estimated at its start.
  std::string Class;    ///< Of the UsageEstimator.
  RunState ShownState = RunState::Accepted; ///< As its row reads.
  std::string ShownReason;
  TimePoint ReadySince; ///< When its waiting tasks became ready.
};

} // namespace apricotwing

#endif
