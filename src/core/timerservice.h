/// \file
/// Timers of the decision core.
#ifndef APRICOTWING_CORE_TIMERSERVICE_H
#define APRICOTWING_CORE_TIMERSERVICE_H

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace apricotwing {

using TimerId = std::uint64_t;

/// Runs callbacks at scheduled times. Owned and advanced by one thread of the
/// daemon or by a test. Not thread-safe; callbacks may add and cancel timers.
class TimerService {
public:
  using Callback = std::function<void(TimePoint Now)>;

  /// Calls \p Fire every \p Period, first at \p First. Periods missed during
  /// a pause are skipped. Precondition: \p Period is positive.
  TimerId every(Duration Period, TimePoint First, Callback Fire);

  /// Calls \p Fire once at \p Deadline or later.
  TimerId at(TimePoint Deadline, Callback Fire);

  /// Cancels a timer. Has no effect if it has fired already or is unknown.
  void cancel(TimerId Id);

  /// Fires all timers that are due at \p Now, ordered by due time and each at
  /// most once. Returns how many fired. Timers added by callbacks fire in a
  /// later call.
  std::size_t advance(TimePoint Now);

  /// Returns the earliest time at which a timer is due; empty if there is none.
  std::optional<TimePoint> nextDeadline() const;

private:
  struct Timer {
    Callback Fire;
    Duration Period{0}; ///< Zero for a timer that fires once.
    TimePoint Due;
  };

  TimerId add(Timer Added);
  void reschedule(TimerId Id, TimePoint Now);

  TimerId LastId = 0;
  std::map<TimerId, Timer> Timers;
  std::set<std::pair<TimePoint, TimerId>> ByTime;
};

} // namespace apricotwing

#endif
