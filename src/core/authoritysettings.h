/// \file
/// Durations of the authority protocol and the allowance for clock rates.
#ifndef APRICOTWING_CORE_AUTHORITYSETTINGS_H
#define APRICOTWING_CORE_AUTHORITYSETTINGS_H

#include "core/time.h"

namespace apricotwing {

/// Durations of sessions, promises and fencing. A value type.
struct AuthoritySettings {
  Duration Renew{2000};            ///< Between two renewal rounds.
  Duration Valid{8000};            ///< T: authority after a round's start.
  Duration Fence{10000};           ///< F: unchanged row before fencing.
  Duration Promise{6000};          ///< P: how long a peer promises.
  Duration MaxExtension{600000};   ///< G: end of extensions after a round.
  Duration RequestDeadline{10000}; ///< D: longest upstream deadline.
};

/// Two clocks of the cell differ in rate by less than one part in this.
constexpr int ClockDriftDivisor = 100;

/// \p Span lengthened so that it covers \p Span on any other clock.
/// Thread-safe.
constexpr Duration lengthenByClockDrift(Duration Span) {
  return Span + (Span + Duration(ClockDriftDivisor - 1)) / ClockDriftDivisor;
}

/// \p Span shortened so that any other clock measures at most \p Span.
/// Thread-safe.
constexpr Duration shortenByClockDrift(Duration Span) {
  return Span - (Span + Duration(ClockDriftDivisor - 1)) / ClockDriftDivisor;
}

} // namespace apricotwing

#endif
