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

} // namespace
} // namespace apricotwing::jobs
