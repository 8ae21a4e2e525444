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

/// Calls subscribers at their times. Owned by one thread of the daemon, or by
/// a test, which advances it. Not thread-safe; callbacks may subscribe and
/// cancel.
class TimerService {
public:
  using Callback = std::function<void(TimePoint Now)>;

  /// Calls \p Fire every \p Period, first at \p First. Periods missed during
  /// a pause are skipped. Precondition: \p Period is positive.
  TimerId every(Duration Period, TimePoint First, Callback Fire);

  /// Calls \p Fire once at \p Deadline or later.
  TimerId at(TimePoint Deadline, Callback Fire);

  /// Cancels a timer; nothing happens if it has fired or is unknown.
  void cancel(TimerId Id);

  /// Fires all timers due at \p Now in the order of their times, each at most
  /// once, and returns how many fired. Timers added by callbacks fire in a
  /// later call.
  std::size_t advance(TimePoint Now);

  /// The earliest time at which a timer is due; empty if there is none.
  std::optional<TimePoint> nextDeadline() const;

private:
  struct Timer {
    Callback Fire;
    Duration Period{0}; ///< Zero: once.
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
