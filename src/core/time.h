/// \file
/// Time as the decision core sees it: milliseconds on the monotonic clock of
/// one process. The core never reads a clock itself.
#ifndef APRICOTWING_CORE_TIME_H
#define APRICOTWING_CORE_TIME_H

#include <chrono>

namespace apricotwing {

using Duration = std::chrono::milliseconds;

/// Tag of this process's monotonic clock; it has no now() on purpose.
struct MonotonicClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClock, Duration>;
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;
};

/// A moment on this process's monotonic clock. Two processes' time points
/// must not be compared.
using TimePoint = MonotonicClock::time_point;

/// Port: the monotonic clock. Implementations are thread-safe.
class Clock {
public:
  virtual ~Clock() = default;

  /// The present moment; never goes backwards. Thread-safe.
  virtual TimePoint now() const = 0;
};

} // namespace apricotwing

#endif
