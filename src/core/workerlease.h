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
  Duration Ttl{15000};        ///< Lease after the worker's lower clock bound.
  Duration Renew{3000};       ///< Between two renewals.
  Duration Keepalive{900000}; ///< K: renewals without authority.
};

/// True if an owner may renew the leases of running tasks: while its
/// authority is valid, and without it for K after its last successful round.
/// It starts nothing in the latter case. Thread-safe.
bool mayRenewLeases(bool HasAuthority, TimePoint LastRenewal, TimePoint Now,
                    const WorkerLeaseSettings &Settings);

/// Deadlines of one owner's lease on one worker, and when its tasks there have
/// certainly ended. Owned by the scheduler of the shard; created at takeover.
/// Not thread-safe.
class WorkerLease {
public:
  /// \p TakeoverAt is the moment after the shard was acquired. \p MayHaveTasks
  /// is false if no earlier owner can have tasks of the shard on the worker.
  WorkerLease(const WorkerLeaseSettings &Settings, TimePoint TakeoverAt,
              bool MayHaveTasks = true);

  /// The deadline to send at \p Now, on the worker's clock in ms; 0 (read
  /// only) before the first answer. It counts as sent from this call on, and
  /// is the same as before until the worker answers again.
  std::int64_t nextDeadlineMs(TimePoint Now);

  /// The worker answered a renewal; see WorkerClock::observe(). Returns false
  /// if the worker's clock has jumped since the last answer. Tasks may run on
  /// then; only those that the answer leaves out have ended.
  bool answered(TimePoint SentAt, TimePoint ReceivedAt,
                std::int64_t WorkerNowMs);

  /// True if all tasks of the shard on the worker have certainly ended: the
  /// lower bound of its clock has passed the last deadline by the margin, or,
  /// if this owner never reached it, K + TTL + margin have passed since
  /// takeover. Becomes false again when the worker answers; a start sent
  /// before must not take effect after that (see lastDeadlineMs()).
  bool isExpired(TimePoint Now) const;

  /// True if the next renewal is due.
  bool isRenewalDue(TimePoint Now) const;

  /// When the worker last answered; empty if never.
  std::optional<TimePoint> lastContact() const { return LastContact; }

  /// Last deadline sent, on the worker's clock in ms; 0 if none. A start that
  /// is sent now must be void on the worker after it.
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
  bool MayExtend = false; ///< Answered since the last new deadline.
  std::optional<TimePoint> LastContact;
  std::optional<TimePoint> LastSent;
};

} // namespace apricotwing

#endif
