#include "httpclient/steadyclock.h"

#include <ctime>

namespace apricotwing {

TimePoint SteadyClock::now() const {
  // Unlike std::chrono::steady_clock, the boot clock also runs while the
  // machine is suspended, so that no lease outlives a suspension.
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return TimePoint(
      std::chrono::floor<Duration>(std::chrono::seconds(Now.tv_sec) +
                                   std::chrono::nanoseconds(Now.tv_nsec)));
}

} // namespace apricotwing
