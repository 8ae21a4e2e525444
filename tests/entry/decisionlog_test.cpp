#include "entry/decisionlog.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace apricotwing::entry {
namespace {

class ManualClock final : public Clock {
public:
  TimePoint now() const override { return Current; }
  TimePoint Current{Duration{1000}};
};

class DecisionLogTest : public testing::Test {
protected:
  DecisionLogTest()
      : Log(Time, "n1", [this](LogLevel, const std::string &Line) {
          Written.push_back(Line);
        }) {}

  ManualClock Time;
  std::vector<std::string> Written;
  DecisionLog Log;
};

TEST_F(DecisionLogTest, WritesFieldsAndQuotesValuesWithSpaces) {
  Log.event("job accepted", "j1", {{"queue", "q"}});
  ASSERT_EQ(Written.size(), 1U);
  EXPECT_EQ(Written[0],
            "entry: event=\"job accepted\" id=j1 queue=q instance=n1");
}

// Guards against a burst of lines about tasks that suppresses the lines about
// the loss of a member or a change of the leader.
TEST_F(DecisionLogTest, LimitsLinesPerEventName) {
  for (int Count = 0; Count < 1000; ++Count)
    Log.event("run ended", "t", {});
  EXPECT_EQ(Written.size(), std::size_t(DecisionLog::MaxLinesPerSecond));
  EXPECT_EQ(Log.dropped(), 1000U - DecisionLog::MaxLinesPerSecond);
  Written.clear();
  Log.event("member lost", "n2", {});
  EXPECT_EQ(Written.size(), 1U);
}

// Guards against lines that are suppressed without a trace in the log.
TEST_F(DecisionLogTest, ReportsTheNumberOfSuppressedLines) {
  for (int Count = 0; Count < DecisionLog::MaxLinesPerSecond + 7; ++Count)
    Log.event("run ended", "t", {});
  Written.clear();
  Time.Current += Duration{1000};
  Log.event("run ended", "t", {});
  ASSERT_EQ(Written.size(), 2U);
  EXPECT_EQ(Written[0],
            "entry: lines left out of=\"run ended\" count=7 instance=n1");
}

} // namespace
} // namespace apricotwing::entry
