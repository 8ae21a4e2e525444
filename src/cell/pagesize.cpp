#include "cell/pagesize.h"

#include <algorithm>

namespace apricotwing::cell {

namespace {

/// Maximum number of rows that the store returns at once.
constexpr std::size_t MaxRows = 500;

/// Pages grow while they take less than this, and shrink if they take more than
/// twice as long. A slow store needs 0.3 s for a page of any size, so the time
/// alone does not show that a page is too large.
constexpr Duration TargetTime{1000};

/// Pages grow faster while they take less than this.
constexpr Duration ShortTime{100};

/// Factors by which the size changes from one page to the next.
constexpr std::size_t UsualChange = 2;
constexpr std::size_t LargeChange = 4;

} // namespace

void PageSize::onPage(std::size_t Received, bool IsLast, Duration Elapsed) {
  const std::size_t Base = std::clamp<std::size_t>(Received, 1, MaxRows);
  if (Elapsed > 2 * TargetTime)
    Rows = std::max<std::size_t>(Base / UsualChange, 1);
  else if (!IsLast && Elapsed <= TargetTime)
    Rows = std::min(Base * (Elapsed <= ShortTime ? LargeChange : UsualChange),
                    MaxRows);
}

void PageSize::onTimeout() {
  Rows = std::max<std::size_t>(Rows / LargeChange, 1);
}

} // namespace apricotwing::cell
