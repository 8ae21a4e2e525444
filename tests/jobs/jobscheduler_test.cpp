#include "jobs/jobschedulertest.h"

#include "jobs/admissioncontroller.h"

#include <map>
#include <set>
#include <string>

namespace apricotwing::jobs {
namespace {

// Guards against a worker that gets more tasks than its resources allow.
TEST_F(JobSchedulerTest, NeverPlacesMoreThanAWorkerHas) {
  addWorker("w1");
  addJob("batch", step(10, 9000));
  const Decisions Made = decide();
  EXPECT_EQ(Made.Starts.size(), 3U);
  EXPECT_EQ(decide().Starts.size(), 0U);
  end(Made.Starts[0], EndKind::Done);
  EXPECT_EQ(decide().Starts.size(), 1U);
}

// Guards against a count of waiting jobs that omits jobs whose starts were all
// refused: under high load, 71 were reported while 153 were waiting.
TEST_F(JobSchedulerTest, CountsAJobAsWaitingAfterRefusedStarts) {
  addWorker("w1");
  const std::string Id = addJob("batch", step(2, 1000));
  EXPECT_EQ(Scheduler.pending("batch"), 1);
  Decisions Made = decide();
  ASSERT_EQ(Made.Starts.size(), 2U);
  EXPECT_EQ(Scheduler.pending("batch"), 1);
  EXPECT_EQ(Scheduler.view(Id), JobView::Queued);
  for (const StartCommand &Start : Made.Starts)
    Scheduler.startRefused(Start.Worker, Start.Task, Start.Run,
                           StartRefusal::Expired, Now);
  EXPECT_EQ(Scheduler.pending("batch"), 1);
  EXPECT_EQ(Scheduler.view(Id), JobView::Queued);
  Made = decide();
  ASSERT_EQ(Made.Starts.size(), 2U);
  end(Made.Starts[0], EndKind::Stopped);
  Scheduler.startRefused(Made.Starts[1].Worker, Made.Starts[1].Task,
                         Made.Starts[1].Run, StartRefusal::Expired, Now);
  EXPECT_EQ(Scheduler.pending("batch"), 0);
  EXPECT_EQ(Scheduler.view(Id), JobView::InProgress);
}

// Guards against an account that uses more than its resource limit.
TEST_F(JobSchedulerTest, KeepsAnAccountBelowItsLimit) {
  addWorker("w1");
  addJob("batch", step(10, 1000), "small");
  EXPECT_EQ(decide().Starts.size(), 8U);
}

// Guards against a step that starts before all tasks of its dependencies ended.
TEST_F(JobSchedulerTest, StartsAStepOnlyAfterItsDependencies) {
  addWorker("w1");
  JobSpec Spec;
  Spec.Id = "chain";
  Spec.Queue = "batch";
  Spec.Steps = {step(2, 1000), step(1, 1000)};
  Spec.Steps[1].After = {0};
  Scheduler.add(Spec, false, Now);
  const Decisions First = decide();
  ASSERT_EQ(First.Starts.size(), 2U);
  end(First.Starts[0], EndKind::Done);
  EXPECT_EQ(decide().Starts.size(), 0U);
  end(First.Starts[1], EndKind::Done);
  EXPECT_EQ(decide().Starts.size(), 1U);
}

// Guards against a gang that starts in part and occupies resources without
// making progress.
TEST_F(JobSchedulerTest, PlacesAGangWholeOrNotAtAll) {
  addWorker("w1");
  StepSpec Gang = step(4, 9000);
  Gang.Gang = true;
  addJob("batch", Gang);
  EXPECT_EQ(decide().Starts.size(), 0U);
  addWorker("w2");
  const Decisions Made = decide();
  ASSERT_EQ(Made.Starts.size(), 4U);
  for (const StartCommand &Start : Made.Starts)
    EXPECT_EQ(Start.Run, Made.Starts[0].Run);
}

// Guards against a shard without workers that never asks for any.
TEST_F(JobSchedulerTest, TellsHowLongAStepHasWaitedWithoutAnyWorker) {
  addJob("batch", step(1, 1000));
  decide();
  Now += Duration{3000};
  EXPECT_GE(Scheduler.longestWait(Now), Duration{3000});
}

// Guards against members of a gang that keep running after the start of another
// member was refused.
TEST_F(JobSchedulerTest, StopsAGangOfWhichOneMemberWasRefused) {
  addWorker("w1");
  addWorker("w2");
  StepSpec Gang = step(4, 9000);
  Gang.Gang = true;
  addJob("batch", Gang);
  const Decisions Made = decide();
  ASSERT_EQ(Made.Starts.size(), 4U);
  Scheduler.startRefused(Made.Starts[0].Worker, Made.Starts[0].Task,
                         Made.Starts[0].Run, StartRefusal::Expired, Now);
  EXPECT_EQ(decide().Stops.size(), 3U);
  for (int Index = 1; Index < 4; ++Index)
    end(Made.Starts[std::size_t(Index)], EndKind::Stopped);
  const Decisions Again = decide();
  ASSERT_EQ(Again.Starts.size(), 4U);
  EXPECT_GT(Again.Starts[0].Run, Made.Starts[0].Run);
}

// Guards against a failed job that starts further runs or whose other tasks
// keep running.
TEST_F(JobSchedulerTest, StopsAllTasksOfAJobAfterItsLastAttemptFailed) {
  addWorker("w1");
  addWorker("w2");
  const std::string Id = addJob("batch", step(2, 1000));
  Decisions Made = decide();
  ASSERT_EQ(Made.Starts.size(), 2U);
  const StartCommand Other = Made.Starts[1];
  end(Made.Starts[0], EndKind::Failed);
  Made = decide();
  ASSERT_EQ(Made.Starts.size(), 1U);
  end(Made.Starts[0], EndKind::Failed);
  EXPECT_EQ(Scheduler.find(Id)->Phase, JobPhase::Failed);
  Made = decide();
  ASSERT_EQ(Made.Stops.size(), 1U);
  EXPECT_EQ(Made.Stops[0].Task, Other.Task);
  EXPECT_TRUE(Made.Starts.empty());
}

// Guards against a task that is started again after its success, as the end of
// the run, which was acknowledged, came when another run had replaced it.
TEST_F(JobSchedulerTest, CountsTheSuccessOfARunThatAnotherHasReplaced) {
  for (const EndKind LaterEnd :
       {EndKind::Stopped, EndKind::Done, EndKind::Failed}) {
    const auto [First, Second] = replaceRun("batch", step(1, 1000));
    end(First, EndKind::Done);
    const std::string Id = TaskId::parse(First.Task)->Job;
    EXPECT_EQ(Scheduler.find(Id)->Phase, JobPhase::Completed);
    expectOnlyStopped({Second});
    end(Second, LaterEnd);
    expectOnlyStopped({});
    EXPECT_EQ(Scheduler.find(Id)->Phase, JobPhase::Completed);
  }
}

// Guards against the same if the newer run is lost, before or after that end.
TEST_F(JobSchedulerTest, CountsTheSuccessOfARunWhoseReplacementIsLost) {
  for (const bool IsLostBefore : {true, false}) {
    const auto [First, Second] = replaceRun("batch", step(1, 1000));
    if (IsLostBefore)
      Scheduler.loseRuns(Second.Worker, WorkerLoss::LeaseExpired, Now);
    end(First, EndKind::Done);
    if (!IsLostBefore)
      Scheduler.loseRuns(Second.Worker, WorkerLoss::LeaseExpired, Now);
    Scheduler.syncWorker(Second.Worker, {}, {}, Now);
    expectOnlyStopped({});
    const std::string Id = TaskId::parse(First.Task)->Job;
    EXPECT_EQ(Scheduler.find(Id)->Phase, JobPhase::Completed);
  }
}

// Guards against the same if a new leader knows of no run of the task.
TEST_F(JobSchedulerTest, ANewLeaderCountsTheSuccessOfARunThatItDoesNotKnow) {
  JobSpec Spec;
  Spec.Id = "old";
  Spec.Queue = "batch";
  Spec.Steps = {step(1, 1000)};
  const WorkerIncarnation Host = addWorker("w1");
  Scheduler.restore(Spec, JobProgress{}, Duration{0}, Now);
  Scheduler.markUnsynced(Host);
  Scheduler.syncWorker(Host, {}, {{1, "old.0.0.0", 3, EndKind::Done, ""}}, Now);
  expectOnlyStopped({});
  EXPECT_EQ(Scheduler.find("old")->Phase, JobPhase::Completed);
}

// Guards against a start beyond the attempts of a task: failures are
// acknowledged too when another run has replaced theirs.
TEST_F(JobSchedulerTest, CountsTheFailureOfARunThatAnotherHasReplaced) {
  const auto [First, Second] = replaceRun("batch", step(1, 1000));
  end(First, EndKind::Failed);
  const std::string Id = TaskId::parse(First.Task)->Job;
  EXPECT_EQ(Scheduler.find(Id)->Phase, JobPhase::Active);
  // The end is listed again if its acknowledgement got lost.
  end(First, EndKind::Failed);
  EXPECT_EQ(Scheduler.find(Id)->Phase, JobPhase::Active);
  end(Second, EndKind::Failed);
  EXPECT_EQ(Scheduler.find(Id)->Phase, JobPhase::Failed);
  expectOnlyStopped({});
}

// Guards against a start that is sent after the success of the task became
// known: the placement was still being stored.
TEST_F(JobSchedulerTest, SendsNoStartOfATaskWhoseFormerRunHasSucceeded) {
  const auto [First, Second] = replaceRun("batch", step(1, 1000), false);
  EXPECT_TRUE(Scheduler.isCurrent(Second));
  end(First, EndKind::Done);
  EXPECT_FALSE(Scheduler.isCurrent(Second));
  Scheduler.startRefused(Second.Worker, Second.Task, Second.Run,
                         StartRefusal::Expired, Now);
  expectOnlyStopped({});
  EXPECT_TRUE(Scheduler.worker(Second.Worker.Id)->runs().empty());
}

// Guards against a gang that is started again, or goes on in part, after a
// member of an earlier run has succeeded.
TEST_F(JobSchedulerTest, TheSuccessOfAMemberEndsTheNextRunOfItsGang) {
  const WorkerIncarnation Lost = addWorker("w1");
  const WorkerIncarnation Other = addWorker("w2");
  addWorker("w3");
  StepSpec Gang = step(4, 15'000);
  Gang.Gang = true;
  const std::string Id = addJob("batch", Gang);
  const Decisions Made = decide();
  ASSERT_EQ(Made.Starts.size(), 4U);
  StartCommand First = Made.Starts[0];
  for (const StartCommand &Start : Made.Starts)
    Scheduler.markDispatched(Start);
  for (const StartCommand &Start : Made.Starts)
    if (Start.Worker == Lost)
      First = Start;
  ASSERT_EQ(First.Worker, Lost);
  Scheduler.loseRuns(Lost, WorkerLoss::LeaseExpired, Now);
  for (const StartCommand &Start : Made.Starts)
    if (Start.Worker != Lost)
      end(Start, EndKind::Broken);
  Scheduler.syncWorker(Lost, {}, {}, Now);
  const Decisions Again = decide();
  ASSERT_EQ(Again.Starts.size(), 4U);
  for (const StartCommand &Start : Again.Starts)
    Scheduler.markDispatched(Start);
  end(First, EndKind::Done);
  EXPECT_EQ(Scheduler.find(Id)->Phase, JobPhase::Completed);
  expectOnlyStopped(Again.Starts);
  for (const StartCommand &Start : Again.Starts)
    end(Start, EndKind::Stopped);
  expectOnlyStopped({});
  EXPECT_TRUE(Scheduler.worker(Other.Id)->runs().empty());
}

// Guards against a job that goes on only when the newer run has ended.
TEST_F(JobSchedulerTest, TheSuccessOfAReplacedRunStartsTheNextStep) {
  addWorker("w1");
  addWorker("w2");
  JobSpec Spec;
  Spec.Id = "chain";
  Spec.Queue = "batch";
  Spec.Steps = {step(1, 1000), step(1, 1000)};
  Spec.Steps[1].After = {0};
  Scheduler.add(Spec, false, Now);
  const auto [First, Second] = replacePlacedRun();
  end(First, EndKind::Done);
  const Decisions Made = decide();
  ASSERT_EQ(Made.Starts.size(), 1U);
  EXPECT_EQ(Made.Starts[0].Task, "chain.0.1.0");
  ASSERT_EQ(Made.Stops.size(), 1U);
  EXPECT_EQ(Made.Stops[0].Run, Second.Run);
}

// Guards against a task that lasts and is stopped as a former run has ended.
TEST_F(JobSchedulerTest, KeepsATaskThatLastsWhenAReplacedRunHasEnded) {
  StepSpec Lasting = step(1, 1000);
  Lasting.LongRunning = true;
  const auto [First, Second] = replaceRun("batch", Lasting);
  end(First, EndKind::Done);
  expectOnlyStopped({});
  EXPECT_EQ(Scheduler.worker(Second.Worker.Id)->runs().size(), 1U);
}

// Guards against a task that runs twice because its restored placement was
// ignored while its run was still active.
TEST_F(JobSchedulerTest, LooksForARestoredPlacementOnItsWorker) {
  WorkerInfo Info;
  Info.Incarnation = {"w1", 1};
  Info.Upstream = "service";
  Info.Capacity = {32'000, 65'536, 0};
  Scheduler.updateWorker(Info, Now);
  addWorker("w2");
  JobSpec Spec;
  Spec.Id = "old";
  Spec.Queue = "batch";
  Spec.Steps = {step(2, 1000)};
  JobProgress Stored;
  Stored.Steps.resize(1);
  Stored.Steps[0].Placed[0] = {Info.Incarnation, 1};
  Stored.Steps[0].Placed[1] = {Info.Incarnation, 1};
  Scheduler.restore(Spec, Stored, Duration{0}, Now);
  EXPECT_EQ(decide().Starts.size(), 0U);
  // One of the two runs is active there; the other never started.
  Scheduler.syncWorker(Info.Incarnation, {{"old.0.0.0", 1, "", 10}}, {}, Now);
  const Decisions Made = decide();
  ASSERT_EQ(Made.Starts.size(), 1U);
  EXPECT_EQ(Made.Starts[0].Task, "old.0.0.1");
}

// Guards against a worker that gets more than it can hold after a change of the
// leader: the resources of a run whose job has ended are unknown until it is
// gone, which takes as long as stopping it does.
TEST_F(JobSchedulerTest, StartsNothingBesideARunOfAnUnknownJob) {
  WorkerInfo Info;
  Info.Incarnation = {"w1", 1};
  Info.Upstream = "service";
  Info.Capacity = {32'000, 65'536, 0};
  Scheduler.updateWorker(Info, Now);
  Scheduler.syncWorker(Info.Incarnation, {{"gone.0.0.0", 1, "", 10}}, {}, Now);
  JobSpec Spec;
  Spec.Id = "new";
  Spec.Queue = "batch";
  Spec.Steps = {step(1, 1000)};
  Scheduler.add(Spec, false, Now);
  const Decisions First = decide();
  EXPECT_EQ(First.Starts.size(), 0U);
  ASSERT_EQ(First.Stops.size(), 1U);
  EXPECT_EQ(First.Stops[0].Task, "gone.0.0.0");
  Scheduler.runEnded(Info.Incarnation,
                     {1, "gone.0.0.0", 1, EndKind::Stopped, ""}, Now);
  EXPECT_EQ(decide().Starts.size(), 1U);
}

// Guards against a task that is blamed for a crash although its start was never
// sent: the worker ended while the decision was being stored.
TEST_F(JobSchedulerTest, DoesNotBlameATaskWhoseStartWasNotSent) {
  const std::string Id = addJob("batch", step(1, 1000));
  for (int Number = 0; Number < 5; ++Number) {
    const WorkerIncarnation Host = addWorker("w" + std::to_string(Number));
    ASSERT_EQ(decide().Starts.size(), 1U);
    Scheduler.loseRuns(Host, WorkerLoss::ProcessEnded, Now);
  }
  EXPECT_EQ(Scheduler.find(Id)->Phase, JobPhase::Active);
}

// Guards against an innocent task that shares the blame again: one that was on
// two crashed workers runs apart from other suspects, and nothing is started
// beside it.
TEST_F(JobSchedulerTest, IsolatesATaskAfterTwoCrashes) {
  addJob("batch", step(1, 1000));
  for (int Number = 0; Number < 2; ++Number) {
    const WorkerIncarnation Host = addWorker("bad" + std::to_string(Number));
    const Decisions Made = decide();
    ASSERT_EQ(Made.Starts.size(), 1U);
    Scheduler.markDispatched(Made.Starts[0]);
    Scheduler.removeWorker(Host, WorkerLoss::ProcessEnded, Now);
  }
  addWorker("w1");
  const Decisions Isolated = decide();
  ASSERT_EQ(Isolated.Starts.size(), 1U);
  addJob("batch", step(1, 1000));
  EXPECT_EQ(decide().Starts.size(), 0U);
  end(Isolated.Starts[0], EndKind::Done);
  EXPECT_EQ(decide().Starts.size(), 1U);
}

// Guards against a wide step whose tasks crash one worker each: a second round
// would take as many workers down as the first.
TEST_F(JobSchedulerTest, ProbesAStepUnderWhichTwoWorkersCrashed) {
  const WorkerIncarnation First = addWorker("bad1");
  const WorkerIncarnation Second = addWorker("bad2");
  addJob("batch", step(6, 10'000));
  const Decisions Made = decide();
  ASSERT_EQ(Made.Starts.size(), 6U);
  for (const StartCommand &Start : Made.Starts)
    Scheduler.markDispatched(Start);
  Scheduler.removeWorker(First, WorkerLoss::ProcessEnded, Now);
  Scheduler.removeWorker(Second, WorkerLoss::ProcessEnded, Now);
  addWorker("w1");
  addWorker("w2");
  const Decisions Probe = decide();
  ASSERT_EQ(Probe.Starts.size(), 1U);
  EXPECT_EQ(decide().Starts.size(), 0U);
  end(Probe.Starts[0], EndKind::Done);
  EXPECT_EQ(decide().Starts.size(), 5U);
}

// Guards against a service that is given up after years because the machines
// of its tasks crash now and then.
TEST_F(JobSchedulerTest, ForgetsTheCrashesOfALongRunningTaskThatSurvived) {
  StepSpec Lasting = step(1, 1000);
  Lasting.LongRunning = true;
  const std::string Id = addJob("batch", Lasting);
  for (int Number = 0; Number < 6; ++Number)
    ASSERT_NO_FATAL_FAILURE(
        crashAfter("w" + std::to_string(Number), std::chrono::hours(1)));
  EXPECT_EQ(Scheduler.find(Id)->Phase, JobPhase::Active);
}

// Guards against a task that is started again after its success: the run had
// been given up, and its end was acknowledged.
TEST_F(JobSchedulerTest, CountsTheSuccessOfARunThatWasGivenUp) {
  const WorkerIncarnation Host = addWorker("w0");
  const std::string Id = addJob("batch", step(1, 1000));
  const Decisions Made = decide();
  ASSERT_EQ(Made.Starts.size(), 1U);
  Scheduler.markDispatched(Made.Starts[0]);
  Scheduler.loseRuns(Host, WorkerLoss::LeaseExpired, Now);
  end(Made.Starts[0], EndKind::Done);
  EXPECT_EQ(Scheduler.find(Id)->Phase, JobPhase::Completed);
  Scheduler.syncWorker(Host, {}, {}, Now);
  EXPECT_EQ(decide().Starts.size(), 0U);
}

// Guards against a service that is shown as failed, or stays away, because its
// task crashes each worker soon after its start, and against one that crashes
// workers as fast as it can be started.
TEST_F(JobSchedulerTest, RestartsALongRunningTaskThatCrashesAtOnce) {
  StepSpec Lasting = step(1, 1000);
  Lasting.LongRunning = true;
  const std::string Id = addJob("batch", Lasting);
  TimePoint LastStart = Now - Duration{10'000};
  for (int Crash = 0; Crash < 12; ++Crash) {
    const WorkerIncarnation Host = addWorker("w" + std::to_string(Crash));
    Decisions Made;
    while (Made.Starts.empty() && Now - LastStart <= Duration{6000})
      Made = decide();
    if (Made.Starts.empty())
      Made = decide(); // The first time.
    ASSERT_EQ(Made.Starts.size(), 1U) << Crash;
    if (Crash >= CrashHistory::MaxLosses) {
      EXPECT_GE(Now - LastStart, CrashHistory::MaxRestartInterval);
    }
    LastStart = Now;
    Scheduler.markDispatched(Made.Starts[0]);
    Now += Duration{60};
    Scheduler.removeWorker(Host, WorkerLoss::ProcessEnded, Now);
    EXPECT_EQ(Scheduler.find(Id)->Phase, JobPhase::Active);
  }
  const auto &Records = Scheduler.find(Id)->Steps[0].Tasks[0].Crashes.records();
  EXPECT_EQ(Records.size(), std::size_t(CrashHistory::MaxLosses));
}

// Guards against a gang that lasts and is given up, or stays away, because its
// workers crash.
TEST_F(JobSchedulerTest, RestartsALongRunningGangWhoseWorkersCrash) {
  StepSpec Lasting = step(2, 20'000);
  Lasting.LongRunning = true;
  Lasting.Gang = true;
  const std::string Id = addJob("batch", Lasting);
  addWorker("spare");
  for (int Crash = 0; Crash < 6; ++Crash) {
    const std::string Name = "w" + std::to_string(Crash);
    const WorkerIncarnation Host = addWorker(Name);
    Decisions Made;
    for (const TimePoint Start = Now;
         Made.Starts.empty() && Now - Start <= Duration{6000};)
      Made = decide();
    ASSERT_EQ(Made.Starts.size(), 2U) << Crash;
    for (const StartCommand &Start : Made.Starts)
      Scheduler.markDispatched(Start);
    Now += Duration{60};
    Scheduler.removeWorker(Host, WorkerLoss::ProcessEnded, Now);
    EXPECT_EQ(Scheduler.find(Id)->Phase, JobPhase::Active);
    const Decisions Stopping = decide();
    ASSERT_EQ(Stopping.Stops.size(), 1U);
    for (const StartCommand &Start : Made.Starts)
      if (Start.Worker != Host)
        end(Start, EndKind::Stopped);
  }
}

// Guards against tasks that last and wait for the probe of their step: each of
// them must be at work again soon.
TEST_F(JobSchedulerTest, RestartsAllTasksThatLastAfterTwoCrashes) {
  StepSpec Lasting = step(6, 4000);
  Lasting.LongRunning = true;
  addJob("batch", Lasting);
  for (int Crash = 0; Crash < 2; ++Crash) {
    const WorkerIncarnation Host = addWorker("bad" + std::to_string(Crash));
    std::size_t Started = 0;
    for (int Round = 0; Round < 400 && Started < 6; ++Round) {
      const Decisions Made = decide();
      Started += Made.Starts.size();
      for (const StartCommand &Start : Made.Starts)
        Scheduler.markDispatched(Start);
    }
    ASSERT_EQ(Started, 6U);
    Scheduler.removeWorker(Host, WorkerLoss::ProcessEnded, Now);
  }
  addWorker("w1");
  addWorker("w2");
  std::size_t Started = 0;
  for (int Round = 0; Round < 400; ++Round)
    Started += decide().Starts.size();
  EXPECT_EQ(Started, 6U);
}

// Guards against suspects that last and reserve all workers, so that others
// stay away for longer than is allowed.
TEST_F(JobSchedulerTest, LeavesMostWorkersToOthersBesideSuspectsThatLast) {
  StepSpec Lasting = step(3, 1000);
  Lasting.LongRunning = true;
  addJob("batch", Lasting);
  for (int Crash = 0; Crash < 2; ++Crash) {
    const WorkerIncarnation Host = addWorker("bad" + std::to_string(Crash));
    std::size_t Started = 0;
    for (int Round = 0; Round < 400 && Started < 3; ++Round) {
      const Decisions Made = decide();
      Started += Made.Starts.size();
      for (const StartCommand &Start : Made.Starts)
        Scheduler.markDispatched(Start);
    }
    ASSERT_EQ(Started, 3U);
    Scheduler.removeWorker(Host, WorkerLoss::ProcessEnded, Now);
  }
  for (int Number = 0; Number < 4; ++Number)
    addWorker("w" + std::to_string(Number));
  std::set<std::string> Hosts;
  for (int Round = 0; Round < 120; ++Round)
    for (const StartCommand &Start : decide().Starts)
      Hosts.insert(Start.Worker.Id);
  EXPECT_EQ(Hosts.size(), 3U);
  addJob("batch", step(4, 20'000));
  EXPECT_EQ(decide().Starts.size(), 3U);
}

// Guards against a start that is sent to a worker whose capacity has shrunk
// since it was decided on.
TEST_F(JobSchedulerTest, SendsNoStartToAWorkerThatHasShrunk) {
  addWorker("w1");
  addJob("batch", step(8, 4000));
  const Decisions Made = decide();
  ASSERT_EQ(Made.Starts.size(), 8U);
  resize("w1", 10'000);
  std::size_t Sent = 0;
  for (const StartCommand &Start : Made.Starts) {
    if (Scheduler.isCurrent(Start))
      ++Sent;
    else
      Scheduler.startRefused(Start.Worker, Start.Task, Start.Run,
                             StartRefusal::Expired, Now);
  }
  EXPECT_EQ(Sent, 2U);
  EXPECT_TRUE(decide().Starts.empty());
  resize("w1", 32'000);
  EXPECT_EQ(decide().Starts.size(), 6U);
}

// Guards against work that fits no worker any more and makes every other job
// look late, so that callers are refused while workers are idle.
TEST_F(JobSchedulerTest, WorkThatFitsNoWorkerDelaysNoOther) {
  addWorker("w1");
  addJob("batch", step(100, 20'000, Duration{60'000}));
  decide();
  EXPECT_GT(Scheduler.estimatedWait(2), Duration{60'000});
  resize("w1", 16'000);
  decide();
  EXPECT_EQ(Scheduler.estimatedWait(2), Duration{0});
  resize("w1", 32'000);
  decide();
  EXPECT_GT(Scheduler.estimatedWait(2), Duration{60'000});
}

// Guards against a faulty worker on which every run fails and which, being
// empty, attracts all further tasks.
TEST_F(JobSchedulerTest, AvoidsAWorkerThatFailsEverything) {
  addWorker("bad");
  for (int Number = 0; Number < Worker::ConsecutiveFailureLimit; ++Number) {
    addJob("batch", step(1, 1000));
    const Decisions Made = decide();
    ASSERT_EQ(Made.Starts.size(), 1U);
    end(Made.Starts[0], EndKind::Failed);
    Scheduler.cancel("job" + std::to_string(LastJob), Now);
  }
  addJob("batch", step(1, 1000));
  EXPECT_EQ(decide().Starts.size(), 0U);
  Now += Worker::AvoidTime;
  EXPECT_EQ(decide().Starts.size(), 1U);
}

// Guards against tasks with low slack on a worker that is known to be slow,
// although the load is light and every worker has free resources.
TEST_F(JobSchedulerTest, PlacesLowSlackTasksOnFasterWorkers) {
  addWorker("fast");
  addWorker("slow");
  std::map<std::string, int> Starts;
  for (int Round = 0; Round < 60; ++Round) {
    addJob("quick", step(1, 12'000, Duration{400}));
    addJob("batch", step(2, 12'000, Duration{400}));
    const Decisions Made = decide();
    const TimePoint Started = Now;
    for (const bool Slow : {false, true})
      for (const StartCommand &Start : Made.Starts) {
        if ((Start.Worker.Id == "slow") != Slow)
          continue;
        const bool Quick =
            Scheduler.find(TaskId::parse(Start.Task)->Job)->Spec.Queue ==
            "quick";
        if (Quick && Round >= 30)
          ++Starts[Start.Worker.Id];
        Now = Started + Duration{Slow ? 800 : 400};
        end(Start, EndKind::Done);
      }
  }
  EXPECT_EQ(Starts["fast"], 30);
}

// Guards against steps that can finish on time but wait behind late ones under
// overload.
TEST_F(JobSchedulerTest, PrefersJobsThatCanFinishOnTime) {
  addWorker("w1");
  const std::string Late = addJob("quick", step(1, 32'000, Duration{100}));
  Now += Duration{2000}; // Beyond the allowed time of the first job.
  const std::string Fresh = addJob("batch", step(1, 32'000, Duration{100}));
  Decisions Made =
      decide(); // The first round only updates the rank of the late job.
  if (Made.Starts.empty())
    Made = decide();
  ASSERT_EQ(Made.Starts.size(), 1U);
  EXPECT_EQ(TaskId::parse(Made.Starts[0].Task)->Job, Fresh);
}

// Guards against a start without a ticket in a queue that requires advice.
TEST_F(JobSchedulerTest, RequestsAdviceBeforeAStartThatNeedsATicket) {
  addWorker("w1");
  addWorker("w2");
  addJob("advised", step(1, 1000));
  Decisions Made = decide();
  EXPECT_TRUE(Made.Starts.empty());
  ASSERT_EQ(Made.Advice.size(), 1U);
  Scheduler.adviceArrived(Made.Advice[0].Step, Made.Advice[0].Workers,
                          {{"w2", "ticket"}}, Now);
  Made = decide();
  ASSERT_EQ(Made.Starts.size(), 1U);
  EXPECT_EQ(Made.Starts[0].Worker.Id, "w2");
  EXPECT_EQ(Made.Starts[0].Ticket, "ticket");
}

// Guards against urgent steps that request a ticket only once resources are
// free: with full workers and a backlog of steps that have tickets, a less
// urgent step has taken the resources by the time the ticket arrives.
TEST_F(JobSchedulerTest, UrgentStepsGetTicketsBeforeResourcesBecomeFree) {
  const WorkerIncarnation Incarnation = addWorker("w1");
  addJob("batch", step(1, 32'000));
  const Decisions Filled = decide();
  ASSERT_EQ(Filled.Starts.size(), 1U);
  addJob("batch", step(1, 32'000));
  const std::string Urgent = addJob("cheap", step(1, 32'000));
  const Decisions Made = decide();
  ASSERT_EQ(Made.Advice.size(), 1U);
  Scheduler.adviceArrived(Made.Advice[0].Step, Made.Advice[0].Workers,
                          {{"w1", "ticket"}}, Now);
  end(Filled.Starts[0], EndKind::Done);
  const Decisions Next = decide();
  ASSERT_EQ(Next.Starts.size(), 1U);
  EXPECT_EQ(TaskId::parse(Next.Starts[0].Task)->Job, Urgent);
}

// Guards against urgent tasks that keep room too small for them from others.
TEST_F(JobSchedulerTest, ATaskThatLastsUsesRoomReservedForUrgentTasks) {
  addWorker("w1");
  addWorker("w2");
  StepSpec Lasting = step(1, 1000);
  Lasting.LongRunning = true;
  const std::string Id = addJob("batch", Lasting);
  const Decisions First = decide();
  ASSERT_EQ(First.Starts.size(), 1U);
  addJob("quick", step(6, 30'000, Duration{20'000}));
  ASSERT_EQ(decide().Starts.size(), 2U);
  end(First.Starts[0], EndKind::Failed);
  EXPECT_TRUE(startsInTime(Id));
}

// Guards against starvation of an urgent task on a full worker: a backlog of
// smaller, less urgent tasks takes all resources that become free.
TEST_F(JobSchedulerTest, ReservesResourcesForAnUrgentLargerTask) {
  addWorker("w1");
  addJob("batch", step(64, 1000));
  const Decisions Filled = decide();
  ASSERT_EQ(Filled.Starts.size(), 32U);
  const std::string Urgent = addJob("quick", step(1, 2800, Duration{5000}));
  for (int Number = 0; Number < 3; ++Number) {
    end(Filled.Starts[std::size_t(Number)], EndKind::Done);
    const Decisions Made = decide();
    if (Made.Starts.empty())
      continue;
    EXPECT_EQ(TaskId::parse(Made.Starts[0].Task)->Job, Urgent);
    return;
  }
  FAIL() << "the urgent task did not start";
}

// Guards against fast calls for advice that wait behind slow ones, as in a
// burst of steps whose advice takes half a second each.
TEST_F(JobSchedulerTest, KeepsWithinTheAdviceBudget) {
  addWorker("w1");
  for (int Number = 0; Number < 8; ++Number) {
    addJob("advised", step(1, 1000));
    addJob("cheap", step(1, 1000));
  }
  Budget = {2, 20};
  int Slow = 0;
  double FastMs = 0;
  for (const AdviceRequest &Request : decide().Advice) {
    const bool IsSlow = Request.CostMs >= AdviceBudget::SlowAdviceMs;
    Slow += IsSlow ? 1 : 0;
    FastMs += IsSlow ? 0 : Request.CostMs;
  }
  EXPECT_EQ(Slow, 2);
  EXPECT_GT(FastMs, 0);
  EXPECT_LT(FastMs, 30);
}

// Guards against refused jobs while there are free resources, and against an
// account that delays others by exceeding its share under load.
TEST(AdmissionControllerTest, RefusesBeyondTheShareOnlyWhileWorkWaits) {
  AdmissionController Controller;
  Queue JobQueue;
  JobQueue.LatencyTarget = Duration{5000};
  ClientAccount Account;
  Account.Name = "a";
  Account.Weight = 2;
  JobSpec Spec;
  Spec.Steps = {StepSpec{}};
  const TimePoint Now{Duration{1000}};
  const Duration NoWait{0};
  const Duration SomeWait{1000};
  for (int Number = 0; Number < 2; ++Number)
    EXPECT_FALSE(Controller.evaluate(Spec, JobQueue, &Account, SomeWait, Now)
                     .RetryAfter);
  const AdmissionResult Tolerated =
      Controller.evaluate(Spec, JobQueue, &Account, NoWait, Now);
  EXPECT_FALSE(Tolerated.RetryAfter);
  EXPECT_TRUE(Tolerated.BeyondShare);
  EXPECT_TRUE(
      Controller.evaluate(Spec, JobQueue, &Account, SomeWait, Now).RetryAfter);
  EXPECT_FALSE(
      Controller.evaluate(Spec, JobQueue, &Account, SomeWait, Now + SomeWait)
          .RetryAfter);
}

// Guards against a caller that waits for a job which cannot finish before its
// firm deadline.
TEST(AdmissionControllerTest, RefusesJobsThatWouldMissTheirFirmDeadline) {
  AdmissionController Controller;
  Queue JobQueue;
  JobQueue.LatencyTarget = Duration{250};
  JobQueue.SlackFactor = 1.5;
  JobSpec Spec;
  Spec.Steps = {StepSpec{}};
  Spec.Steps[0].Estimate = Duration{600};
  const TimePoint Now{Duration{1000}};
  EXPECT_FALSE(Controller.evaluate(Spec, JobQueue, nullptr, Duration{2000}, Now)
                   .RetryAfter);
  const auto Refused =
      Controller.evaluate(Spec, JobQueue, nullptr, Duration{4000}, Now)
          .RetryAfter;
  ASSERT_TRUE(Refused);
  EXPECT_EQ(*Refused, Duration{2000});
}

// Guards against running jobs by the settings of the last leader although the
// policy has newer ones.
TEST_F(JobSchedulerTest, PrefersThePolicyToTheSettingsOfTheLastLeader) {
  Queue Outdated = queueOf("batch", 2, 4);
  Outdated.Upstream = "former service";
  ClusterPolicy Earlier;
  Earlier.Queues = {Outdated};
  Scheduler.restoreSettings(Earlier);
  addWorker("w");
  addJob("batch", step(1, 1000));
  EXPECT_EQ(decide().Starts.size(), 1U);
}

// Guards against forgetting the settings of a removed queue while one of its
// jobs waits, and against keeping them for good.
TEST_F(JobSchedulerTest, KeepsTheSettingsOfARemovedQueueWhileItHasActiveJobs) {
  const std::string Id = addJob("batch", step(1, 1000));
  Scheduler.setPolicy({});
  ASSERT_NE(Scheduler.queue("batch"), nullptr);
  EXPECT_EQ(Scheduler.queue("batch")->Upstream, "service");
  EXPECT_NE(Scheduler.account("large"), nullptr);
  EXPECT_EQ(Scheduler.queue("quick"), nullptr);
  Scheduler.cancel(Id, Now);
  Scheduler.setPolicy({});
  EXPECT_EQ(Scheduler.queue("batch"), nullptr);
  EXPECT_EQ(Scheduler.account("large"), nullptr);
}

} // namespace
} // namespace apricotwing::jobs
