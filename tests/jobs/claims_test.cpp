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

// Guards against a gang that waits for room which a task that lasts never
// frees, and whose claims keep others from starting.
TEST_F(ClaimsTest, AGangThatNeedsTheRoomOfTasksThatLastHasNone) {
  addGangThatNeedsAFullWorker(true);
  EXPECT_EQ(Scheduler.worker("w1")->claimed(), Resources{});
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

} // namespace
} // namespace apricotwing::jobs
