/// \file
/// A manual clock for the tests of the daemon's components.
#ifndef APRICOTWING_TESTS_DAEMON_MANUALCLOCK_H
#define APRICOTWING_TESTS_DAEMON_MANUALCLOCK_H

#include "core/time.h"

namespace apricotwing {

/// A clock that only advances when a test calls advance(). Not thread-safe.
class ManualClock final : public Clock {
public:
  TimePoint now() const override { return Now; }

  void advance(Duration Time) { Now += Time; }

private:
  TimePoint Now{Duration(1'000'000)};
};

} // namespace apricotwing

#endif
