/// \file
/// Limits retries so that they cannot multiply the load on a failing upstream.
#ifndef APRICOTWING_CORE_RETRYBUDGET_H
#define APRICOTWING_CORE_RETRYBUDGET_H

#include "core/time.h"

#include <array>
#include <cstdint>

namespace apricotwing {

/// Allows retries for a tenth of the requests of the last 10 s, and up to 3 per
/// second in any case. Owned by a RequestRouter. Not thread-safe; times passed
/// in must not decrease.
class RetryBudget {
public:
  /// Counts an accepted request towards the budget.
  void noteRequest(TimePoint Now);

  /// Consumes one retry of the budget; returns false if none is left.
  bool tryTake(TimePoint Now);

private:
  static constexpr std::size_t WindowSeconds = 10;

  struct Second {
    std::int64_t Number = -1; ///< Seconds since the clock's epoch.
    std::uint32_t Requests = 0;
    std::uint32_t Retries = 0;
  };

  Second &current(TimePoint Now);

  std::array<Second, WindowSeconds> Window;
};

} // namespace apricotwing

#endif
