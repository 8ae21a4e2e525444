#include "jobs/jobschedulertest.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace apricotwing::jobs {
namespace {

class GangPlacementTest : public JobSchedulerTest {
protected:
  /// Fills four workers with two tasks of 16 cores each; returns the starts by
  /// worker.
  std::map<std::string, std::vector<StartCommand>> fillWorkers() {
    for (const std::string Id : {"w1", "w2", "w3", "w4"})
      addWorker(Id);
    addJob("batch", step(8, 16'000));
    std::map<std::string, std::vector<StartCommand>> Result;
    for (const StartCommand &Start : decide().Starts)
      Result[Start.Worker.Id].push_back(Start);
    return Result;
  }

  static StepSpec gang(int Count, std::int64_t CpuMillis) {
    StepSpec Step = step(Count, CpuMillis);
    Step.Gang = true;
    return Step;
  }
};

// Guards against a gang that waits until whole workers are empty, while one
// room on each of several workers is enough for it.
TEST_F(GangPlacementTest, GathersRoomsOnWorkersThatAreInUse) {
  const auto Filling = fillWorkers();
  const std::string Id = addJob("quick", gang(4, 16'000));
  addJob("batch", step(8, 16'000));
  int Ended = 0;
  for (const auto &[Worker, Starts] : Filling) {
    end(Starts.front(), EndKind::Done);
    const Decisions Made = decide();
    // Nobody else takes the rooms that the gang has gathered.
    ASSERT_EQ(Made.Starts.size(), ++Ended == 4 ? 4U : 0U) << Worker;
    for (const StartCommand &Start : Made.Starts)
      EXPECT_TRUE(Start.Task.starts_with(Id));
  }
}

TEST_F(GangPlacementTest, GivesClaimsBackWhenTheJobIsCancelled) {
  const auto Filling = fillWorkers();
  const std::string Id = addJob("quick", gang(4, 16'000));
  end(Filling.begin()->second.front(), EndKind::Done);
  EXPECT_TRUE(decide().Starts.empty());
  addJob("batch", step(1, 16'000));
  EXPECT_TRUE(decide().Starts.empty());
  Scheduler.cancel(Id, Now);
  EXPECT_EQ(decide().Starts.size(), 1U);
}

// Guards against room that stands empty for a gang whose account may not run
// it at present.
TEST_F(GangPlacementTest, ClaimsNothingForAnAccountAtItsLimit) {
  const auto Filling = fillWorkers();
  addJob("quick", step(4, 2000), "small");
  addJob("quick", gang(4, 2000), "small"); // Both together exceed 8 cores.
  end(Filling.begin()->second.front(), EndKind::Done);
  EXPECT_EQ(decide().Starts.size(), 4U);
  EXPECT_TRUE(decide().Starts.empty());
  for (const auto &[Id, Host] : Scheduler.workers())
    EXPECT_EQ(Host.claimed(), Resources{});
}

// Guards against a second call for advice, which costs over half a second,
// because the first named hardly more workers than were needed.
TEST_F(GangPlacementTest, NamesAsManyWorkersAsTheFixedCostOfACallIsWorth) {
  for (int Number = 0; Number < 80; ++Number)
    addWorker("w" + std::to_string(Number));
  addJob("advised", gang(3, 9000));
  const Decisions Made = decide();
  ASSERT_EQ(Made.Advice.size(), 1U);
  EXPECT_EQ(Made.Advice[0].Workers.size(), 34U); // 480 ms / 2 / 7 ms.
}

// Guards against steps that all count on the same rooms: most of them found
// these taken when their answers came.
TEST_F(GangPlacementTest, StepsThatAskAtOneTimeBeginAtDifferentWorkers) {
  for (int Number = 0; Number < 300; ++Number)
    addWorker("w" + std::to_string(Number));
  std::set<std::string> Named;
  std::size_t Names = 0;
  for (int Number = 0; Number < 4; ++Number)
    addJob("cheap", step(2, 9000));
  for (const AdviceRequest &Request : decide().Advice) {
    Names += Request.Workers.size();
    Named.insert(Request.Workers.begin(), Request.Workers.end());
  }
  EXPECT_GT(Names, 100U);
  EXPECT_GT(Named.size(), Names / 2);
}

// Guards against hundreds of jobs that are of no use any more and ask again
// whenever their tickets have run out: after an outage, all others waited for
// advice behind them.
TEST_F(GangPlacementTest, UselessJobsLeaveHalfOfTheAdviceToOthers) {
  addWorker("w1");
  const std::string Old = addJob("cheap", step(1, 9000));
  Now += Duration{60'000}; // Far beyond its due time.
  Budget = AdviceBudget{4, 200, 4, 500};
  EXPECT_TRUE(decide().Advice.empty());
  const std::string Fresh = addJob("cheap", step(1, 9000));
  const Decisions Made = decide();
  ASSERT_EQ(Made.Advice.size(), 1U);
  EXPECT_TRUE(Made.Advice[0].Step.starts_with(Fresh));
  Budget = AdviceBudget{4, 500, 4, 500};
  const Decisions Idle = decide();
  ASSERT_EQ(Idle.Advice.size(), 1U);
  EXPECT_TRUE(Idle.Advice[0].Step.starts_with(Old));
}

// Guards against a quick task that waits for room which a gang gathers.
TEST_F(GangPlacementTest, UrgentTasksUseRoomThatAGangGathers) {
  const auto Filling = fillWorkers();
  StepSpec Large = gang(4, 16'000);
  Large.Estimate = Duration{9000};
  addJob("batch", Large);
  end(Filling.begin()->second.front(), EndKind::Done);
  EXPECT_TRUE(decide().Starts.empty());
  const std::string Id = addJob("quick", step(1, 4000));
  const Decisions Made = decide();
  ASSERT_EQ(Made.Starts.size(), 1U);
  EXPECT_TRUE(Made.Starts[0].Task.starts_with(Id));
}

} // namespace
} // namespace apricotwing::jobs
