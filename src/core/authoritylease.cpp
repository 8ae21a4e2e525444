#include "core/authoritylease.h"

#include <algorithm>

namespace apricotwing {

void AuthorityLease::renew(TimePoint RoundStart) {
  LastRenewal = RoundStart;
  Until = std::max(Until, RoundStart + Settings.Valid);
}

bool AuthorityLease::extend(TimePoint AskedAt, TimePoint AnsweredAt) {
  if (!isValid(AnsweredAt))
    return false;
  const TimePoint Limit = LastRenewal + Settings.MaxExtension;
  const TimePoint Promised = AskedAt + shortenByClockDrift(Settings.Promise);
  const TimePoint Extended = std::min(Promised, Limit);
  if (Extended <= Until)
    return AnsweredAt < Limit;
  Until = Extended;
  return true;
}

void AuthorityLease::relinquish() {
  Until = TimePoint::min();
  LastRenewal = TimePoint::min();
}

} // namespace apricotwing
