/// \file
/// Limit on retries, so that they cannot multiply the load of a failing
/// upstream.
#ifndef APRICOTWING_CORE_RETRYBUDGET_H
#define APRICOTWING_CORE_RETRYBUDGET_H

#include "core/time.h"

#include <array>
#include <cstdint>

namespace apricotwing {

/// Allows retries for a tenth of the requests of the last 10 s, and always 3
/// in each second. Owned by a RequestRouter. Not thread-safe; times must not
/// go backwards.
class RetryBudget {
public:
  /// Counts a request that was accepted.
  void noteRequest(TimePoint Now);

  /// Takes one retry from the budget; false if there is none left.
  bool tryTake(TimePoint Now);

private:
  static constexpr std::size_t WindowSeconds = 10;

  struct Second {
    std::int64_t Number = -1; ///< Seconds since the clock's origin.
    std::uint32_t Requests = 0;
    std::uint32_t Retries = 0;
  };

  Second &current(TimePoint Now);

  std::array<Second, WindowSeconds> Window;
};

} // namespace apricotwing

#endif
