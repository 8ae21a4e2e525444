#include "entry/decisionlog.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace apricotwing::entry {
namespace {

class ManualClock final : public Clock {
public:
  TimePoint now() const override { return Present; }
  TimePoint Present{Duration{1000}};
};

class DecisionLogTest : public testing::Test {
protected:
  DecisionLogTest()
      : Lines(Time, "n1", [this](LogLevel, const std::string &Line) {
          Written.push_back(Line);
        }) {}

  ManualClock Time;
  std::vector<std::string> Written;
  DecisionLog Lines;
};

TEST_F(DecisionLogTest, WritesFieldsAndQuotesTextsWithSpaces) {
  Lines.event("job accepted", "j1", {{"queue", "q"}});
  ASSERT_EQ(Written.size(), 1U);
  EXPECT_EQ(Written[0],
            "entry: event=\"job accepted\" id=j1 queue=q instance=n1");
}

// Guards against a flood of lines about tasks that hides the loss of a member
// or a change of the leader.
TEST_F(DecisionLogTest, LimitsEachKindOfLineByItself) {
  for (int Number = 0; Number < 1000; ++Number)
    Lines.event("run ended", "t", {});
  EXPECT_EQ(Written.size(), std::size_t(DecisionLog::LinesPerKind));
  EXPECT_EQ(Lines.dropped(), 1000U - DecisionLog::LinesPerKind);
  Written.clear();
  Lines.event("member lost", "n2", {});
  EXPECT_EQ(Written.size(), 1U);
}

TEST_F(DecisionLogTest, TellsHowManyLinesWereLeftOut) {
  for (int Number = 0; Number < DecisionLog::LinesPerKind + 7; ++Number)
    Lines.event("run ended", "t", {});
  Written.clear();
  Time.Present += Duration{1000};
  Lines.event("run ended", "t", {});
  ASSERT_EQ(Written.size(), 2U);
  EXPECT_EQ(Written[0],
            "entry: lines left out of=\"run ended\" count=7 instance=n1");
}

} // namespace
} // namespace apricotwing::entry
