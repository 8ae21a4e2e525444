/// \file
/// Queues for the runs and cancellations that a shard receives.
#ifndef APRICOTWING_CORE_RUNINTAKE_H
#define APRICOTWING_CORE_RUNINTAKE_H

#include "core/runlifecycle.h"

#include <deque>
#include <unordered_set>

namespace apricotwing {

/// Queues the rows of the inbox and of the cancellations, each id once, and
/// passes a bounded number of them to the RunLifecycle in each tick. A
/// cancellation that arrives before its run is kept until the run arrives or
/// the cancellation is discarded. Owned by the shard's scheduler; not
/// thread-safe.
class RunIntake {
public:
  /// Both arguments must outlive this object.
  RunIntake(SchedulerData &Data, RunLifecycle &Lifecycle)
      : Data(Data), Lifecycle(Lifecycle) {}

  /// True if the memory for the runs of its team has room for \p Run.
  bool hasRoomFor(const RunRecord &Run) const;

  /// Queues a run; no effect if it is already queued.
  void admit(const RunRecord &Run);

  /// Queues a cancellation; no effect if it is already queued.
  void cancel(const RunId &Run);

  /// Reports a cancellation as handled and no longer keeps it.
  void discardCancellation(const RunId &Run);

  /// True if the run is queued, known, or was retired recently.
  bool knows(const RunId &Run) const;

  /// Admits queued runs, at most MaxAdmissionsPerTick.
  void processAdmissions(TimePoint Now);

  /// Applies queued cancellations, at most MaxCancellationsPerTick. The
  /// cancellation of an unknown run is kept and not reported as handled.
  void processCancellations(TimePoint Now);

private:
  bool processCancellation(const RunId &Id, TimePoint Now);

  SchedulerData &Data;
  RunLifecycle &Lifecycle;
  std::deque<RunRecord> Admissions;
  std::unordered_set<RunId> AdmissionIds;
  std::deque<RunId> Cancellations;
  std::unordered_set<RunId> CancellationIds;
  std::unordered_set<RunId> EarlyCancels; ///< Of runs that are not known yet.
};

} // namespace apricotwing

#endif
