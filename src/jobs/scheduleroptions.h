/// \file
/// Optional behaviour of the scheduler, as set by operators.
#ifndef APRICOTWING_JOBS_SCHEDULEROPTIONS_H
#define APRICOTWING_JOBS_SCHEDULEROPTIONS_H

#include "core/time.h"

#include <cstddef>

namespace apricotwing::jobs {

/// Options of a JobScheduler. They must be the same on all instances of a cell,
/// as any of them may lead. A value type.
struct SchedulerOptions {
  /// Stop runs on workers that are about to leave and cannot finish there.
  bool MigrateFromLeavingWorkers = false;

  /// Time after which the past use of an account counts half; zero: past use
  /// does not affect the order of waiting work.
  Duration UsageHalfLife{0};

  /// Memory in bytes that the jobs of a shard may take on its leader. A leader
  /// of two shards needs it twice, and the next leader may be the smallest
  /// machine of the cell.
  std::size_t JobMemory = DefaultJobMemory;

  /// Fits the smallest machine, of 120 MB, beside the least intake budget.
  static constexpr std::size_t DefaultJobMemory = std::size_t(32) << 20;
};

} // namespace apricotwing::jobs

#endif
