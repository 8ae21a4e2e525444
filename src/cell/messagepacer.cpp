#include "cell/messagepacer.h"

#include <algorithm>
#include <chrono>

namespace apricotwing::cell {

namespace {

/// In each window the interval factor is multiplied by GrowthFactor while the
/// message rate exceeds its budget, and by DecayFactor while the rate is below
/// LowRateRatio of the budget.
constexpr double GrowthFactor = 1.3;
constexpr double DecayFactor = 0.87;
constexpr double LowRateRatio = 0.7;

} // namespace

void MessagePacer::recordMessage(TimePoint Now) {
  ++Count;
  const Duration Passed = Now - WindowStart;
  if (Passed < Window)
    return;
  Rate = Count / std::chrono::duration<double>(Passed).count();
  WindowStart = Now;
  Count = 0;
  const double Budget = MessagesPerCore * CpuShare;
  if (Rate > Budget)
    Factor = std::min(Factor * GrowthFactor, MaxFactor);
  else if (Rate < Budget * LowRateRatio)
    Factor = std::max(Factor * DecayFactor, 1.0);
}

} // namespace apricotwing::cell
