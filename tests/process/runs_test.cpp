#include "process/cluster.h"

#include <gtest/gtest.h>

#include <signal.h>

namespace apricotwing::process {
namespace {

// Guards against runs of any kind that cannot be submitted or do not finish,
// and against a second run for the same idempotency key.
TEST(RunsProcessTest, RunsOfAllKindsFinishOnce) {
  Cluster Target(3);
  Target.addTeam();
  const RunSpec Batch = runSpec("batch", 12, 50);
  RunSpec Gang = runSpec("gang", 4, 50);
  Gang.Kind = RunKind::Gang;
  RunSpec Service = runSpec("service", 2, -1);
  Service.Kind = RunKind::Service;
  const RunId BatchRun = Target.submit(0, Batch);
  EXPECT_EQ(Target.submit(1, Batch), BatchRun);
  const RunId GangRun = Target.submit(1, Gang);
  const RunId ServiceRun = Target.submit(2, Service);
  Target.awaitRun(0, BatchRun, RunState::Succeeded);
  Target.awaitRun(1, GangRun, RunState::Succeeded);
  Target.awaitRun(2, ServiceRun, RunState::Running);
  EXPECT_EQ(Target
                .call(0, "POST", "/v1/runs/" + ServiceRun + "/cancel", "",
                      Cluster::teamKey())
                .Status,
            202);
  Target.awaitRun(0, ServiceRun, RunState::Cancelled);
  EXPECT_EQ(executionsOf(Target, BatchRun).Attempts, 12U);
  EXPECT_EQ(executionsOf(Target, GangRun).Attempts, 4U);
  expectNoOverlap(Target);
}

// Guards against lost or duplicated runs when the owner of their shard is
// killed while tasks start, run and end.
TEST(RunsProcessTest, KilledOwnerLosesAndDoublesNothing) {
  Cluster Target(3);
  Target.addTeam();
  std::vector<RunId> Runs;
  Runs.reserve(6);
  for (int Index = 0; Index < 6; ++Index)
    Runs.push_back(
        Target.submit(0, runSpec("k" + std::to_string(Index), 8, 400)));
  awaitCondition("tasks run",
                 [&] { return Target.counts()["attempts"].size() >= 8; });
  const std::size_t Owner = Target.shardOwner();
  Target.killDaemon(Owner);
  const std::size_t Other = Owner == 0 ? 1 : 0;
  for (const RunId &Run : Runs) {
    Target.awaitRun(Other, Run, RunState::Succeeded);
    EXPECT_EQ(executionsOf(Target, Run).Attempts, 8U);
    EXPECT_EQ(executionsOf(Target, Run).MostPerAttempt, 1U);
  }
  expectNoOverlap(Target);
}

// Guards against an owner that starts tasks after a pause during which another
// instance has taken over its shard.
TEST(RunsProcessTest, PausedOwnerStartsNothingAfterTakeover) {
  Cluster Target(3);
  Target.addTeam();
  const std::size_t Owner = Target.shardOwner();
  const std::size_t Other = Owner == 0 ? 1 : 0;
  std::vector<RunId> Runs;
  Runs.reserve(4);
  for (int Index = 0; Index < 4; ++Index)
    Runs.push_back(
        Target.submit(Other, runSpec("p" + std::to_string(Index), 8, 200)));
  Target.signalDaemon(Owner, SIGSTOP);
  for (const RunId &Run : Runs)
    Target.awaitRun(Other, Run, RunState::Succeeded);
  Target.signalDaemon(Owner, SIGCONT);
  awaitCondition("a new session of the paused instance", [&] {
    return Target.request(Owner, "after-pause").Outcome == "done";
  });
  for (const RunId &Run : Runs) {
    EXPECT_EQ(executionsOf(Target, Run).Attempts, 8U);
    EXPECT_EQ(executionsOf(Target, Run).MostPerAttempt, 1U);
  }
  expectNoOverlap(Target);
}

/// Cancels a run of long tasks through another instance while one worker is
/// unreachable, then sends \p Signal to the owner of the shard. Expects that no
/// task runs on, including those on the unreachable worker once it is back.
void expectCancelledTasksStop(int Signal) {
  constexpr int TenMinutesMs = 600'000;
  Cluster Target(3);
  Target.addTeam();
  const std::size_t Owner = Target.shardOwner();
  const std::size_t Other = Owner == 0 ? 1 : 0;
  const RunId Run = Target.submit(Other, runSpec("long", 12, TenMinutesMs));
  awaitCondition("tasks run",
                 [&] { return Target.counts()["running_tasks"] == 12; });
  Target.fault({{"target", "worker:w0"}, {"down", true}});
  EXPECT_EQ(Target
                .call(Other, "POST", "/v1/runs/" + Run + "/cancel", "",
                      Cluster::teamKey())
                .Status,
            202);
  Target.signalDaemon(Owner, Signal);
  awaitCondition("another owner", [&] { return Target.shardOwner() != Owner; });
  Target.fault({{"target", "worker:w0"}, {"down", false}});
  awaitCondition("all tasks are stopped",
                 [&] { return Target.counts()["running_tasks"] == 0; });
  Target.signalDaemon(Owner, SIGCONT);
  Target.awaitRun(Other, Run, RunState::Cancelled);
  EXPECT_EQ(Target.counts()["running_tasks"], 0);
  EXPECT_EQ(executionsOf(Target, Run).Attempts, 12U);
}

// Guards against tasks of a cancelled run that work on because the owner of
// their shard was killed after the cancellation was acknowledged.
TEST(RunsProcessTest, CancelledTasksStopAlthoughTheOwnerIsKilled) {
  expectCancelledTasksStop(SIGKILL);
}

// Guards against tasks of a cancelled run that work on because the owner of
// their shard was paused after the cancellation was acknowledged.
TEST(RunsProcessTest, CancelledTasksStopAlthoughTheOwnerIsPaused) {
  expectCancelledTasksStop(SIGSTOP);
}

// Guards against restarting a task on another worker while a paused worker may
// still run it, and against a task that is never restarted.
TEST(RunsProcessTest, TasksOfPausedWorkerRestartOnlyAfterItsLease) {
  standins::CellOptions Options;
  Options.Workers = 2;
  Cluster Target(2, Options);
  Target.addTeam();
  const RunId Run = Target.submit(0, runSpec("w", 4, 3000));
  awaitCondition("tasks run",
                 [&] { return Target.counts()["attempts"].size() >= 4; });
  Target.fault({{"target", "worker:w0"}, {"paused", true}});
  Target.fault({{"target", "worker:w1"}, {"paused", true}});
  awaitCondition("an attempt counts as lost", [&] {
    const nlohmann::json State = Target.state(Target.shardOwner());
    return State["shards"][0]["active_tasks"] < 4;
  });
  Target.fault({{"target", "worker:w0"}, {"paused", false}});
  Target.fault({{"target", "worker:w1"}, {"paused", false}});
  Target.awaitRun(0, Run, RunState::Succeeded);
  expectNoOverlap(Target);
  EXPECT_EQ(executionsOf(Target, Run).MostPerAttempt, 1U);
}

// Guards against runs that fail because their tasks are retried on the one
// worker that fails every task.
TEST(RunsProcessTest, RunsFinishAlthoughOneWorkerFailsEverything) {
  Cluster Target(1);
  Target.addTeam();
  Target.fault({{"target", "worker:w0"}, {"fail_tasks", true}});
  std::vector<RunId> Runs;
  for (int Index = 0; Index < 8; ++Index) {
    RunSpec Spec = runSpec("b" + std::to_string(Index), 4, 50);
    Spec.MaxAttempts = 6;
    Runs.push_back(Target.submit(0, Spec));
  }
  for (const RunId &Run : Runs)
    Target.awaitRun(0, Run, RunState::Succeeded);
  expectNoOverlap(Target);
}

// Guards against a run that can never start and therefore blocks other runs or
// stays pending without a reason.
TEST(RunsProcessTest, ImpossibleRunIsSetAsideWithAReason) {
  Cluster Target(1);
  Target.addTeam();
  RunSpec TooLarge = runSpec("large", 1, 50);
  TooLarge.PerTask.CpuMillis = 500'000;
  const RunId Impossible = Target.submit(0, TooLarge);
  const RunId Possible = Target.submit(0, runSpec("small", 1, 50));
  Target.awaitRun(0, Possible, RunState::Succeeded);
  Target.awaitRun(0, Impossible, RunState::Unschedulable);
  EXPECT_NE(Target.view(0, Impossible)->Record.Reason, "");
}

} // namespace
} // namespace apricotwing::process
