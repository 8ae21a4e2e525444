/// \file
/// Virtual time for the tests of the daemon's parts.
#ifndef APRICOTWING_TESTS_DAEMON_MANUALCLOCK_H
#define APRICOTWING_TESTS_DAEMON_MANUALCLOCK_H

#include "core/time.h"

namespace apricotwing {

/// A clock that moves only when a test says so. Not thread-safe.
class ManualClock final : public Clock {
public:
  TimePoint now() const override { return Now; }

  void advance(Duration Time) { Now += Time; }

private:
  TimePoint Now{Duration(1'000'000)};
};

} // namespace apricotwing

#endif
