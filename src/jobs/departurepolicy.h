/// \file
/// Decides which runs are stopped before their worker leaves.
#ifndef APRICOTWING_JOBS_DEPARTUREPOLICY_H
#define APRICOTWING_JOBS_DEPARTUREPOLICY_H

#include "core/time.h"

#include <optional>

namespace apricotwing::jobs {

/// Facts about a run, or about a whole gang, that is affected by a worker that
/// leaves.
struct DepartingRun {
  /// Minimum time until the first of its workers leaves; not positive once that
  /// time is over.
  Duration TimeLeft{0};
  /// Expected run time of a task on its worker. For a gang: on its slowest one.
  Duration ExpectedTime{0};
  Duration Elapsed{0}; ///< Time since the run was placed.
  /// False if an earlier leader placed the run, so that it has run for longer
  /// than Elapsed.
  bool IsStartKnown = true;
  /// Last reported progress in percent, and its age; empty if there is none.
  std::optional<int> Percent;
  Duration PercentAge{0};
  bool Checkpointing = false;
  bool LongRunning = false;
  bool HasRoomElsewhere = false; ///< For all its tasks.
  /// Stopping it keeps the step within the tasks that it may miss.
  bool IsWithinTolerance = true;
};

/// What becomes of a departing run.
enum class DepartureAction {
  Keep, ///< It continues for now.
  Stop, ///< It is stopped, to be started elsewhere.
};

/// The rule for runs on workers that leave. Has no state; thread-safe.
class DeparturePolicy {
public:
  /// Time in which a run can be stopped and its end reported: up to 900 ms for
  /// the stop, the rest for the order and the report.
  static constexpr Duration StopLead{1500};

  /// The action for \p Run at present. It is decided again in each round.
  static DepartureAction decide(const DepartingRun &Run);

  /// Expected time until \p Run ends. Not valid for long-running tasks.
  static Duration expectedRemaining(const DepartingRun &Run);
};

} // namespace apricotwing::jobs

#endif
