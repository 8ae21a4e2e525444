/// \file
/// Past use of accounts: the history alone, and its effect on the order.
#include "jobs/usagehistory.h"

#include "jobs/jobschedulertest.h"

#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <string>

namespace apricotwing::jobs {
namespace {

using namespace std::chrono_literals;

constexpr Duration HalfLife = 1h;
constexpr Resources Cell{100'000, 100'000, 10};

class UsageHistoryTest : public testing::Test {
protected:
  UsageHistoryTest() {
    History.setWeights({{"a", 1}, {"b", 1}, {"c", 2}});
    History.setCapacity(Cell, Now);
  }

  /// Lets \p Account hold \p Held for \p Length.
  void use(const std::string &Account, const Resources &Held, Duration Length) {
    History.setRunning(Account, Held, Now);
    Now += Length;
    History.setRunning(Account, {}, Now);
  }

  double shareOf(const std::string &Account) {
    for (const AccountUse &Use : History.largest(Now, 100))
      if (Use.Account == Account)
        return Use.Share;
    return 0;
  }

  TimePoint Now{Duration{1'000'000}};
  UsageHistory History{HalfLife};
};

// Guards against use that counts by processors although memory is scarce, and
// against a decay that does not follow the half-life.
TEST_F(UsageHistoryTest, IntegratesTheDominantShareAndHalvesIt) {
  use("a", {10'000, 40'000, 0}, HalfLife);
  EXPECT_NEAR(shareOf("a"), 0.2, 1e-6);
  Now += HalfLife;
  EXPECT_NEAR(shareOf("a"), 0.1, 1e-6);
  use("b", {0, 0, 5}, HalfLife);
  EXPECT_NEAR(shareOf("b"), 0.25, 1e-6);
}

// Guards against a result that depends on how often the runs of an account
// change, which differs with the size of its tasks.
TEST_F(UsageHistoryTest, DoesNotDependOnTheNumberOfChanges) {
  use("a", {30'000, 0, 0}, HalfLife);
  const double Once = shareOf("a");
  UsageHistory Other{HalfLife};
  TimePoint At{Duration{1'000'000}};
  Other.setCapacity(Cell, At);
  for (int Change = 0; Change < 3600; ++Change, At += 1s)
    Other.setRunning("a", {30'000, 0, 0}, At);
  ASSERT_EQ(Other.largest(At, 1).size(), 1U);
  EXPECT_NEAR(Other.largest(At, 1)[0].Share, Once, 1e-9);
}

// Guards against a delay of accounts that use no more than their part.
TEST_F(UsageHistoryTest, DelaysOnlyAccountsAboveTheMeanPerWeight) {
  History.setRunning("a", {10'000, 0, 0}, Now);
  History.setRunning("b", {40'000, 0, 0}, Now);
  History.setRunning("c", {50'000, 0, 0}, Now);
  Now += HalfLife;
  EXPECT_EQ(History.delay("a", Now), 0ms);
  EXPECT_GT(History.delay("b", Now), 0ms);
  EXPECT_EQ(History.delay("c", Now), 0ms); // Exactly its part by weight.
}

// Guards against starvation by a delay that grows with the use.
TEST_F(UsageHistoryTest, TheDelayIsBounded) {
  use("a", Cell, 100 * HalfLife);
  EXPECT_GT(History.delay("a", Now), UsageHistory::MaxDelay / 2);
  EXPECT_LE(History.delay("a", Now), UsageHistory::MaxDelay);
}

// Guards against accounts without a past that are treated like heavy ones.
TEST_F(UsageHistoryTest, ANewcomerIsNotDelayed) {
  use("a", {90'000, 0, 0}, HalfLife);
  History.setWeights({{"a", 1}, {"b", 1}, {"c", 2}, {"new", 1}});
  EXPECT_EQ(History.delay("new", Now), 0ms);
  use("new", {90'000, 0, 0}, 10s);
  EXPECT_EQ(History.delay("new", Now), 0ms);
}

// Guards against a long delay for a moment's use of an idle cell.
TEST_F(UsageHistoryTest, LittleUseOfAnIdleCellCausesLittleDelay) {
  use("a", {50'000, 0, 0}, 1s);
  EXPECT_LT(History.delay("a", Now), 100ms);
}

// Guards against a past that is never forgotten, and against a history that
// grows with accounts that are gone.
TEST_F(UsageHistoryTest, ForgetsAnAccountThatIsIdleForADay) {
  use("a", {90'000, 0, 0}, HalfLife);
  ASSERT_GT(History.delay("a", Now), 1s);
  Now += 24h;
  EXPECT_EQ(History.delay("a", Now), 0ms);
  EXPECT_TRUE(History.stored(Now).empty());
  EXPECT_TRUE(History.largest(Now, 10).empty());
}

// Guards against a credit for idle time: an account that returns after its
// burst is delayed by what is left of the burst, and not preferred.
TEST_F(UsageHistoryTest, AnAccountThatReturnsAfterItsBurstIsDelayedLess) {
  History.setRunning("b", {20'000, 0, 0}, Now);
  use("a", {60'000, 0, 0}, HalfLife);
  const Duration AfterBurst = History.delay("a", Now);
  Now += HalfLife;
  const Duration OnReturn = History.delay("a", Now);
  EXPECT_LT(OnReturn, AfterBurst);
  Now += 10 * HalfLife;
  EXPECT_EQ(History.delay("a", Now), 0ms);
  EXPECT_GT(History.delay("b", Now), 0ms);
}

// Guards against a row beyond the size limit of the store.
TEST_F(UsageHistoryTest, StoresABoundedNumberOfAccounts) {
  for (int Number = 0; Number < 1000; ++Number)
    History.setRunning("account " + std::to_string(Number),
                       {100 + 10 * Number, 0, 0}, Now);
  Now += HalfLife;
  const auto Stored = History.stored(Now);
  EXPECT_EQ(Stored.size(), UsageHistory::MaxStoredAccounts);
  EXPECT_TRUE(Stored.contains("account 999"));
  for (int Number = 0; Number < 100; ++Number)
    History.setRunning(std::string(1000, 'n') + std::to_string(Number), Cell,
                       Now);
  Now += HalfLife;
  std::size_t Bytes = 0;
  for (const auto &[Name, Share] : History.stored(Now))
    Bytes += Name.size();
  EXPECT_LE(Bytes, UsageHistory::MaxStoredNameBytes);
}

// Guards against writes of the row although nothing has run.
TEST_F(UsageHistoryTest, ChangesOnlyByUse) {
  EXPECT_FALSE(History.takeChanged(Now));
  use("a", {1000, 0, 0}, 1s);
  EXPECT_TRUE(History.takeChanged(Now));
  Now += HalfLife;
  EXPECT_FALSE(History.takeChanged(Now));
}

// Guards against a takeover that loses the past, or that counts the time
// between two leaders as none.
TEST_F(UsageHistoryTest, RestoresWhatWasStored) {
  use("a", {50'000, 0, 0}, HalfLife);
  UsageHistory Next{HalfLife};
  Next.restore(History.stored(Now), HalfLife, Now);
  ASSERT_EQ(Next.largest(Now, 1).size(), 1U);
  EXPECT_NEAR(Next.largest(Now, 1)[0].Share, 0.125, 1e-6);
  EXPECT_FALSE(Next.takeChanged(Now));
  UsageHistory AtUnknownTime{HalfLife};
  AtUnknownTime.restore(History.stored(Now), {}, Now);
  EXPECT_NEAR(AtUnknownTime.largest(Now, 1)[0].Share, 0.25, 1e-6);
  EXPECT_TRUE(AtUnknownTime.takeChanged(Now));
}

/// A scheduler with two accounts of equal weight. Its fixture's scheduler, in
/// which past use is off, is not used.
class UsageOrderTest : public JobSchedulerTest {
protected:
  UsageOrderTest() : Aware(1, {false, HalfLife}) { setUp(Aware); }

  void setUp(JobScheduler &Target) {
    ClusterPolicy Policy;
    Policy.Version = 1;
    Policy.Queues = {queueOf("quick", 0, 1.5), queueOf("batch", 2, 4)};
    Policy.Accounts = {{"heavy", {"h"}, 10, {}}, {"light", {"l"}, 10, {}}};
    Policy.Upstreams = {{"service", false, false}};
    Target.setPolicy(Policy);
    WorkerInfo Info;
    Info.Incarnation = {"w", 1};
    Info.Upstream = "service";
    Info.Capacity = {32'000, 65'536, 0};
    Target.updateWorker(Info, Now);
    Target.syncWorker(Info.Incarnation, {}, {}, Now);
  }

  std::string add(JobScheduler &Target, const std::string &Account,
                  const std::string &Queue, Duration Estimate) {
    JobSpec Spec;
    Spec.Id = "job" + std::to_string(++LastJob);
    Spec.Queue = Queue;
    Spec.Account = Account;
    Spec.Steps = {step(1, 32'000, Estimate)};
    Target.add(Spec, false, Now);
    return Spec.Id;
  }

  /// Runs a round and returns the job that it starts; empty if none.
  std::string startedJob(JobScheduler &Target) {
    Now += 10ms;
    const Decisions Made = Target.decide(Now, Budget);
    if (Made.Starts.empty())
      return "";
    Last = Made.Starts.front();
    return TaskId::parse(Last.Task)->Job;
  }

  void endLast(JobScheduler &Target) {
    Target.runEnded(Last.Worker,
                    {++LastEnd, Last.Task, Last.Run, EndKind::Done, ""}, Now);
  }

  /// Lets "heavy" use the whole cell for an hour, and starts another job of it
  /// so that the cell is full.
  void useCell(JobScheduler &Target) {
    add(Target, "heavy", "batch", 1h);
    ASSERT_NE(startedJob(Target), "");
    Now += 1h;
    endLast(Target);
    add(Target, "heavy", "batch", 1s);
    ASSERT_NE(startedJob(Target), "");
  }

  JobScheduler Aware;
  StartCommand Last;
};

// Guards against an order that does not follow past use, and against an order
// that differs while the history is off.
TEST_F(UsageOrderTest, AnAccountThatUsedLessGoesFirst) {
  useCell(Aware);
  JobScheduler Off(1);
  const TimePoint Start = Now;
  add(Aware, "heavy", "batch", 8s);
  Now += 1s;
  const std::string Light = add(Aware, "light", "batch", 8s);
  endLast(Aware);
  EXPECT_EQ(startedJob(Aware), Light);
  Now = Start;
  setUp(Off);
  useCell(Off);
  const std::string First = add(Off, "heavy", "batch", 8s);
  Now += 1s;
  add(Off, "light", "batch", 8s);
  endLast(Off);
  EXPECT_EQ(startedJob(Off), First);
  EXPECT_TRUE(Off.usage().largest(Now, 10).empty());
}

// Guards against past use that overrules the priority.
TEST_F(UsageOrderTest, PriorityComesFirst) {
  useCell(Aware);
  add(Aware, "light", "batch", 8s);
  const std::string Urgent = add(Aware, "heavy", "quick", 8s);
  endLast(Aware);
  EXPECT_EQ(startedJob(Aware), Urgent);
}

// Guards against a step that others overtake without end.
TEST_F(UsageOrderTest, AStepFallsBehindByAtMostTheLongestDelay) {
  useCell(Aware);
  const std::string Heavy = add(Aware, "heavy", "batch", 8s);
  Now += UsageHistory::MaxDelay + 10ms;
  add(Aware, "light", "batch", 8s);
  endLast(Aware);
  EXPECT_EQ(startedJob(Aware), Heavy);
}

// Guards against a delay beyond the slack of a job: with 1 s of allowed time on
// top of half its run time, a second makes it late.
TEST_F(UsageOrderTest, AStepFallsBehindByAtMostHalfOfItsSlack) {
  useCell(Aware);
  const std::string Id = add(Aware, "heavy", "quick", 1s);
  const Job *Added = Aware.find(Id);
  const Duration Slack = Added->Due - Now - Added->RemainingEstimate;
  ASSERT_LT(Slack, UsageHistory::MaxDelay);
  EXPECT_GT(Added->Steps[0].UsageDelay, 0ms);
  EXPECT_LE(Added->Steps[0].UsageDelay, Slack / 2);
}

// Guards against a delay that makes a step late: once its slack is used up but
// for the delay, it takes its place by its own due time.
TEST_F(UsageOrderTest, AStepWithLittleSlackLeftDropsItsDelay) {
  useCell(Aware);
  const std::string Heavy = add(Aware, "heavy", "batch", 1s);
  const Job *Added = Aware.find(Heavy);
  const Duration Delay = Added->Steps[0].UsageDelay;
  ASSERT_GT(Delay, 0ms);
  const Duration Slack = Added->Due - Now - Added->RemainingEstimate;
  Now += Slack - Delay;
  // It was due before the job of the other account, which is due before it with
  // the delay.
  JobSpec Spec;
  Spec.Id = "light";
  Spec.Queue = "batch";
  Spec.Account = "light";
  Spec.Steps = {step(1, 32'000, 900ms)};
  Aware.add(Spec, false, Now);
  ASSERT_GT(Aware.find("light")->Due, Added->Due);
  ASSERT_LT(Aware.find("light")->Due, Added->Due + Delay);
  EXPECT_EQ(startedJob(Aware), "");
  endLast(Aware);
  EXPECT_EQ(startedJob(Aware), Heavy);
}

// Guards against a rank that changes while it is the key of a waiting step: the
// step would then never be removed from the order.
TEST_F(UsageOrderTest, AWaitingStepKeepsItsRankWhileTheUseChanges) {
  useCell(Aware);
  const std::string Heavy = add(Aware, "heavy", "batch", 20s);
  const TimePoint Due = Aware.find(Heavy)->Steps[0].Rank->Due;
  for (int Round = 0; Round < 10; ++Round) {
    Now += 1s;
    Aware.decide(Now, Budget);
  }
  ASSERT_TRUE(Aware.find(Heavy)->Steps[0].Rank);
  EXPECT_EQ(Aware.find(Heavy)->Steps[0].Rank->Due, Due);
  ASSERT_TRUE(Aware.cancel(Heavy, Now));
  endLast(Aware);
  EXPECT_EQ(startedJob(Aware), "");
  EXPECT_TRUE(Aware.waitCauses().empty());
}

// Guards against a mean that includes accounts of other shards, above which
// every account of this one would be.
TEST_F(UsageOrderTest, ComparesOnlyTheAccountsOfTheShard) {
  useCell(Aware);
  EXPECT_GT(Aware.usage().delay("heavy", Now), 0ms);
  Aware.setServedAccounts(
      [](const std::string &Name) { return Name == "heavy"; });
  EXPECT_EQ(Aware.usage().delay("heavy", Now), 0ms);
}

} // namespace
} // namespace apricotwing::jobs
