#include "cell/advicedispatcher.h"

#include <gtest/gtest.h>

#include <string>

namespace apricotwing::cell {
namespace {

class AdviceDispatcherTest : public testing::Test {
protected:
  AdviceDispatcherTest() {
    for (const std::string Name : {"a", "b", "c"})
      Dispatcher.add(Name, 0.25);
  }

  static jobs::AdviceRequest request(const std::string &Step, double CostMs) {
    return {Step, {"w"}, CostMs};
  }

  AdviceDispatcher Dispatcher;
  TimePoint Now{Duration{1000}};
};

// Guards against fast calls that are queued behind a slow call at the same
// member.
TEST_F(AdviceDispatcherTest, MakesNoOtherCallAtAMemberWithASlowOne) {
  EXPECT_EQ(Dispatcher.budget(Now).SlowCalls, 2);
  const auto First = Dispatcher.assign(request("s1", 500), Now);
  const auto Second = Dispatcher.assign(request("s2", 500), Now);
  ASSERT_TRUE(First && Second);
  EXPECT_NE(*First, *Second);
  EXPECT_EQ(Dispatcher.budget(Now).SlowCalls, 0);
  EXPECT_FALSE(Dispatcher.assign(request("s3", 500), Now));
  for (int Number = 0; Number < 3; ++Number)
    EXPECT_EQ(Dispatcher.assign(request("f" + std::to_string(Number), 10), Now),
              "c");
  Dispatcher.complete(*First, "s1", Now);
  EXPECT_EQ(Dispatcher.assign(request("f3", 10), Now), *First);
}

TEST_F(AdviceDispatcherTest, LimitsTheQuickCallsThatWait) {
  const double Empty = Dispatcher.budget(Now).FastMs;
  for (int Number = 0; Number < 10; ++Number)
    Dispatcher.assign(request("f" + std::to_string(Number), 20), Now);
  EXPECT_LT(Dispatcher.budget(Now).FastMs, Empty - 150);
  EXPECT_EQ(Dispatcher.openCalls(), 10U);
}

// Guards against a step that waits forever because its advice call was lost.
TEST_F(AdviceDispatcherTest, GivesUpCallsThatAreOverdueOrLostWithTheirMember) {
  const auto Name = Dispatcher.assign(request("s1", 500), Now);
  ASSERT_TRUE(Name);
  EXPECT_TRUE(Dispatcher.expireCalls(Now + Duration{600}).empty());
  EXPECT_EQ(Dispatcher.expireCalls(Now + Duration{4000}),
            std::vector<std::string>{"s1"});
  EXPECT_EQ(Dispatcher.budget(Now).SlowCalls, 2);
  const auto Again = Dispatcher.assign(request("s2", 500), Now);
  EXPECT_EQ(Dispatcher.remove(*Again), std::vector<std::string>{"s2"});
}

// Guards against fast calls at small instances, whose answers arrive late,
// while the large instances are blocked by slow calls.
TEST(AdviceDispatcherSizesTest, SlowCallsGoToSmallMembersAndQuickOnesToLarge) {
  AdviceDispatcher Dispatcher;
  const TimePoint Now{Duration{1000}};
  Dispatcher.add("a-large", 0.5);
  for (const std::string Name : {"b", "c", "d"})
    Dispatcher.add(Name, 0.12);
  EXPECT_EQ(Dispatcher.budget(Now).SlowCalls, 3);
  EXPECT_EQ(Dispatcher.assign({"s1", {"w"}, 500}, Now), "b");
  for (int Number = 0; Number < 3; ++Number)
    EXPECT_EQ(Dispatcher.assign({"f" + std::to_string(Number), {"w"}, 10}, Now),
              "a-large");
}

TEST(AdviceDispatcherSingleMemberTest, ASingleMemberTakesAllCalls) {
  AdviceDispatcher Dispatcher;
  EXPECT_FALSE(Dispatcher.assign({"s", {"w"}, 500}, TimePoint{}));
  Dispatcher.add("a", 0.25);
  EXPECT_EQ(Dispatcher.assign({"s", {"w"}, 500}, TimePoint{}), "a");
}

} // namespace
} // namespace apricotwing::cell
