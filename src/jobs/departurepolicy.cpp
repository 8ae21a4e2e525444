#include "jobs/departurepolicy.h"

#include <algorithm>

namespace apricotwing::jobs {

namespace {

/// A run is expected to need at least this share of the time that it has taken:
/// some runs take seven times as long as estimated.
constexpr double MinRemainingShare = 0.25;

/// The expected remaining time of a checkpointing run is extended by this
/// factor, because a needless stop costs it only the restart.
constexpr double CheckpointingMargin = 1.25;

} // namespace

Duration DeparturePolicy::expectedRemaining(const DepartingRun &Run) {
  const Duration Left =
      Run.Percent
          ? Run.ExpectedTime * (100 - std::clamp(*Run.Percent, 0, 100)) / 100 -
                Run.PercentAge
          : Run.ExpectedTime - Run.Elapsed;
  return std::max(Left, Duration(Duration::rep(double(Run.Elapsed.count()) *
                                               MinRemainingShare)));
}

DepartureAction DeparturePolicy::decide(const DepartingRun &Run) {
  const bool IsAboutToLeave = Run.TimeLeft <= StopLead;
  const DepartureAction StopIfUseful =
      IsAboutToLeave || (Run.HasRoomElsewhere && Run.IsWithinTolerance)
          ? DepartureAction::Stop
          : DepartureAction::Keep;
  if (Run.LongRunning)
    return StopIfUseful;
  const double Remaining = double(expectedRemaining(Run).count());
  const double TimeLeft =
      double(std::max(Run.TimeLeft, Duration::zero()).count());
  if (Run.Checkpointing)
    return Remaining * CheckpointingMargin <= TimeLeft ? DepartureAction::Keep
                                                       : StopIfUseful;
  // A stop discards all work, so it must not rest on a start that is unknown.
  const bool IsKnown = Run.IsStartKnown || Run.Percent;
  if (Remaining <= TimeLeft || !IsKnown)
    return DepartureAction::Keep;
  return Run.IsWithinTolerance || IsAboutToLeave ? DepartureAction::Stop
                                                 : DepartureAction::Keep;
}

} // namespace apricotwing::jobs
