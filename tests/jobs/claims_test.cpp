/// \file
/// Claims of waiting gangs: what they may keep from other steps, and for how
/// long.
#include "jobs/jobschedulertest.h"

#include <string>
#include <vector>

namespace apricotwing::jobs {
namespace {

class ClaimsTest : public JobSchedulerTest {
protected:
  static StepSpec gang(int Count, std::int64_t CpuMillis) {
    StepSpec Step = step(Count, CpuMillis);
    Step.Gang = true;
    return Step;
  }

  static StepSpec onWorkers(StepSpec Step, const std::string &Label) {
    Step.RequiredLabel = Label;
    return Step;
  }

  void addLabelled(const std::string &Id, std::vector<std::string> Labels) {
    addWorker(Id);
    WorkerInfo Info = Scheduler.worker(Id)->info();
    Info.Labels = std::move(Labels);
    Scheduler.updateWorker(Info, Now);
  }

  /// Adds four workers, two of which have the label "pair", fills the second of
  /// these, and adds a gang that needs both.
  void addGangThatNeedsAFullWorker(bool FullForGood) {
    addLabelled("w1", {"pair", "first"});
    addLabelled("w2", {"pair", "second"});
    addLabelled("w3", {});
    addLabelled("w4", {});
    StepSpec Filling = onWorkers(step(2, 16'000), "second");
    Filling.LongRunning = FullForGood;
    addJob("batch", Filling);
    ASSERT_EQ(decide().Starts.size(), 2U);
    addJob("batch", onWorkers(gang(4, 16'000), "pair"));
    EXPECT_TRUE(decide().Starts.empty());
  }
};

// Guards against a task that lasts and is not started again as long as a gang
// waits for room.
TEST_F(ClaimsTest, ATaskThatLastsUsesThemAfterAShortWait) {
  for (const std::string Id : {"w1", "w2", "w3", "w4"})
    addWorker(Id);
  StepSpec Lasting = step(1, 7000);
  Lasting.LongRunning = true;
  const std::string Id = addJob("batch", Lasting);
  const auto Started = decide().Starts;
  ASSERT_EQ(Started.size(), 1U);
  addJob("batch", step(4, 18'000));
  ASSERT_EQ(decide().Starts.size(), 4U);
  Now += Duration{20'000}; // The job is past its firm deadline.
  addJob("batch", gang(12, 7000));
  EXPECT_TRUE(decide().Starts.empty());
  end(Started[0], EndKind::Failed);
  EXPECT_TRUE(startsInTime(Id));
}

// Guards against a gang that waits for room which a task that lasts never
// frees, and whose claims keep others from starting.
TEST_F(ClaimsTest, AGangThatNeedsTheRoomOfTasksThatLastHasNone) {
  addGangThatNeedsAFullWorker(true);
  EXPECT_EQ(Scheduler.worker("w1")->claimed(), Resources{});
}

// Guards against claims that keep a task from starting for as long as others
// run, while most of the cell is free.
TEST_F(ClaimsTest, ATaskUsesThemIfHalfOfTheCellIsFree) {
  addGangThatNeedsAFullWorker(false);
  ASSERT_NE(Scheduler.worker("w1")->claimed(), Resources{});
  EXPECT_TRUE(startsInTime(addJob("batch", onWorkers(step(1, 4000), "first"))));
}

// Guards against the same for a gang.
TEST_F(ClaimsTest, AGangUsesThemIfHalfOfTheCellIsFree) {
  addGangThatNeedsAFullWorker(false);
  ASSERT_NE(Scheduler.worker("w1")->claimed(), Resources{});
  EXPECT_TRUE(startsInTime(addJob("batch", onWorkers(gang(2, 4000), "first"))));
}

// Guards against claims of a gang that must not start before a lost run of it
// has ended.
TEST_F(ClaimsTest, AGangOfWhichALostRunIsAtWorkHasNone) {
  const WorkerIncarnation First = addWorker("w1");
  const WorkerIncarnation Second = addWorker("w2");
  addJob("batch", gang(4, 16'000));
  const auto Starts = decide().Starts;
  ASSERT_EQ(Starts.size(), 4U);
  std::vector<ActiveRun> Lost;
  for (const StartCommand &Start : Starts)
    if (Start.Worker == Second)
      Lost.push_back({Start.Task, Start.Run, "", 0});
  Scheduler.loseRuns(Second, WorkerLoss::LeaseExpired, Now);
  for (const StartCommand &Start : Starts)
    if (Start.Worker == First)
      end(Start, EndKind::Stopped);
  addWorker("w3");
  addJob("quick", step(1, 20'000));
  EXPECT_EQ(decide().Starts.size(), 1U);
  decide();
  EXPECT_GT(Scheduler.worker("w1")->claimed().CpuMillis +
                Scheduler.worker("w3")->claimed().CpuMillis,
            0);
  Scheduler.syncWorker(Second, Lost, {}, Now);
  decide();
  EXPECT_EQ(Scheduler.waitCauses().count(WaitCause::RunActive), 1U);
  for (const auto &[Id, Host] : Scheduler.workers())
    EXPECT_EQ(Host.claimed(), Resources{}) << Id;
}

// Guards against tasks that take what gangs accumulate in a full cell.
TEST_F(ClaimsTest, ATaskLeavesThemToTheGangInAFullCell) {
  for (const std::string Id : {"w1", "w2", "w3", "w4"})
    addWorker(Id);
  addJob("batch", step(4, 18'000));
  ASSERT_EQ(decide().Starts.size(), 4U);
  addJob("batch", gang(12, 7000));
  EXPECT_TRUE(decide().Starts.empty());
  EXPECT_FALSE(startsInTime(addJob("batch", step(1, 7000))));
}

// Guards against a task that lasts and asks for no advice, because all free
// resources are planned for gangs.
TEST_F(ClaimsTest, ATaskThatLastsAsksForAdviceAboutThem) {
  for (const std::string Id : {"w1", "w2", "w3", "w4"})
    addWorker(Id);
  addJob("batch", step(4, 18'000));
  ASSERT_EQ(decide().Starts.size(), 4U);
  StepSpec Lasting = step(1, 7000);
  Lasting.LongRunning = true;
  Lasting.RequiredLabel = "later";
  const std::string Id = addJob("advised", Lasting);
  Now += Duration{20'000}; // The job is past its firm deadline.
  decide();
  addJob("batch", gang(12, 7000));
  EXPECT_TRUE(decide().Starts.empty());
  for (const std::string Worker : {"w1", "w2", "w3", "w4"}) {
    WorkerInfo Info = Scheduler.worker(Worker)->info();
    Info.Labels = {"later"};
    Scheduler.updateWorker(Info, Now);
  }
  bool HasAsked = false;
  for (int Round = 0; Round < MaxStartRounds && !HasAsked; ++Round) {
    Now += MaxRoundInterval;
    for (const AdviceRequest &Request : Scheduler.decide(Now, Budget).Advice)
      HasAsked = HasAsked || Request.Step == stepName(Id, 0);
  }
  EXPECT_TRUE(HasAsked);
}

// Guards against workers that leave, and count as free ones, so that claims end
// in a full cell.
TEST_F(ClaimsTest, ATaskLeavesThemToTheGangWhileOtherWorkersDrain) {
  for (const std::string Id : {"w1", "w2", "w3", "w4"})
    addWorker(Id);
  addJob("batch", step(4, 18'000));
  ASSERT_EQ(decide().Starts.size(), 4U);
  for (const std::string Id : {"d1", "d2", "d3", "d4", "d5"}) {
    addWorker(Id);
    WorkerInfo Info = Scheduler.worker(Id)->info();
    Info.Draining = true;
    Scheduler.updateWorker(Info, Now);
  }
  addJob("batch", gang(12, 7000));
  EXPECT_TRUE(decide().Starts.empty());
  EXPECT_FALSE(startsInTime(addJob("batch", step(1, 7000))));
}

} // namespace
} // namespace apricotwing::jobs
