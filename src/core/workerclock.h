/// \file
/// Bounds on a worker's clock.
#ifndef APRICOTWING_CORE_WORKERCLOCK_H
#define APRICOTWING_CORE_WORKERCLOCK_H

#include "core/authoritysettings.h"
#include "core/time.h"

#include <cstdint>
#include <optional>

namespace apricotwing {

/// Bounds on what a worker's clock shows, from exchanges with the worker and
/// the greatest difference in clock rates. A value type owned by WorkerLease.
/// Not thread-safe.
class WorkerClock {
public:
  /// The worker answered with \p WorkerNowMs to a message sent at \p SentAt;
  /// the answer arrived at \p ReceivedAt. Returns false if this contradicts
  /// earlier exchanges, that is, the worker's clock has jumped, by a restart or
  /// because it stood still; the bounds then start anew from this exchange.
  bool observe(TimePoint SentAt, TimePoint ReceivedAt,
               std::int64_t WorkerNowMs);

  /// The worker's clock shows at least this at \p Now, in ms; empty before
  /// the first exchange.
  std::optional<std::int64_t> lowerBoundMs(TimePoint Now) const;

  /// The worker's clock shows at most this at \p Now, in ms; empty before the
  /// first exchange.
  std::optional<std::int64_t> upperBoundMs(TimePoint Now) const;

private:
  struct Reading {
    TimePoint At;
    std::int64_t WorkerMs = 0;
  };

  std::optional<Reading> Lower;
  std::optional<Reading> Upper;
};

} // namespace apricotwing

#endif
