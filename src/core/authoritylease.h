/// \file
/// Validity of this process's session.
#ifndef APRICOTWING_CORE_AUTHORITYLEASE_H
#define APRICOTWING_CORE_AUTHORITYLEASE_H

#include "core/authoritysettings.h"
#include "core/time.h"

namespace apricotwing {

/// Until when this process may act on its session. A value without I/O, used
/// by SessionManager. Not thread-safe.
class AuthorityLease {
public:
  /// A lease that is not valid.
  explicit AuthorityLease(const AuthoritySettings &Settings)
      : Settings(Settings) {}

  /// A round that started at \p RoundStart succeeded: valid for T from then.
  void renew(TimePoint RoundStart);

  /// All members promised. \p AskedAt is the moment before the first
  /// question, \p AnsweredAt the one after the last answer. Returns false and
  /// changes nothing if the lease was no longer valid at \p AnsweredAt, since
  /// a member may then have fenced the session before it promised, or if the
  /// maximum extension is used up.
  bool extend(TimePoint AskedAt, TimePoint AnsweredAt);

  /// Ends the validity at once.
  void relinquish();

  /// True if \p Now is before the end of validity.
  bool isValid(TimePoint Now) const { return Now < Until; }

  /// End of validity; TimePoint::min() if never valid or relinquished.
  TimePoint validUntil() const { return Until; }

  /// Start of the last successful round; TimePoint::min() if none.
  TimePoint lastRenewal() const { return LastRenewal; }

private:
  AuthoritySettings Settings;
  TimePoint Until = TimePoint::min();
  TimePoint LastRenewal = TimePoint::min();
};

} // namespace apricotwing

#endif
