/// \file
/// The highest value of a level in the recent past.
#ifndef APRICOTWING_CORE_RECENTPEAK_H
#define APRICOTWING_CORE_RECENTPEAK_H

#include "core/time.h"

#include <algorithm>
#include <cstdint>

namespace apricotwing {

/// Remembers the peak of a level for at least 5 s and at most 10 s, so that a
/// grant is not given back between two bursts. A value type; not thread-safe.
class RecentPeak {
public:
  /// Notes that the level is or was \p Level at \p Now. Times must not go
  /// backwards.
  void note(std::int64_t Level, TimePoint Now) {
    if (Now - Start >= Window) {
      Previous = Now - Start < 2 * Window ? Current : 0;
      Current = 0;
      Start = Now;
    }
    Current = std::max(Current, Level);
  }

  /// The highest level noted in the last 5 s or more.
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
