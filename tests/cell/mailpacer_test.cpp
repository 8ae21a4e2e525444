#include "cell/mailpacer.h"

#include <gtest/gtest.h>

namespace apricotwing::cell {
namespace {

/// Counts \p PerSecond mails a second for a second.
void noteSecond(MailPacer &Pacer, TimePoint &Now, int PerSecond) {
  const TimePoint Start = Now;
  for (int Number = 1; Number <= PerSecond; ++Number) {
    Now = Start + Duration{1000 * Number / PerSecond};
    Pacer.note(Now);
  }
}

// Guards against a leader that spends all its processor time on mail.
TEST(MailPacerTest, SpreadsMailOutWhileThereIsTooMuch) {
  MailPacer Pacer(0.5);
  TimePoint Now{Duration{1000}};
  noteSecond(Pacer, Now, 1000);
  EXPECT_EQ(Pacer.factor(), 1);
  noteSecond(Pacer, Now, 2500);
  EXPECT_GT(Pacer.factor(), 2);
  for (int Second = 0; Second < 10; ++Second)
    noteSecond(Pacer, Now, 2500);
  EXPECT_EQ(Pacer.factor(), MailPacer::LargestFactor);
}

TEST(MailPacerTest, ReturnsToTheUsualGaps) {
  MailPacer Pacer(0.5);
  TimePoint Now{Duration{1000}};
  for (int Second = 0; Second < 10; ++Second)
    noteSecond(Pacer, Now, 2500);
  for (int Second = 0; Second < 10; ++Second)
    noteSecond(Pacer, Now, 200);
  EXPECT_EQ(Pacer.factor(), 1);
}

TEST(MailPacerTest, KeepsTheGapsBetweenBothBounds) {
  MailPacer Pacer(0.5);
  TimePoint Now{Duration{1000}};
  noteSecond(Pacer, Now, 2500);
  const double Factor = Pacer.factor();
  noteSecond(Pacer, Now, 1200);
  noteSecond(Pacer, Now, 1200);
  EXPECT_NEAR(Pacer.factor(), Factor, Factor * 0.4);
}

} // namespace
} // namespace apricotwing::cell
