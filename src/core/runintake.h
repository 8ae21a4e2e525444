/// \file
/// Runs and cancellations on their way into a shard.
#ifndef APRICOTWING_CORE_RUNINTAKE_H
#define APRICOTWING_CORE_RUNINTAKE_H

#include "core/runlifecycle.h"

#include <deque>
#include <unordered_map>
#include <unordered_set>

namespace apricotwing {

/// Queues the rows of the inbox and of the cancellations, each id once, and
/// hands a bounded number of them to the lifecycle in each tick. A cancellation
/// that comes before its run is kept for a while. Owned by the shard's
/// scheduler; not thread-safe.
class RunIntake {
public:
  /// Both arguments must outlive this object.
  RunIntake(SchedulerData &Data, RunLifecycle &Lifecycle)
      : Data(Data), Lifecycle(Lifecycle) {}

  /// Queues a run; one that is queued already is ignored.
  void admit(const RunRecord &Run);

  /// Queues a cancellation; one that is queued already is ignored.
  void cancel(const RunId &Run);

  /// Admits queued runs, at most MaxAdmissionsPerTick.
  void takeAdmissions(TimePoint Now);

  /// Takes queued cancellations, at most MaxCancellationsPerTick. One whose run
  /// is unknown is not reported as handled until EarlyCancelKeep has passed.
  void takeCancellations(TimePoint Now);

private:
  bool takeCancellation(const RunId &Id, TimePoint Now);

  SchedulerData &Data;
  RunLifecycle &Lifecycle;
  std::deque<RunRecord> Admissions;
  std::unordered_set<RunId> AdmissionIds;
  std::deque<RunId> Cancellations;
  std::unordered_set<RunId> CancellationIds;
  std::unordered_map<RunId, TimePoint> EarlyCancels; ///< First seen then.
};

} // namespace apricotwing

#endif
