#include "cell/mailpacer.h"

#include <algorithm>
#include <chrono>

namespace apricotwing::cell {

namespace {

/// The gaps grow by this factor a window while there is too much mail, and
/// shrink by the other one while there is far less than too much.
constexpr double Growth = 1.3;
constexpr double Decline = 0.87;
constexpr double FarLess = 0.7;

} // namespace

void MailPacer::note(TimePoint Now) {
  ++Count;
  const Duration Passed = Now - WindowStart;
  if (Passed < Window)
    return;
  Rate = Count / std::chrono::duration<double>(Passed).count();
  WindowStart = Now;
  Count = 0;
  const double Budget = MailsPerCore * CpuShare;
  if (Rate > Budget)
    Factor = std::min(Factor * Growth, LargestFactor);
  else if (Rate < Budget * FarLess)
    Factor = std::max(Factor * Decline, 1.0);
}

} // namespace apricotwing::cell
