/// \file
/// The lease that gives this process's session the authority to act.
#ifndef APRICOTWING_CORE_AUTHORITYLEASE_H
#define APRICOTWING_CORE_AUTHORITYLEASE_H

#include "core/authoritysettings.h"
#include "core/time.h"

namespace apricotwing {

/// Computes until when this process may act on its session. Performs no I/O.
/// Used by SessionManager. Not thread-safe.
class AuthorityLease {
public:
  /// Creates a lease that is not valid.
  explicit AuthorityLease(const AuthoritySettings &Settings)
      : Settings(Settings) {}

  /// Records that the renewal round begun at \p RoundStart succeeded. The lease
  /// is valid for AuthoritySettings::Valid from that time.
  void renew(TimePoint RoundStart);

  /// Extends the lease after all members of the cell have given their promise.
  /// \p AskedAt is the time before the first request and \p AnsweredAt the time
  /// after the last response. Returns false and changes nothing if the lease
  /// had expired at \p AnsweredAt, since a member may have fenced the session
  /// before it promised, or if the maximum extension is used up.
  bool extend(TimePoint AskedAt, TimePoint AnsweredAt);

  /// Ends the validity immediately.
  void relinquish();

  /// Returns true if \p Now is before the end of validity.
  bool isValid(TimePoint Now) const { return Now < Until; }

  /// Returns the end of validity, or TimePoint::min() if the lease was never
  /// valid or has been relinquished.
  TimePoint validUntil() const { return Until; }

  /// Returns the start of the last successful renewal round, or
  /// TimePoint::min() if there was none.
  TimePoint lastRenewal() const { return LastRenewal; }

private:
  AuthoritySettings Settings;
  TimePoint Until = TimePoint::min();
  TimePoint LastRenewal = TimePoint::min();
};

} // namespace apricotwing

#endif
