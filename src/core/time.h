/// \file
/// Time types of the decision core: milliseconds on the monotonic clock of one
/// process. The core receives the time as an argument or through the Clock
/// port and never reads a system clock itself.
#ifndef APRICOTWING_CORE_TIME_H
#define APRICOTWING_CORE_TIME_H

#include <chrono>

namespace apricotwing {

using Duration = std::chrono::milliseconds;

/// Clock type that distinguishes time points of the process's monotonic clock.
/// It has no now(), so that core code cannot read the system clock.
struct MonotonicClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClock, Duration>;
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;
};

/// A point in time on this process's monotonic clock. Time points of different
/// processes must not be compared.
using TimePoint = MonotonicClock::time_point;

/// Port: the monotonic clock. Implementations are thread-safe.
class Clock {
public:
  virtual ~Clock() = default;

  /// Returns the current time, which never decreases. Thread-safe.
  virtual TimePoint now() const = 0;
};

} // namespace apricotwing

#endif
