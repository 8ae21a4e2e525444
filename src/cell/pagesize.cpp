#include "cell/pagesize.h"

#include <algorithm>

namespace apricotwing::cell {

namespace {

/// Maximum number of rows that the store returns at once.
constexpr std::size_t MaxRows = 500;

/// Time that a page should take: well below the timeout of a call, which is
/// 1.3 s, and longer than a read takes while the store is slow, 0.3 s.
constexpr Duration TargetTime{400};

/// Maximum factor by which the size changes from one page to the next.
constexpr std::size_t MaxChange = 4;

} // namespace

void PageSize::onPage(std::size_t Received, bool IsLast, Duration Elapsed) {
  if (IsLast && Elapsed <= TargetTime)
    return; // Tells nothing about a larger page.
  const std::size_t Base = std::max<std::size_t>(Received, 1);
  const auto Milliseconds =
      std::size_t(std::max<Duration::rep>(Elapsed.count(), 1));
  const std::size_t Fitting =
      Base * std::size_t(TargetTime.count()) / Milliseconds;
  const std::size_t Changed =
      std::clamp(Fitting, Base / MaxChange, Base * MaxChange);
  Rows = std::clamp<std::size_t>(Changed, 1, MaxRows);
}

void PageSize::onTimeout() {
  Rows = std::max<std::size_t>(Rows / MaxChange, 1);
}

} // namespace apricotwing::cell
