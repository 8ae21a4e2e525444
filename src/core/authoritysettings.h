/// \file
/// Durations of the session protocol and the allowance for clock drift.
#ifndef APRICOTWING_CORE_AUTHORITYSETTINGS_H
#define APRICOTWING_CORE_AUTHORITYSETTINGS_H

#include "core/time.h"

namespace apricotwing {

/// Durations of sessions, promises and fencing. A value type.
struct AuthoritySettings {
  Duration Renew{2000};   ///< Interval between renewal rounds.
  Duration Valid{8000};   ///< Lease duration from the start of a round.
  Duration Fence{10000};  ///< A session row unchanged for this long may be
                          ///< fenced.
  Duration Promise{6000}; ///< Duration of a peer's promise.
  Duration MaxExtension{600000};   ///< Longest extension after the last round.
  Duration RequestDeadline{10000}; ///< Longest deadline of a request.
};

/// The rates of any two clocks of the cell differ by less than 1 / this value,
/// that is by less than 1%.
constexpr int ClockDriftDivisor = 100;

/// Returns a duration that, measured on this clock, lasts at least \p Span on
/// any other clock of the cell. Thread-safe.
constexpr Duration lengthenByClockDrift(Duration Span) {
  return Span + (Span + Duration(ClockDriftDivisor - 1)) / ClockDriftDivisor;
}

/// Returns a duration that, measured on this clock, lasts at most \p Span on
/// any other clock of the cell. Thread-safe.
constexpr Duration shortenByClockDrift(Duration Span) {
  return Span - (Span + Duration(ClockDriftDivisor - 1)) / ClockDriftDivisor;
}

} // namespace apricotwing

#endif
