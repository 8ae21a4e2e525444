#include "cell/advicedesk.h"

#include <gtest/gtest.h>

#include <string>

namespace apricotwing::cell {
namespace {

class AdviceDeskTest : public testing::Test {
protected:
  AdviceDeskTest() {
    for (const std::string Name : {"a", "b", "c"})
      Desk.add(Name, 0.25);
  }

  static jobs::AdviceRequest request(const std::string &Step, double CostMs) {
    return {Step, {"w"}, CostMs};
  }

  AdviceDesk Desk;
  TimePoint Now{Duration{1000}};
};

// Guards against quick calls that wait behind a slow one at the same member.
TEST_F(AdviceDeskTest, MakesNoOtherCallAtAMemberWithASlowOne) {
  EXPECT_EQ(Desk.budget(Now).SlowCalls, 2);
  const auto First = Desk.assign(request("s1", 500), Now);
  const auto Second = Desk.assign(request("s2", 500), Now);
  ASSERT_TRUE(First && Second);
  EXPECT_NE(*First, *Second);
  EXPECT_EQ(Desk.budget(Now).SlowCalls, 0);
  EXPECT_FALSE(Desk.assign(request("s3", 500), Now));
  for (int Number = 0; Number < 3; ++Number)
    EXPECT_EQ(Desk.assign(request("f" + std::to_string(Number), 10), Now), "c");
  Desk.answered(*First, "s1", Now);
  EXPECT_EQ(Desk.assign(request("f3", 10), Now), *First);
}

TEST_F(AdviceDeskTest, LimitsTheQuickCallsThatWait) {
  const double Empty = Desk.budget(Now).FastMs;
  for (int Number = 0; Number < 10; ++Number)
    Desk.assign(request("f" + std::to_string(Number), 20), Now);
  EXPECT_LT(Desk.budget(Now).FastMs, Empty - 150);
  EXPECT_EQ(Desk.openCalls(), 10U);
}

// Guards against a step that waits for good for a call that got lost.
TEST_F(AdviceDeskTest, GivesUpCallsThatAreOverdueOrLostWithTheirMember) {
  const auto Name = Desk.assign(request("s1", 500), Now);
  ASSERT_TRUE(Name);
  EXPECT_TRUE(Desk.takeOverdue(Now + Duration{600}).empty());
  EXPECT_EQ(Desk.takeOverdue(Now + Duration{4000}),
            std::vector<std::string>{"s1"});
  EXPECT_EQ(Desk.budget(Now).SlowCalls, 2);
  const auto Again = Desk.assign(request("s2", 500), Now);
  EXPECT_EQ(Desk.remove(*Again), std::vector<std::string>{"s2"});
}

// Guards against quick calls at instances whose answers come late, while the
// large ones wait for slow calls.
TEST(AdviceDeskSizesTest, SlowCallsGoToSmallMembersAndQuickOnesToLarge) {
  AdviceDesk Desk;
  const TimePoint Now{Duration{1000}};
  Desk.add("a-large", 0.5);
  for (const std::string Name : {"b", "c", "d"})
    Desk.add(Name, 0.12);
  EXPECT_EQ(Desk.budget(Now).SlowCalls, 3);
  EXPECT_EQ(Desk.assign({"s1", {"w"}, 500}, Now), "b");
  for (int Number = 0; Number < 3; ++Number)
    EXPECT_EQ(Desk.assign({"f" + std::to_string(Number), {"w"}, 10}, Now),
              "a-large");
}

TEST(AdviceDeskAloneTest, ASingleMemberTakesAllCalls) {
  AdviceDesk Desk;
  EXPECT_FALSE(Desk.assign({"s", {"w"}, 500}, TimePoint{}));
  Desk.add("a", 0.25);
  EXPECT_EQ(Desk.assign({"s", {"w"}, 500}, TimePoint{}), "a");
}

} // namespace
} // namespace apricotwing::cell
