/// \file
/// Quarantine of workers that fail every task.
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
  std::uint32_t RunsForQuarantine = 3; ///< Distinct runs that failed there.
  std::uint32_t WorkersForBadRun = 3;  ///< Distinct healthy workers.
  Duration Window{600'000};            ///< Age of failures that count.
  Duration FirstBackoff{30'000};
  Duration MaxBackoff{3'600'000};
  /// After this long the limit of one task is lifted, because the only waiting
  /// work may be a gang, which cannot probe. Until the first success a single
  /// failure quarantines the worker again.
  Duration ProbeTime{60'000};
  /// A quarantine that would close more than this part of the workers is not
  /// imposed: so many bad workers at once point to a common cause.
  std::uint32_t MaxQuarantinedPercent = 25;
};

/// A worker whose health changed.
struct HealthChange {
  WorkerIndex Worker = NoWorker;
  WorkerHealth Health = WorkerHealth::Healthy;
};

/// Tells a bad worker from a bad run. A failure speaks against the worker as
/// long as the run has not failed on another trusted worker; a worker is
/// trusted while it is not quarantined and some task succeeded on it within
/// the window. A quarantine is lifted when its runs turn out to fail on trusted
/// workers too, and doubles with each failed probe. Owned by the
/// shard's scheduler; kept in memory only; not thread-safe.
class HealthTracker {
public:
  explicit HealthTracker(HealthOptions Options = {}) : Options(Options) {}

  /// Number of workers that may be quarantined in part.
  void setWorkerCount(std::size_t Count) { WorkerCount = Count; }

  /// A task of \p Run succeeded on \p Worker.
  void recordSuccess(WorkerIndex Worker, const RunId &Run, TimePoint Now);

  /// A task of \p Run failed on \p Worker. Attempts that are lost or stopped
  /// say nothing about health and are not recorded.
  void recordFailure(WorkerIndex Worker, const RunId &Run, TimePoint Now);

  /// Ends quarantines that are over, so that the worker is probed, and probes
  /// that took too long.
  void advance(TimePoint Now);

  /// Changes since the last call.
  std::vector<HealthChange> takeChanges();

  /// Health of a worker.
  WorkerHealth health(WorkerIndex Worker) const;

  /// Workers in quarantine or being probed.
  std::vector<WorkerIndex> quarantined() const;

  /// True if \p Run failed on enough trusted workers and succeeded on none.
  bool isBadRun(const RunId &Run) const;

  /// Workers on which \p Run failed; null if there are none.
  const std::set<WorkerIndex> *failedOn(const RunId &Run) const;

  /// Forgets a run that has ended.
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
    Duration Backoff{0}; ///< Not 0 until a success after a quarantine.
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
  std::set<WorkerIndex> Unavailable; ///< Quarantined or probing.
  std::vector<HealthChange> Changes;
};

} // namespace apricotwing

#endif
