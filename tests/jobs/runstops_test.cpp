/// \file
/// Runs that have to end: a stop holds until the run is known to have ended.
#include "jobschedulertest.h"

namespace apricotwing::jobs {
namespace {

class RunStopsTest : public JobSchedulerTest {
protected:
  /// Starts a job of one task on \p Host and cancels it.
  StartCommand startAndCancel() {
    const std::string Job = addJob("batch", step(1, 1000));
    const Decisions Made = decide();
    EXPECT_EQ(Made.Starts.size(), 1U);
    Scheduler.cancel(Job, Now);
    return Made.Starts.at(0);
  }

  /// A stored gang of four tasks, of which the first is on \p First.
  static JobProgress storedGang(const WorkerIncarnation &First,
                                const WorkerIncarnation &Rest) {
    JobProgress Stored;
    Stored.Queue = "batch";
    Stored.Steps.resize(1);
    Stored.Steps[0].Placed[0] = {First, 3};
    for (int Index = 1; Index < 4; ++Index)
      Stored.Steps[0].Placed[Index] = {Rest, 3};
    return Stored;
  }

  void restoreGang(const JobProgress &Stored) {
    JobSpec Spec;
    Spec.Id = "gang";
    Spec.Queue = "batch";
    Spec.Account = "large";
    Spec.Steps = {step(4, 1000)};
    Spec.Steps[0].Gang = true;
    Scheduler.restore(Spec, Stored, Duration{0}, Now);
  }
};

TEST_F(RunStopsTest, RepeatsAStopThatWasLostWithTheSupervisor) {
  const WorkerIncarnation Host = addWorker("w0");
  const StartCommand Start = startAndCancel();
  EXPECT_EQ(decide().Stops.size(), 1U);
  Scheduler.markUnsynced(Host);
  Scheduler.syncWorker(Host, {{Start.Task, Start.Run, "", 0}}, {}, Now);
  EXPECT_EQ(decide().Stops.size(), 1U);
}

TEST_F(RunStopsTest, RepeatsAStopThatHasNoEffect) {
  addWorker("w0");
  startAndCancel();
  EXPECT_EQ(decide().Stops.size(), 1U);
  EXPECT_EQ(decide().Stops.size(), 0U);
  Now += Duration{2000};
  EXPECT_EQ(decide().Stops.size(), 1U);
}

TEST_F(RunStopsTest, GivesAStopOnceTheListsOfTheWorkerWereRead) {
  const WorkerIncarnation Host = addWorker("w0");
  const std::string Job = addJob("batch", step(1, 1000));
  const StartCommand Start = decide().Starts.at(0);
  Scheduler.markUnsynced(Host);
  Scheduler.cancel(Job, Now);
  decide();
  Now += Duration{50};
  Scheduler.syncWorker(Host, {{Start.Task, Start.Run, "", 0}}, {}, Now);
  EXPECT_EQ(decide().Stops.size(), 1U);
}

TEST_F(RunStopsTest, StopsNothingThatHasEnded) {
  const WorkerIncarnation Host = addWorker("w0");
  end(startAndCancel(), EndKind::Stopped);
  startAndCancel();
  Scheduler.syncWorker(Host, {}, {}, Now);
  startAndCancel();
  Scheduler.loseRuns(Host, WorkerLoss::LeaseExpired, Now);
  Now += Duration{2000};
  EXPECT_EQ(decide().Stops.size(), 0U);
  EXPECT_TRUE(Scheduler.runsToStop().empty());
}

TEST_F(RunStopsTest, StopsARunThatOutlivedItsLease) {
  const WorkerIncarnation Host = addWorker("w0");
  const StartCommand Start = startAndCancel();
  decide();
  Scheduler.loseRuns(Host, WorkerLoss::LeaseExpired, Now);
  Scheduler.syncWorker(Host, {{Start.Task, Start.Run, "", 0}}, {}, Now);
  EXPECT_EQ(decide().Stops.size(), 1U);
}

TEST_F(RunStopsTest, RepeatsTheStopOfARunWhoseJobIsForgotten) {
  const WorkerIncarnation Host = addWorker("w0");
  const StartCommand Start = startAndCancel();
  decide();
  Scheduler.forget(TaskId::parse(Start.Task)->Job);
  Scheduler.syncWorker(Host, {{Start.Task, Start.Run, "", 0}}, {}, Now);
  EXPECT_EQ(decide().Stops.size(), 1U);
}

TEST_F(RunStopsTest, ANewLeaderStopsTheRestOfAnIncompleteGang) {
  const WorkerIncarnation Host = addWorker("w0");
  JobProgress Stored = storedGang(Host, Host);
  Stored.Steps[0].Placed.erase(0);
  restoreGang(Stored);
  EXPECT_EQ(decide().Stops.size(), 3U);
}

TEST_F(RunStopsTest, ANewLeaderStopsAGangWhoseFirstWorkerIsLost) {
  const WorkerIncarnation Host = addWorker("w0");
  restoreGang(storedGang({"lost", 1}, Host));
  EXPECT_EQ(decide().Stops.size(), 3U);
}

// Guards against a start beside a run of the same task that has to end.
TEST_F(RunStopsTest, StartsNoTaskOnAWorkerThatStillRunsIt) {
  const WorkerIncarnation Host = addWorker("w0");
  addJob("batch", step(1, 1000));
  const StartCommand Start = decide().Starts.at(0);
  Scheduler.loseRuns(Host, WorkerLoss::LeaseExpired, Now);
  Scheduler.syncWorker(Host, {{Start.Task, Start.Run, "", 0}}, {}, Now);
  const Decisions Made = decide();
  EXPECT_EQ(Made.Stops.size(), 1U);
  EXPECT_EQ(Made.Starts.size(), 0U);
}

// Guards against resources that stay allocated to a run that has ended.
TEST_F(RunStopsTest, FreesTheResourcesOfBothRunsOfATaskOnOneWorker) {
  const WorkerIncarnation Host = addWorker("w0");
  addJob("batch", step(1, 1000));
  const StartCommand First = decide().Starts.at(0);
  Scheduler.loseRuns(Host, WorkerLoss::LeaseExpired, Now);
  Scheduler.syncWorker(Host, {{First.Task, First.Run, "", 0}}, {}, Now);
  Decisions Made = decide();
  end(First, EndKind::Stopped);
  if (Made.Starts.empty())
    Made = decide();
  ASSERT_EQ(Made.Starts.size(), 1U);
  end(Made.Starts[0], EndKind::Done);
  EXPECT_TRUE(Scheduler.runsToStop().empty());
  EXPECT_TRUE(Scheduler.worker("w0")->runs().empty());
  EXPECT_EQ(Scheduler.worker("w0")->freeResources().CpuMillis, 32'000);
}

// Guards against a run that is not stopped as a later one of its task is known.
TEST_F(RunStopsTest, StopsBothRunsOfATaskWhoseJobIsCancelled) {
  const WorkerIncarnation Host = addWorker("w0");
  const std::string Job = addJob("batch", step(1, 1000));
  const StartCommand First = decide().Starts.at(0);
  Scheduler.loseRuns(Host, WorkerLoss::LeaseExpired, Now);
  Scheduler.syncWorker(Host, {{First.Task, First.Run, "", 0}}, {}, Now);
  const std::size_t Starts = decide().Starts.size();
  Scheduler.cancel(Job, Now);
  EXPECT_EQ(Scheduler.runsToStop().size(), 1U + Starts);
}

} // namespace
} // namespace apricotwing::jobs
