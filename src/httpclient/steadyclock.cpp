#include "httpclient/steadyclock.h"

#include <ctime>

namespace apricotwing {

TimePoint SteadyClock::now() const {
  // Unlike std::chrono::steady_clock, CLOCK_BOOTTIME also advances while the
  // machine is suspended, so that leases expire during a suspension.
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return TimePoint(
      std::chrono::floor<Duration>(std::chrono::seconds(Now.tv_sec) +
                                   std::chrono::nanoseconds(Now.tv_nsec)));
}

} // namespace apricotwing
