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
  const std::optional<std::int64_t> Least = WorkerTime.lowerBoundMs(Now);
  // A deadline that may have arrived counts. Without an answer it stays, or
  // the lease of a silent worker would never run out.
  if (!Least || !MayExtend)
    return LastDeadlineMs;
  MayExtend = false;
  LastDeadlineMs = std::max(LastDeadlineMs, *Least + Settings.Ttl.count());
  return LastDeadlineMs;
}

bool WorkerLease::answered(TimePoint SentAt, TimePoint ReceivedAt,
                           std::int64_t WorkerNowMs) {
  const bool Consistent = WorkerTime.observe(SentAt, ReceivedAt, WorkerNowMs);
  // An earlier owner may have renewed until the worker took this owner's
  // epoch; its deadlines lie at most the TTL after the worker's clock then.
  if (!LastContact || !Consistent)
    LastDeadlineMs =
        std::max(LastDeadlineMs, WorkerNowMs + Settings.Ttl.count());
  LastContact = ReceivedAt;
  MayExtend = true;
  return Consistent;
}

bool WorkerLease::isExpired(TimePoint Now) const {
  if (LastContact) {
    const std::int64_t Safe = LastDeadlineMs + margin(Settings.Ttl).count();
    return *WorkerTime.lowerBoundMs(Now) > Safe;
  }
  const Duration Wait = Settings.Keepalive + Settings.Ttl;
  return !MayHaveTasks || Now > TakeoverAt + Wait + margin(Wait);
}

bool WorkerLease::isRenewalDue(TimePoint Now) const {
  return !LastSent || Now - *LastSent >= Settings.Renew;
}

} // namespace apricotwing
