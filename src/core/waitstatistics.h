/// \file
/// Statistics of the waiting times of recent starts.
#ifndef APRICOTWING_CORE_WAITSTATISTICS_H
#define APRICOTWING_CORE_WAITSTATISTICS_H

#include "core/time.h"

#include <cstdint>
#include <vector>

namespace apricotwing {

/// Waiting times of one class of tasks. Keeps a bounded number of the latest
/// ones; not thread-safe.
class WaitStatistics {
public:
  void record(Duration Waited);

  /// Number of waiting times recorded so far.
  std::uint64_t count() const { return Count; }

  /// The quantile \p Fraction (0..1) of the kept waiting times; 0 if there are
  /// none.
  Duration quantile(double Fraction) const;

private:
  std::uint64_t Count = 0;
  std::vector<Duration> Samples;
};

} // namespace apricotwing

#endif
