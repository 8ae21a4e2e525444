/// \file
/// The lease that covers all tasks of a shard on one worker.
#ifndef APRICOTWING_CORE_WORKERLEASE_H
#define APRICOTWING_CORE_WORKERLEASE_H

#include "core/time.h"
#include "core/workerclock.h"

#include <cstdint>
#include <optional>

namespace apricotwing {

/// Durations of worker leases. A value type.
struct WorkerLeaseSettings {
  Duration Ttl{15000};  ///< Lease time after the lower bound of its clock.
  Duration Renew{3000}; ///< Interval between two renewals.
  Duration Keepalive{900000}; ///< K: how long renewals go on without authority.
};

/// True if an owner may renew the leases of running tasks: while its authority
/// is valid and, after it has lost its authority, for K after its last
/// successful round. Without authority it starts no tasks. Thread-safe.
bool mayRenewLeases(bool HasAuthority, TimePoint LastRenewal, TimePoint Now,
                    const WorkerLeaseSettings &Settings);

/// Tracks the deadlines of one owner's lease on one worker, to determine when
/// the shard's tasks there have certainly ended. Owned by the scheduler of the
/// shard; created at takeover. Not thread-safe.
class WorkerLease {
public:
  /// \p TakeoverAt is a time after the shard was acquired. \p MayHaveTasks is
  /// false if no earlier owner can have tasks of the shard on the worker.
  WorkerLease(const WorkerLeaseSettings &Settings, TimePoint TakeoverAt,
              bool MayHaveTasks = true);

  /// The deadline to send at \p Now, on the worker's clock in ms; 0 before the
  /// first answer, which only reads the worker's state. The deadline counts as
  /// sent from this call on, and does not change until the worker answers
  /// again.
  std::int64_t nextDeadlineMs(TimePoint Now);

  /// Records the worker's answer to a renewal; see WorkerClock::observe().
  /// Returns false if the worker's clock has jumped since the last answer.
  /// Tasks may still be running then; only those that the answer does not
  /// contain have ended.
  bool answered(TimePoint SentAt, TimePoint ReceivedAt,
                std::int64_t WorkerNowMs);

  /// True if all tasks of the shard on the worker have certainly ended: the
  /// lower bound of the worker's clock has passed the last deadline by the
  /// margin or, if the worker never answered this owner, K + TTL + margin have
  /// passed since the takeover. Becomes false again when the worker answers; a
  /// start sent earlier must not take effect after that (see lastDeadlineMs()).
  bool isExpired(TimePoint Now) const;

  /// True if the next renewal is due.
  bool isRenewalDue(TimePoint Now) const;

  /// When the worker last answered; empty if never.
  std::optional<TimePoint> lastContact() const { return LastContact; }

  /// Last deadline sent, on the worker's clock in ms; 0 if none. The worker
  /// must not execute a start that is sent now after this deadline.
  std::int64_t lastDeadlineMs() const { return LastDeadlineMs; }

  /// Safety margin that is added to a wait of \p Span: 1 s + 1%.
  static constexpr Duration margin(Duration Span) {
    return Duration(1000) + Span / ClockDriftDivisor;
  }

private:
  WorkerLeaseSettings Settings;
  TimePoint TakeoverAt;
  bool MayHaveTasks;
  WorkerClock WorkerTime;
  std::int64_t LastDeadlineMs = 0;
  bool MayExtend = false; ///< The worker answered since the last new deadline.
  std::optional<TimePoint> LastContact;
  std::optional<TimePoint> LastSent;
};

} // namespace apricotwing

#endif
