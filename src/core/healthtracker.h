/// \file
/// Quarantine of workers on which tasks keep failing.
#ifndef APRICOTWING_CORE_HEALTHTRACKER_H
#define APRICOTWING_CORE_HEALTHTRACKER_H

#include "core/placementindex.h"
#include "core/run.h"
#include "core/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace apricotwing {

struct HealthOptions {
  std::uint32_t RunsForQuarantine =
      3; ///< Distinct runs that failed on the worker.
  std::uint32_t WorkersForBadRun =
      3;                    ///< Distinct trusted workers on which it failed.
  Duration Window{600'000}; ///< Maximum age of the failures that count.
  Duration FirstBackoff{30'000};
  Duration MaxBackoff{3'600'000};
  /// While a worker is probed it may run a single task. After this time the
  /// limit is lifted, because the only waiting work may be a gang, which cannot
  /// be used as a probe. Until the first success a single failure quarantines
  /// the worker again.
  Duration ProbeTime{60'000};
  /// No worker is quarantined if that would exceed this percentage of the
  /// workers: if many fail at the same time, a common cause is more likely.
  std::uint32_t MaxQuarantinedPercent = 25;
};

/// A change of the health of a worker.
struct HealthChange {
  WorkerIndex Worker = NoWorker;
  WorkerHealth Health = WorkerHealth::Healthy;
};

/// Distinguishes faulty workers from faulty runs. A failure counts against the
/// worker as long as the run has not failed on another trusted worker. A worker
/// is trusted while it is not quarantined and a task succeeded on it within the
/// window. A quarantine is lifted if the runs that caused it turn out to fail
/// on trusted workers too; its duration doubles with each failed probe. Owned
/// by the shard's scheduler. Kept in memory only. Not thread-safe.
class HealthTracker {
public:
  explicit HealthTracker(HealthOptions Options = {}) : Options(Options) {}

  /// Sets the number of workers, from which the limit on quarantines is
  /// computed.
  void setWorkerCount(std::size_t Count) { WorkerCount = Count; }

  /// Records that a task of \p Run succeeded on \p Worker.
  void recordSuccess(WorkerIndex Worker, const RunId &Run, TimePoint Now);

  /// Records that a task of \p Run failed on \p Worker. Precondition: the
  /// attempt was neither lost nor stopped, which would say nothing about the
  /// worker.
  void recordFailure(WorkerIndex Worker, const RunId &Run, TimePoint Now);

  /// Ends quarantines that have expired, so that their workers are probed, and
  /// probes that took longer than ProbeTime.
  void advance(TimePoint Now);

  /// Returns and clears the changes since the last call.
  std::vector<HealthChange> takeChanges();

  /// Returns the health of a worker.
  WorkerHealth health(WorkerIndex Worker) const;

  /// Returns the workers that are quarantined or being probed.
  std::vector<WorkerIndex> quarantined() const;

  /// Returns true if \p Run failed on at least WorkersForBadRun trusted workers
  /// and succeeded on none.
  bool isBadRun(const RunId &Run) const;

  /// Returns the workers on which \p Run failed; null if there are none.
  const std::set<WorkerIndex> *failedOn(const RunId &Run) const;

  /// Discards the data about a run that has ended.
  void forget(const RunId &Run) { Runs.erase(Run); }

private:
  struct Failure {
    RunId Run;
    TimePoint At;
  };
  struct WorkerState {
    std::deque<Failure> Failures;
    std::optional<TimePoint> LastSuccess;
    WorkerHealth Health = WorkerHealth::Healthy;
    TimePoint Until;     ///< End of the quarantine or of the probe.
    Duration Backoff{0}; ///< Length of the last quarantine; 0 after a later
                         ///< success.
  };
  struct RunState {
    std::set<WorkerIndex> FailedOn;
    std::set<WorkerIndex> FailedOnTrusted;
    bool Succeeded = false;
  };

  bool isTrusted(WorkerIndex Worker, TimePoint Now) const;
  bool countsAgainst(WorkerIndex Worker, const RunId &Run) const;
  std::uint32_t countRunsAgainst(WorkerIndex Worker, TimePoint Now);
  bool mayQuarantine() const;
  void quarantine(WorkerIndex Worker, TimePoint Now);
  void liftWrongQuarantines(const RunId &Run, TimePoint Now);
  void change(WorkerIndex Worker, WorkerHealth Health);

  HealthOptions Options;
  std::size_t WorkerCount = 0;
  std::unordered_map<WorkerIndex, WorkerState> Workers;
  std::unordered_map<RunId, RunState> Runs;
  std::set<WorkerIndex> Unavailable; ///< Quarantined or being probed.
  std::vector<HealthChange> Changes;
};

} // namespace apricotwing

#endif
