/// \file
/// Runs on workers that leave at short notice.
#include "jobschedulertest.h"

#include <algorithm>
#include <map>
#include <optional>

namespace apricotwing::jobs {
namespace {

SchedulerOptions migrating() {
  SchedulerOptions Options;
  Options.MigrateFromLeavingWorkers = true;
  return Options;
}

class DeparturesTest : public JobSchedulerTest {
protected:
  DeparturesTest() : JobSchedulerTest(migrating()) {}

  void drain(const std::string &Id, Duration Remaining = Duration{2500}) {
    WorkerInfo Info = Scheduler.worker(Id)->info();
    Info.Draining = true;
    Info.Remaining = Remaining;
    Scheduler.updateWorker(Info, Now);
  }

  void undrain(const std::string &Id) {
    WorkerInfo Info = Scheduler.worker(Id)->info();
    Info.Draining = false;
    Info.Remaining = Duration{0};
    Scheduler.updateWorker(Info, Now);
  }

  /// A step of \p Count tasks that fill a worker each and take 10 s.
  static StepSpec largeStep(int Count, bool Checkpointing) {
    StepSpec Step = step(Count, 32'000, Duration{10'000});
    Step.Checkpointing = Checkpointing;
    return Step;
  }

  /// Ends the stopped run with a checkpoint and returns its next start.
  std::optional<StartCommand> restart(const StopCommand &Stop) {
    Scheduler.runEnded(
        Stop.Worker, {++LastEnd, Stop.Task, Stop.Run, EndKind::Stopped, "half"},
        Now);
    Decisions Made = decide();
    if (Made.Starts.empty())
      Made = decide(); // The step got a new rank.
    if (Made.Starts.empty())
      return std::nullopt;
    return Made.Starts.front();
  }
};

TEST_F(DeparturesTest, MovesARunWithItsCheckpoint) {
  addWorker("w0");
  addJob("batch", largeStep(1, true));
  const StartCommand First = decide().Starts.at(0);
  addWorker("w1");
  drain("w0");
  const Decisions Made = decide();
  ASSERT_EQ(Made.Stops.size(), 1U);
  EXPECT_EQ(Made.Starts.size(), 0U); // Its end is not known yet.
  ASSERT_EQ(Made.Migrations.size(), 1U);
  EXPECT_EQ(Scheduler.migratedRuns(), 1U);
  EXPECT_EQ(decide().Starts.size(), 0U);
  const auto Second = restart(Made.Stops[0]);
  ASSERT_TRUE(Second);
  EXPECT_EQ(Second->Worker.Id, "w1");
  EXPECT_EQ(Second->Checkpoint, "half");
  EXPECT_GT(Second->Run, First.Run);
}

// Guards against a switch that is ignored.
TEST_F(JobSchedulerTest, MovesNoRunUnlessEnabled) {
  addWorker("w0");
  addJob("batch", step(1, 1000, Duration{10'000}));
  decide();
  addWorker("w1");
  WorkerInfo Info = Scheduler.worker("w0")->info();
  Info.Draining = true;
  Scheduler.updateWorker(Info, Now);
  EXPECT_EQ(decide().Stops.size(), 0U);
}

// Guards against runs that are stopped although nobody said that their worker
// leaves: the leader only uses it no longer.
TEST_F(DeparturesTest, KeepsRunsIfTheDrainIsOnlyAssumed) {
  addWorker("w0");
  addJob("batch", largeStep(1, false));
  decide();
  addWorker("w1");
  WorkerInfo Info = Scheduler.worker("w0")->info();
  Info.Draining = true;
  Info.DrainAssumed = true;
  Scheduler.updateWorker(Info, Now);
  EXPECT_EQ(decide().Stops.size(), 0U);
}

// Guards against a time left that starts anew with each repeated row.
TEST_F(DeparturesTest, CountsTheTimeLeftFromTheFirstReport) {
  addWorker("w0");
  addJob("batch", largeStep(1, true));
  decide();
  drain("w0");
  EXPECT_EQ(decide().Stops.size(), 0U); // No room elsewhere.
  Now += Duration{800};
  resize("w0", 40'000);
  EXPECT_EQ(decide().Stops.size(), 0U);
  Now += Duration{800};
  EXPECT_EQ(decide().Stops.size(), 1U);
}

// Guards against a worker without a stated time that is taken for one that
// leaves at once.
TEST_F(DeparturesTest, AssumesTheUsualTimeIfNoneIsStated) {
  addWorker("w0");
  addJob("batch", step(1, 1000, Duration{1000}));
  decide();
  addWorker("w1");
  drain("w0", Duration{0});
  EXPECT_EQ(decide().Stops.size(), 0U);
}

// Guards against two runs that are stopped for the same free room.
TEST_F(DeparturesTest, PromisesFreeRoomOnce) {
  addWorker("w0");
  addWorker("w1");
  addJob("batch", largeStep(1, true));
  addJob("batch", largeStep(1, true));
  ASSERT_EQ(decide().Starts.size(), 2U);
  addWorker("w2");
  drain("w0");
  drain("w1");
  EXPECT_EQ(decide().Stops.size(), 1U);
  EXPECT_EQ(decide().Stops.size(), 0U);
}

// Guards against members that go on alone, and against a gang that is stopped
// to wait.
TEST_F(DeparturesTest, StopsAGangAsAWholeIfItFitsElsewhere) {
  for (const std::string Id : {"w0", "w1", "w2"})
    addWorker(Id);
  StepSpec Step = largeStep(3, true);
  Step.Gang = true;
  addJob("batch", Step);
  ASSERT_EQ(decide().Starts.size(), 3U);
  drain("w0");
  drain("w1");
  addWorker("w3");
  EXPECT_EQ(decide().Stops.size(), 0U);
  addWorker("w4");
  const Decisions Made = decide();
  ASSERT_EQ(Made.Stops.size(), 3U);
  EXPECT_EQ(Made.Migrations.size(), 1U);
  EXPECT_FALSE(restart(Made.Stops[0]));
  EXPECT_FALSE(restart(Made.Stops[1]));
  EXPECT_TRUE(restart(Made.Stops[2]));
  EXPECT_EQ(Scheduler.find("job1")->Steps[0].GangFailures, 0);
}

// Guards against more tasks that last and don't run than their step tolerates.
TEST_F(DeparturesTest, StopsTasksThatLastOneAfterTheOther) {
  addWorker("w0");
  StepSpec Step = step(3, 1000);
  Step.LongRunning = true;
  Step.MissTolerance = 1;
  addJob("batch", Step);
  ASSERT_EQ(decide().Starts.size(), 3U);
  addWorker("w1");
  Now += Duration{5000};
  drain("w0", Duration{10'000});
  for (int Index = 0; Index < 3; ++Index) {
    const Decisions Made = decide();
    ASSERT_EQ(Made.Stops.size(), 1U) << Index;
    EXPECT_EQ(decide().Stops.size(), 0U);
    ASSERT_TRUE(restart(Made.Stops[0]));
    EXPECT_EQ(decide().Stops.size(), 0U); // It has just been started.
    Now += Duration{1000};
  }
  EXPECT_EQ(decide().Stops.size(), 0U);
}

// Guards against a task that is done and is started again because it was to be
// moved.
TEST_F(DeparturesTest, CountsARunThatEndedBeforeItsStop) {
  addWorker("w0");
  const std::string Id = addJob("batch", largeStep(1, false));
  const StartCommand Start = decide().Starts.at(0);
  addWorker("w1");
  drain("w0");
  ASSERT_EQ(decide().Stops.size(), 1U);
  end(Start, EndKind::Done);
  EXPECT_EQ(decide().Starts.size(), 0U);
  EXPECT_EQ(Scheduler.find(Id)->Phase, JobPhase::Completed);
}

// Guards against attempts that are used up, and tasks that become suspects, by
// stops on workers that leave.
TEST_F(DeparturesTest, StopsCountNeitherAsFailuresNorAsCrashes) {
  const std::string Id = addJob("batch", largeStep(1, false));
  addWorker("w0");
  StartCommand Start = decide().Starts.at(0);
  Scheduler.markDispatched(Start);
  for (int Number = 1; Number <= 6; ++Number) {
    const std::string Former = Start.Worker.Id;
    addWorker("w" + std::to_string(Number));
    drain(Former);
    const Decisions Made = decide();
    ASSERT_EQ(Made.Stops.size(), 1U);
    if (Number % 2 == 0) {
      // The next process of the worker shows that the former one has ended.
      WorkerInfo Next = Scheduler.worker(Former)->info();
      Next.Incarnation.StartedUnixMs = 2;
      Scheduler.updateWorker(Next, Now);
    } else {
      end(Start, EndKind::Stopped);
    }
    const Decisions Again = decide();
    ASSERT_EQ(Again.Starts.size(), 1U);
    Start = Again.Starts[0];
    Scheduler.markDispatched(Start);
  }
  const TaskState &Task = Scheduler.find(Id)->Steps[0].Tasks[0];
  EXPECT_EQ(Task.Failures, 0);
  EXPECT_FALSE(Task.Crashes.isSuspect());
  EXPECT_EQ(Scheduler.find(Id)->Phase, JobPhase::Active);
}

// Guards against a stop that is forgotten, so that a run is started beside it,
// if its worker returns to ready meanwhile.
TEST_F(DeparturesTest, WaitsForTheStopOnAWorkerThatStays) {
  addWorker("w0");
  addJob("batch", largeStep(1, true));
  decide();
  addWorker("w1");
  drain("w0");
  const Decisions Made = decide();
  ASSERT_EQ(Made.Stops.size(), 1U);
  undrain("w0");
  Now += Duration{1500};
  const Decisions Later = decide();
  EXPECT_EQ(Later.Starts.size(), 0U);
  EXPECT_EQ(Later.Stops.size(), 1U);
  EXPECT_TRUE(restart(Made.Stops[0]));
  EXPECT_EQ(decide().Stops.size(), 0U);
}

// Guards against a stop without an answer that is taken for an end.
TEST_F(DeparturesTest, StartsATaskAgainOnceItsWorkerIsGone) {
  const WorkerIncarnation Host = addWorker("w0");
  addJob("batch", largeStep(1, true));
  decide();
  addWorker("w1");
  drain("w0");
  EXPECT_EQ(decide().Stops.size(), 1U);
  for (int Round = 0; Round < 3; ++Round) {
    Now += Duration{1300};
    const Decisions Made = decide();
    EXPECT_EQ(Made.Starts.size(), 0U);
    EXPECT_EQ(Made.Stops.size(), 1U);
  }
  Scheduler.removeWorker(Host, WorkerLoss::Announced, Now);
  EXPECT_EQ(decide().Starts.size(), 1U);
}

} // namespace
} // namespace apricotwing::jobs
