/// \file
/// Adaptation of the size of pages.
#include "cell/pagesize.h"

#include <gtest/gtest.h>

namespace apricotwing::cell {
namespace {

using namespace std::chrono_literals;

/// Returns the size after \p Pages full pages, each row of which takes
/// \p TimePerRow and each page \p Latency.
PageSize sizeAfter(int Pages, Duration TimePerRow, Duration Latency) {
  PageSize Result;
  for (int Page = 0; Page < Pages; ++Page)
    Result.onPage(Result.rows(), false,
                  Latency + TimePerRow * Duration::rep(Result.rows()));
  return Result;
}

// Guards against many calls for a table that arrives fast.
TEST(PageSizeTest, GrowsToTheLargestPageOverAFastLink) {
  EXPECT_EQ(sizeAfter(3, 0ms, 5ms).rows(), 500U);
}

// Guards against loads of minutes from a store that is slow for any page.
TEST(PageSizeTest, LoadsALargeTableFromASlowStoreAfterTimeouts) {
  for (const Duration Latency : {210ms, 300ms, 410ms, 800ms})
    for (int Timeouts = 0; Timeouts <= 3; ++Timeouts) {
      PageSize Size;
      for (int Timeout = 0; Timeout < Timeouts; ++Timeout)
        Size.onTimeout();
      Duration Total{0};
      for (std::size_t Loaded = 0; Loaded < 1000; Loaded += Size.rows()) {
        Total += Latency;
        Size.onPage(Size.rows(), false, Latency);
      }
      EXPECT_LE(Total, 12 * Latency);
    }
}

// Guards against pages that use up a narrow link for seconds.
TEST(PageSizeTest, KeepsPagesShortOverANarrowLink) {
  const PageSize Size = sizeAfter(10, 20ms, 5ms);
  EXPECT_LE(20ms * Duration::rep(Size.rows()), 2000ms);
  EXPECT_GE(20ms * Duration::rep(Size.rows()), 500ms);
}

// Guards against a page of small rows that is followed by one of large rows.
TEST(PageSizeTest, ShrinksAfterTimeoutsToASingleRow) {
  PageSize Size = sizeAfter(3, 0ms, 5ms);
  for (int Timeout = 0; Timeout < 6; ++Timeout)
    Size.onTimeout();
  EXPECT_EQ(Size.rows(), 1U);
}

// Guards against growth after a page that shows nothing of the link.
TEST(PageSizeTest, DoesNotGrowAfterALastPage) {
  PageSize Size;
  const std::size_t Before = Size.rows();
  Size.onPage(1, true, 5ms);
  EXPECT_EQ(Size.rows(), Before);
}

// Guards against a size of zero after an empty page.
TEST(PageSizeTest, AsksForAtLeastOneRow) {
  PageSize Size;
  Size.onPage(0, true, 5000ms);
  EXPECT_GE(Size.rows(), 1U);
}

} // namespace
} // namespace apricotwing::cell
