/// \file
/// Lower and upper bounds on a worker's clock.
#ifndef APRICOTWING_CORE_WORKERCLOCK_H
#define APRICOTWING_CORE_WORKERCLOCK_H

#include "core/authoritysettings.h"
#include "core/time.h"

#include <cstdint>
#include <optional>

namespace apricotwing {

/// Bounds on the reading of a worker's clock, derived from messages exchanged
/// with the worker and the maximum difference in clock rates. A value type
/// owned by WorkerLease. Not thread-safe.
class WorkerClock {
public:
  /// Records that the worker answered a message sent at \p SentAt with its
  /// clock reading \p WorkerNowMs, and that the answer arrived at \p
  /// ReceivedAt. Returns false if this contradicts earlier exchanges, that is,
  /// if the worker's clock has jumped because of a restart or has stood still.
  /// The bounds are then based on this exchange only.
  bool observe(TimePoint SentAt, TimePoint ReceivedAt,
               std::int64_t WorkerNowMs);

  /// Lower bound of the worker's clock reading at \p Now, in ms; empty before
  /// the first exchange.
  std::optional<std::int64_t> lowerBoundMs(TimePoint Now) const;

  /// Upper bound of the worker's clock reading at \p Now, in ms; empty before
  /// the first exchange.
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
