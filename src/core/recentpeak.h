/// \file
/// Peak of a level over a recent time window.
#ifndef APRICOTWING_CORE_RECENTPEAK_H
#define APRICOTWING_CORE_RECENTPEAK_H

#include "core/time.h"

#include <algorithm>
#include <cstdint>

namespace apricotwing {

/// Tracks the peak of a level over the last 5 s to 10 s, so that a grant is not
/// returned between two bursts. A value type; not thread-safe.
class RecentPeak {
public:
  /// Records that the level is \p Level at \p Now. Precondition: \p Now does
  /// not decrease between calls.
  void note(std::int64_t Level, TimePoint Now) {
    if (Now - Start >= Window) {
      Previous = Now - Start < 2 * Window ? Current : 0;
      Current = 0;
      Start = Now;
    }
    Current = std::max(Current, Level);
  }

  /// The highest level recorded in at least the last 5 s.
  std::int64_t peak(TimePoint Now) const {
    if (Now - Start < Window)
      return std::max(Current, Previous);
    return Now - Start < 2 * Window ? Current : 0;
  }

private:
  static constexpr Duration Window = std::chrono::seconds(5);

  TimePoint Start;
  std::int64_t Current = 0;
  std::int64_t Previous = 0;
};

} // namespace apricotwing

#endif
