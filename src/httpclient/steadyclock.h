/// \file
/// The monotonic clock of this process.
#ifndef APRICOTWING_HTTPCLIENT_STEADYCLOCK_H
#define APRICOTWING_HTTPCLIENT_STEADYCLOCK_H

#include "core/time.h"

namespace apricotwing {

/// Clock that returns the time since boot, including the time for which the
/// machine was suspended. Owned by the daemon. Thread-safe.
class SteadyClock final : public Clock {
public:
  /// See Clock; rounded down to whole milliseconds. Thread-safe.
  TimePoint now() const override;
};

} // namespace apricotwing

#endif
