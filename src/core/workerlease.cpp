#include "core/workerlease.h"

#include <algorithm>

namespace apricotwing {

bool mayRenewLeases(bool HasAuthority, TimePoint LastRenewal, TimePoint Now,
                    const WorkerLeaseSettings &Settings) {
  if (HasAuthority)
    return true;
  return LastRenewal != TimePoint::min() &&
         Now < LastRenewal + Settings.Keepalive;
}

WorkerLease::WorkerLease(const WorkerLeaseSettings &Settings,
                         TimePoint TakeoverAt, bool MayHaveTasks)
    : Settings(Settings), TakeoverAt(TakeoverAt), MayHaveTasks(MayHaveTasks) {}

std::int64_t WorkerLease::nextDeadlineMs(TimePoint Now) {
  LastSent = Now;
  const std::optional<std::int64_t> LowerMs = WorkerTime.lowerBoundMs(Now);
  // A deadline that was sent counts, because it may have arrived. Until the
  // worker answers, it is not extended; otherwise the lease of a worker that
  // does not answer would never expire.
  if (!LowerMs || !MayExtend)
    return LastDeadlineMs;
  MayExtend = false;
  LastDeadlineMs = std::max(LastDeadlineMs, *LowerMs + Settings.Ttl.count());
  return LastDeadlineMs;
}

bool WorkerLease::answered(TimePoint SentAt, TimePoint ReceivedAt,
                           std::int64_t WorkerNowMs) {
  const bool Consistent = WorkerTime.observe(SentAt, ReceivedAt, WorkerNowMs);
  // An earlier owner may have renewed the lease until the worker accepted this
  // owner's epoch. Its deadlines are at most the TTL after the worker's clock
  // at that time.
  if (!LastContact || !Consistent)
    LastDeadlineMs =
        std::max(LastDeadlineMs, WorkerNowMs + Settings.Ttl.count());
  LastContact = ReceivedAt;
  MayExtend = true;
  return Consistent;
}

bool WorkerLease::isExpired(TimePoint Now) const {
  if (LastContact) {
    const std::int64_t SafeDeadlineMs =
        LastDeadlineMs + margin(Settings.Ttl).count();
    return *WorkerTime.lowerBoundMs(Now) > SafeDeadlineMs;
  }
  const Duration TakeoverWait = Settings.Keepalive + Settings.Ttl;
  return !MayHaveTasks ||
         Now > TakeoverAt + TakeoverWait + margin(TakeoverWait);
}

bool WorkerLease::isRenewalDue(TimePoint Now) const {
  return !LastSent || Now - *LastSent >= Settings.Renew;
}

} // namespace apricotwing
