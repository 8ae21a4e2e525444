/// \file
/// Estimates how long a new job would wait for resources.
#ifndef APRICOTWING_JOBS_WAITESTIMATOR_H
#define APRICOTWING_JOBS_WAITESTIMATOR_H

#include "core/time.h"

#include <cstdint>
#include <map>

namespace apricotwing::jobs {

/// Estimates the wait of a new job from the work that waits for resources and
/// from the rate at which more urgent work is accepted. Answers sustained
/// overload, under which jobs of lower priority would be accepted and never
/// end in time, and the backlog after an outage, behind which new jobs need
/// not wait. Owned by a JobScheduler and used on its thread only.
class WaitEstimator {
public:
  /// Work that waits for resources.
  struct Demand {
    /// Processors times estimated run time, in thousandths of a core times ms.
    double Work = 0;
    double CpuMillis = 0; ///< Processors that it uses at the same time.
  };

  /// Adds work of \p Priority that will be scheduled before or among new jobs;
  /// negative amounts remove it.
  void addWaiting(int Priority, const Demand &Added);

  /// Records that \p Work of \p Priority was accepted. \p Now must not be
  /// earlier than in the last call.
  void recordAccepted(int Priority, double Work, TimePoint Now);

  /// Sets the processors of the workers that can run jobs, and how many of them
  /// are free and not claimed, in thousandths of a core.
  void setRoom(std::int64_t CapacityCpuMillis, std::int64_t FreeCpuMillis);

  /// Time until the workers have done the waiting work of \p Priority and of
  /// more urgent priorities, while more urgent work keeps arriving. Zero before
  /// any worker is known.
  Duration backlog(int Priority, TimePoint Now) const;

  /// Time that the workers need for all waiting work. Zero before any worker is
  /// known.
  Duration totalBacklog() const;

  /// Wait of a new job of \p Priority that needs \p CpuMillis at first: zero if
  /// there are enough free processors for it and for all that waits before it,
  /// otherwise the backlog.
  Duration wait(int Priority, double CpuMillis, TimePoint Now) const;

  /// Share of the processors that waiting work can use: tasks do not fit the
  /// free resources exactly, and not every worker is approved for every step.
  static constexpr double UsableShare = 0.8;

  /// Period over which the rate of accepted work is averaged. Shorter than the
  /// bursts that callers send, which last for some seconds.
  static constexpr Duration RatePeriod{4000};

  /// Share of the capacity that is left to a priority in the estimate, however
  /// much more urgent work arrives, as bursts end.
  static constexpr double MinShareLeft = 0.25;

private:
  struct Level {
    Demand Waiting;
    double AcceptedRate = 0; ///< Work per ms, as of RateAt.
    TimePoint RateAt;
  };

  static double rateAt(const Level &Entry, TimePoint Now);

  std::map<int, Level> Levels; ///< By priority.
  double CapacityCpuMillis = 0;
  double FreeCpuMillis = 0;
};

} // namespace apricotwing::jobs

#endif
