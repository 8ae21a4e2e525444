#include "jobs/waitestimator.h"

#include <algorithm>
#include <cmath>

namespace apricotwing::jobs {

void WaitEstimator::addWaiting(int Priority, const Demand &Added) {
  Demand &Waiting = Levels[Priority].Waiting;
  Waiting.Work += Added.Work;
  Waiting.CpuMillis += Added.CpuMillis;
}

double WaitEstimator::rateAt(const Level &Entry, TimePoint Now) {
  const double Periods =
      double((Now - Entry.RateAt).count()) / double(RatePeriod.count());
  return Entry.AcceptedRate * std::exp(-std::max(Periods, 0.0));
}

void WaitEstimator::recordAccepted(int Priority, double Work, TimePoint Now) {
  Level &Entry = Levels[Priority];
  Entry.AcceptedRate = rateAt(Entry, Now) + Work / double(RatePeriod.count());
  Entry.RateAt = Now;
}

void WaitEstimator::setRoom(std::int64_t Capacity, std::int64_t Free) {
  CapacityCpuMillis = double(Capacity);
  FreeCpuMillis = double(Free);
}

Duration WaitEstimator::backlog(int Priority, TimePoint Now) const {
  if (CapacityCpuMillis <= 0)
    return Duration{0};
  const double Usable = CapacityCpuMillis * UsableShare;
  double Work = 0;
  double MoreUrgent = 0;
  for (const auto &[Level, Entry] : Levels) {
    if (Level <= Priority)
      Work += Entry.Waiting.Work;
    if (Level < Priority)
      MoreUrgent += rateAt(Entry, Now);
  }
  const double Left = std::max(Usable - MoreUrgent, Usable * MinShareLeft);
  return Duration(Duration::rep(std::max(Work, 0.0) / Left));
}

Duration WaitEstimator::totalBacklog() const {
  double Work = 0;
  for (const auto &[Level, Entry] : Levels)
    Work += Entry.Waiting.Work;
  if (CapacityCpuMillis <= 0)
    return Duration{0};
  return Duration(
      Duration::rep(std::max(Work, 0.0) / (CapacityCpuMillis * UsableShare)));
}

Duration WaitEstimator::wait(int Priority, double CpuMillis,
                             TimePoint Now) const {
  double Wanted = CpuMillis;
  for (const auto &[Level, Entry] : Levels)
    if (Level <= Priority)
      Wanted += Entry.Waiting.CpuMillis;
  if (Wanted <= FreeCpuMillis * UsableShare)
    return Duration{0};
  return backlog(Priority, Now);
}

} // namespace apricotwing::jobs
