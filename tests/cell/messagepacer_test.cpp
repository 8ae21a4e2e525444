#include "cell/messagepacer.h"

#include <gtest/gtest.h>

namespace apricotwing::cell {
namespace {

/// Records \p PerSecond messages within one second.
void recordSecond(MessagePacer &Pacer, TimePoint &Now, int PerSecond) {
  const TimePoint Start = Now;
  for (int Number = 1; Number <= PerSecond; ++Number) {
    Now = Start + Duration{1000 * Number / PerSecond};
    Pacer.recordMessage(Now);
  }
}

// Guards against a leader that spends all its CPU time on messages.
TEST(MessagePacerTest, IncreasesTheIntervalUnderHighLoad) {
  MessagePacer Pacer(0.5);
  TimePoint Now{Duration{1000}};
  recordSecond(Pacer, Now, 1000);
  EXPECT_EQ(Pacer.factor(), 1);
  recordSecond(Pacer, Now, 2500);
  EXPECT_GT(Pacer.factor(), 2);
  for (int Second = 0; Second < 10; ++Second)
    recordSecond(Pacer, Now, 2500);
  EXPECT_EQ(Pacer.factor(), MessagePacer::MaxFactor);
}

TEST(MessagePacerTest, ReturnsToTheNormalInterval) {
  MessagePacer Pacer(0.5);
  TimePoint Now{Duration{1000}};
  for (int Second = 0; Second < 10; ++Second)
    recordSecond(Pacer, Now, 2500);
  for (int Second = 0; Second < 10; ++Second)
    recordSecond(Pacer, Now, 200);
  EXPECT_EQ(Pacer.factor(), 1);
}

TEST(MessagePacerTest, KeepsTheIntervalBetweenBothThresholds) {
  MessagePacer Pacer(0.5);
  TimePoint Now{Duration{1000}};
  recordSecond(Pacer, Now, 2500);
  const double Factor = Pacer.factor();
  recordSecond(Pacer, Now, 1200);
  recordSecond(Pacer, Now, 1200);
  EXPECT_NEAR(Pacer.factor(), Factor, Factor * 0.4);
}

} // namespace
} // namespace apricotwing::cell
