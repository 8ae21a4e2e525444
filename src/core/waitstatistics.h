/// \file
/// Waiting times of the latest starts.
#ifndef APRICOTWING_CORE_WAITSTATISTICS_H
#define APRICOTWING_CORE_WAITSTATISTICS_H

#include "core/time.h"

#include <cstdint>
#include <vector>

namespace apricotwing {

/// Waiting times of one class of tasks. Keeps the latest ones; not
/// thread-safe.
class WaitStatistics {
public:
  void record(Duration Waited);

  /// Number of waits recorded so far.
  std::uint64_t count() const { return Count; }

  /// The wait that \p Fraction (0..1) of the kept ones do not exceed; 0 if
  /// there are none.
  Duration quantile(double Fraction) const;

private:
  std::uint64_t Count = 0;
  std::vector<Duration> Latest;
};

} // namespace apricotwing

#endif
