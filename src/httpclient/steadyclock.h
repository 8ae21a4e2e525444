/// \file
/// The monotonic clock of this process.
#ifndef APRICOTWING_HTTPCLIENT_STEADYCLOCK_H
#define APRICOTWING_HTTPCLIENT_STEADYCLOCK_H

#include "core/time.h"

namespace apricotwing {

/// Clock port on the time since boot, which also passes while the machine is
/// suspended. Owned by the daemon; thread-safe.
class SteadyClock final : public Clock {
public:
  /// See Clock; rounded down to whole milliseconds. Thread-safe.
  TimePoint now() const override;
};

} // namespace apricotwing

#endif
