#include "cell/advicedispatcher.h"

#include "cell/ports.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

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

  /// Lets a call of "a" fail and returns for how long "a" gets no other while
  /// all other members are occupied. Ends with an open call of "a".
  Duration pauseAfterFailure(const std::string &Step) {
    Dispatcher.fail("a", Step, Now);
    const TimePoint Failed = Now;
    while (Now - Failed < Duration{20'000}) {
      const auto Name = Dispatcher.assign(request(Step, 500), Now);
      if (Name == "a")
        break;
      Now += Duration{10};
    }
    return Now - Failed;
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
  Now += Duration{4000};
  EXPECT_EQ(Dispatcher.expireCalls(Now), std::vector<std::string>{"s1"});
  EXPECT_TRUE(Dispatcher.expireCalls(Now).empty());
  EXPECT_EQ(Dispatcher.budget(Now).SlowCalls, 1);
  const auto Again = Dispatcher.assign(request("s2", 500), Now);
  ASSERT_TRUE(Again);
  EXPECT_NE(*Again, *Name);
  EXPECT_EQ(Dispatcher.remove(*Again), std::vector<std::string>{"s2"});
  EXPECT_TRUE(Dispatcher.remove(*Name).empty());
}

// Guards against calls that queue up at the service: the answers of each member
// to its first call and all that followed came too late.
TEST_F(AdviceDispatcherTest, AMemberWithAnOverdueCallGetsNoOther) {
  ASSERT_EQ(Dispatcher.assign(request("s", 500), Now), "a");
  Now += Duration{4000};
  ASSERT_EQ(Dispatcher.expireCalls(Now), std::vector<std::string>{"s"});
  EXPECT_EQ(Dispatcher.openCalls(), 1U);
  EXPECT_FALSE(Dispatcher.isAsked("s"));
  EXPECT_EQ(Dispatcher.assign(request("s", 500), Now), "b");
  EXPECT_TRUE(Dispatcher.isAsked("s"));
  for (int Number = 0; Number < 12; ++Number)
    EXPECT_NE(Dispatcher.assign(request("f" + std::to_string(Number), 20), Now),
              "a");
  Dispatcher.complete("a", "s", Now);
  EXPECT_TRUE(Dispatcher.isAsked("s"));
  EXPECT_EQ(Dispatcher.assign(request("t", 500), Now), "a");
}

// Guards against a member that gets no calls any more because the end of one
// was never reported.
TEST_F(AdviceDispatcherTest, AnOverdueCallEndsAfterTheTimeoutOfTheClient) {
  ASSERT_EQ(Dispatcher.assign(request("s", 500), Now), "a");
  Now += AdviceClient::Timeout;
  Dispatcher.expireCalls(Now);
  EXPECT_EQ(Dispatcher.openCalls(), 1U);
  Now += Duration{5000};
  EXPECT_TRUE(Dispatcher.expireCalls(Now).empty());
  EXPECT_EQ(Dispatcher.openCalls(), 0U);
  Now += Duration{5000};
  ASSERT_EQ(Dispatcher.assign(request("t", 500), Now), "b");
  EXPECT_EQ(Dispatcher.assign(request("u", 500), Now), "a");
}

// Guards against a lone member that is reserved for fast calls while the calls
// of all others are overdue.
TEST_F(AdviceDispatcherTest, TheOnlyMemberWithoutAnOverdueCallTakesSlowCalls) {
  ASSERT_EQ(Dispatcher.assign(request("s", 500), Now), "a");
  ASSERT_EQ(Dispatcher.assign(request("t", 500), Now), "b");
  Now += Duration{4000};
  EXPECT_EQ(Dispatcher.expireCalls(Now).size(), 2U);
  EXPECT_EQ(Dispatcher.assign(request("s", 500), Now), "c");
}

// Guards against a member whose calls fail at once, which is always free before
// the others and so got all calls.
TEST_F(AdviceDispatcherTest, PrefersMembersWhoseCallsDoNotFail) {
  for (int Number = 0; Number < 20; ++Number) {
    const std::string Step = "s" + std::to_string(Number);
    const auto Name = Dispatcher.assign(request(Step, 500), Now);
    ASSERT_TRUE(Name);
    EXPECT_TRUE(Number == 0 || *Name != "a") << Number;
    Now += Duration{500};
    if (*Name == "a")
      Dispatcher.fail(*Name, Step, Now);
    else
      Dispatcher.complete(*Name, Step, Now);
  }
}

// The same for fast calls, of which a member takes several.
TEST_F(AdviceDispatcherTest, QuickCallsPreferMembersWhoseCallsDoNotFail) {
  ASSERT_EQ(Dispatcher.assign(request("f", 20), Now), "a");
  Dispatcher.fail("a", "f", Now);
  Now += Duration{10'000};
  for (int Number = 0; Number < 10; ++Number)
    EXPECT_NE(Dispatcher.assign(request("f" + std::to_string(Number), 20), Now),
              "a");
  EXPECT_EQ(Dispatcher.assign(request("full", 20), Now), "a");
  EXPECT_NE(Dispatcher.assign(request("fuller", 20), Now), "a");
}

TEST_F(AdviceDispatcherTest, PausesGrowUpToABoundUntilACallIsAnswered) {
  ASSERT_EQ(Dispatcher.assign(request("s", 500), Now), "a");
  ASSERT_EQ(Dispatcher.assign(request("t", 500), Now), "b");
  const Duration First = pauseAfterFailure("s");
  EXPECT_GT(First, Duration{0});
  Duration Last = First;
  for (int Number = 0; Number < 10; ++Number) {
    const Duration Next = pauseAfterFailure("s");
    EXPECT_GE(Next, Last);
    Last = Next;
  }
  EXPECT_GT(Last, First);
  EXPECT_LT(Last, AdviceClient::Timeout);
  Dispatcher.complete("a", "s", Now);
  ASSERT_EQ(Dispatcher.assign(request("s", 500), Now), "a");
  EXPECT_EQ(pauseAfterFailure("s"), First);
}

TEST_F(AdviceDispatcherTest, CallsThatFailTogetherCountAsOneFailure) {
  for (int Number = 0; Number < 9; ++Number)
    Dispatcher.assign(request("f" + std::to_string(Number), 20), Now);
  for (int Number = 0; Number < 9; ++Number)
    Dispatcher.fail("a", "f" + std::to_string(Number), Now);
  EXPECT_LT(pauseAfterFailure("f"), Duration{1000});
}

// Guards against slow calls that no member takes: the calls of those that took
// them fail, and the others are reserved for fast calls.
TEST_F(AdviceDispatcherTest, TheOnlyMemberThatAnswersTakesSlowCalls) {
  for (const std::string Failing : {"a", "b"}) {
    ASSERT_EQ(Dispatcher.assign(request("s" + Failing, 500), Now), Failing);
    Dispatcher.fail(Failing, "s" + Failing, Now);
  }
  EXPECT_EQ(Dispatcher.budget(Now).SlowCalls, 1);
  EXPECT_EQ(Dispatcher.budget(Now).MaxSlowCalls, 1);
  EXPECT_EQ(Dispatcher.assign(request("s", 500), Now), "c");
}

// Guards against steps past their deadline that may never ask because members
// whose calls fail count as members that could take a call.
TEST_F(AdviceDispatcherTest, FailingMembersAreNoPartOfTheBudgetWithoutCalls) {
  ASSERT_EQ(Dispatcher.assign(request("s", 500), Now), "a");
  Dispatcher.fail("a", "s", Now);
  EXPECT_EQ(Dispatcher.budget(Now).MaxSlowCalls, 1);
  Now += Duration{10'000};
  EXPECT_EQ(Dispatcher.budget(Now).SlowCalls, 2);
  EXPECT_EQ(Dispatcher.budget(Now).MaxSlowCalls, 1);
}

// Guards against more calls at the only member that answers than the service
// lets wait, as each failing member counts for several.
TEST(AdviceDispatcherProbesTest, AFailingMemberAddsOneCallToTheBudget) {
  AdviceDispatcher Dispatcher;
  TimePoint Now{Duration{1000}};
  const std::vector<std::string> Names = {"a", "b", "c", "d", "e",
                                          "f", "g", "h", "i"};
  for (const std::string &Name : Names)
    Dispatcher.add(Name, 0.25);
  for (std::size_t Number = 0; Number + 1 < Names.size(); ++Number)
    Dispatcher.fail(Names[Number], "s", Now);
  Now += Duration{10'000};
  std::map<std::string, int> Calls;
  for (double Left = Dispatcher.budget(Now).FastMs; Left > 0; Left -= 20) {
    const std::string Step = "f" + std::to_string(Dispatcher.openCalls());
    ++Calls[Dispatcher.assign({Step, {"w"}, 20}, Now).value()];
  }
  constexpr int MaxWaitingCalls = 32;
  EXPECT_LE(Calls["i"], MaxWaitingCalls);
  for (std::size_t Number = 0; Number + 1 < Names.size(); ++Number)
    EXPECT_LE(Calls[Names[Number]], 1);
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
