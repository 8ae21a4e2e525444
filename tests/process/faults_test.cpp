#include "process/cluster.h"

#include <gtest/gtest.h>

#include <chrono>
#include <future>
#include <thread>

namespace apricotwing::process {
namespace {

/// Once the object store is back, an overdue snapshot must be stored within
/// this number of journal entries, which is enough for two attempts.
constexpr std::uint64_t MaxDelayOfSnapshot = 100;

std::size_t otherThan(std::size_t Daemon) { return Daemon == 0 ? 1 : 0; }

/// Waits until all runs have succeeded and expects that each task ran once.
void expectEachTaskOnce(const Cluster &Target, std::size_t Daemon,
                        const std::vector<RunId> &Runs, std::size_t Tasks) {
  for (const RunId &Run : Runs)
    Target.awaitRun(Daemon, Run, RunState::Succeeded);
  const nlohmann::json Counts = Target.counts();
  for (const RunId &Run : Runs) {
    const Executions Found = executionsOf(Counts, Run);
    EXPECT_EQ(Found.Attempts, Tasks) << Run;
    EXPECT_EQ(Found.MostPerAttempt, 1U) << Run;
  }
  expectNoOverlap(Target);
}

/// Kills the owner after it has committed the start of a gang of four tasks,
/// while only the last \p Reached of four workers receive their start messages.
void killOwnerBeforeGangStarts(std::size_t Reached) {
  Cluster Target(2);
  Target.addTeam();
  for (std::size_t Index = 0; Index + Reached < 4; ++Index)
    Target.fault(
        {{"target", "worker:w" + std::to_string(Index)}, {"down", true}});
  RunSpec Gang = runSpec("gang", 4, 1000);
  Gang.Kind = RunKind::Gang;
  Gang.PerTask.CpuMillis = 20'000;
  const RunId Run = Target.submit(0, Gang);
  const std::size_t Owner = Target.shardOwner();
  awaitCondition("the gang is committed", [&] {
    const std::optional<RunView> View = Target.view(Owner, Run);
    return View && View->Record.Running == 4;
  });
  awaitCondition("the reachable workers start",
                 [&] { return Target.counts()["attempts"].size() >= Reached; });
  Target.killDaemon(Owner);
  EXPECT_EQ(Target.counts()["attempts"].size(), Reached);
  for (std::size_t Index = 0; Index < 4; ++Index)
    Target.fault(
        {{"target", "worker:w" + std::to_string(Index)}, {"down", false}});
  expectEachTaskOnce(Target, otherThan(Owner), {Run}, 4);
  if (Reached == 0) {
    EXPECT_EQ(Target.counts()["peak_attempts"], 4) << "the gang ran in parts";
  }
}

// Guards against a gang that is lost, starts partially or runs twice when the
// owner dies after committing the start and before delivering it.
TEST(FaultsProcessTest, GangOfKilledOwnerStartsWholeAndOnce) {
  killOwnerBeforeGangStarts(0);
  killOwnerBeforeGangStarts(2);
}

/// Takes down one availability zone: kills its daemon, pauses one worker and
/// makes the other unreachable while its tasks keep running.
void loseZone(bool OfOwner) {
  standins::CellOptions Options;
  Options.Workers = 6;
  Options.WorkersPerRack = 2;
  Cluster Target(3, Options);
  Target.addTeam();
  RunSpec Wide = runSpec("wide", 12, 5000);
  Wide.PerTask.CpuMillis = 16'000;
  Wide.MaxAttempts = 10;
  const RunId First = Target.submit(0, Wide);
  awaitCondition("all workers are full",
                 [&] { return Target.counts()["attempts"].size() >= 12; });
  const std::size_t Owner = Target.shardOwner();
  const std::size_t Lost = OfOwner ? Owner : (Owner + 1) % 3;
  const std::string Still = "worker:w" + std::to_string(2 * Lost);
  const std::string Apart = "worker:w" + std::to_string(2 * Lost + 1);
  Target.fault({{"target", Still}, {"paused", true}});
  Target.fault({{"target", Apart}, {"down", true}});
  Target.killDaemon(Lost);
  const std::size_t Left = (Lost + 1) % 3;
  const RunId During = Target.submit(Left, runSpec("during", 4, 100));
  Target.awaitRun(Left, During, RunState::Succeeded);
  if (!OfOwner)
    Target.awaitRun(Left, First, RunState::Succeeded);
  Target.fault({{"target", Still}, {"paused", false}});
  Target.fault({{"target", Apart}, {"down", false}});
  Target.startDaemon();
  Target.awaitRun(Left, First, RunState::Succeeded);
  EXPECT_EQ(executionsOf(Target, First).MostPerAttempt, 1U);
  EXPECT_EQ(executionsOf(Target, During).Attempts, 4U);
  expectNoOverlap(Target);
}

// Guards against work that makes no progress, or runs in two places, when an
// availability zone without the shard's owner is lost and recovers.
TEST(FaultsProcessTest, LostZoneOverlapsNothing) { loseZone(false); }

// Guards against the same faults when the lost zone contains the owner, so that
// its successor cannot reach the zone's workers.
TEST(FaultsProcessTest, LostZoneOfTheOwnerOverlapsNothing) { loseZone(true); }

// Guards against lost or duplicated runs while the table service answers just
// within the timeout, or just after it although each write took effect.
TEST(FaultsProcessTest, SlowTableNeitherLosesNorDoublesRuns) {
  Cluster Target(3);
  Target.addTeam();
  std::vector<RunId> Runs;
  for (const int DelayMs : {450, 550}) {
    std::vector<RunSpec> Specs;
    std::vector<std::future<HttpResult>> Calls;
    Target.fault({{"target", "table"}, {"delay_ms", DelayMs}});
    for (std::size_t Index = 0; Index < 6; ++Index) {
      Specs.push_back(runSpec(
          std::to_string(DelayMs) + "." + std::to_string(Index), 4, 50));
      Calls.push_back(std::async(std::launch::async, [&, Index] {
        return Target.call(Index % 3, "POST", "/v1/runs",
                           encodeRunSpec(Specs[Index]), Cluster::teamKey());
      }));
    }
    for (std::future<HttpResult> &Each : Calls)
      Each.wait();
    std::this_thread::sleep_for(std::chrono::seconds(2));
    Target.fault({{"target", "table"}, {"delay_ms", 0}});
    for (std::size_t Index = 0; Index < 6; ++Index) {
      Runs.push_back(Target.submit((Index + 1) % 3, Specs[Index]));
      const HttpResult Early = Calls[Index].get();
      if (Early.Status == 201) {
        EXPECT_EQ(decodeRunAccepted(Early.Body).Run, Runs.back());
      }
    }
  }
  expectEachTaskOnce(Target, 0, Runs, 4);
}

// Guards against scheduling that stops because a snapshot cannot be stored, a
// journal that later owners cannot read or that is never truncated, and state
// that is in neither the snapshot nor the journal.
TEST(FaultsProcessTest, ObjectStoreOutageDelaysOnlySnapshots) {
  Cluster Target(3);
  Target.addTeam();
  Target.fault({{"target", "objects"}, {"down", true}});
  const std::size_t First = Target.shardOwner();
  const std::string ShardRow =
      "shard/" + Target.state(First)["shards"][0]["shard"].get<std::string>();
  RunSpec Endless = runSpec("service", 2, -1);
  Endless.Kind = RunKind::Service;
  const RunId Service = Target.submit(0, Endless);
  std::vector<RunId> Runs;
  awaitCondition("a snapshot is due", [&] {
    std::vector<std::future<RunId>> Calls;
    for (std::size_t Index = 0; Index < 8; ++Index)
      Calls.push_back(std::async(std::launch::async, [&, Index] {
        return Target.submit(
            Index % 3, runSpec(std::to_string(Runs.size() + Index), 2, 40));
      }));
    for (std::future<RunId> &Each : Calls)
      Runs.push_back(Each.get());
    return Target.row(ShardRow)["next_sequence"] > 510;
  });
  EXPECT_EQ(Target.row(ShardRow)["snapshot_sequence"], 0);
  Target.killDaemon(First);
  const std::size_t Left = otherThan(First);
  Runs.push_back(Target.submit(Left, runSpec("second", 2, 50)));
  Target.awaitRun(Left, Runs.back(), RunState::Succeeded);
  const auto Due = Target.row(ShardRow)["next_sequence"].get<std::uint64_t>();
  Target.fault({{"target", "objects"}, {"down", false}});
  std::size_t Extra = 0;
  awaitCondition("the due snapshot", [&] {
    Runs.push_back(
        Target.submit(Left, runSpec("x" + std::to_string(++Extra), 2, 50)));
    return Target.row(ShardRow)["snapshot_sequence"] > 0;
  });
  EXPECT_LT(Target.row(ShardRow)["snapshot_sequence"].get<std::uint64_t>(),
            Due + MaxDelayOfSnapshot)
      << "the journal that was read at the takeover does not count";
  const std::size_t Second = Target.shardOwner();
  Target.killDaemon(Second);
  const std::size_t Last = 3 - First - Second;
  Target.awaitRun(Last, Service, RunState::Running);
  expectEachTaskOnce(Target, Last, Runs, 2);
}

// Guards against lost or duplicated runs when the owner dies while the table
// service is down.
TEST(FaultsProcessTest, OwnerKilledInAnOutageLosesAndDoublesNothing) {
  Cluster Target(3);
  Target.addTeam();
  std::vector<RunId> Runs;
  Runs.reserve(6);
  for (int Index = 0; Index < 6; ++Index)
    Runs.push_back(
        Target.submit(0, runSpec("f" + std::to_string(Index), 40, 400)));
  awaitCondition("tasks run",
                 [&] { return Target.counts()["attempts"].size() >= 8; });
  const std::size_t Owner = Target.shardOwner();
  Target.fault({{"target", "table"}, {"down", true}});
  awaitCondition("the owner notices the outage", [&] {
    return Target.state(Owner)["shards"][0]["commit_pending"] == true ||
           Target.counts()["live_attempts"] == 0;
  });
  Target.killDaemon(Owner);
  const std::size_t Other = otherThan(Owner);
  awaitCondition("the others fail closed", [&] {
    return Target.request(Other, "closed").Outcome == "not_run";
  });
  Target.fault({{"target", "table"}, {"down", false}});
  expectEachTaskOnce(Target, Other, Runs, 40);
}

} // namespace
} // namespace apricotwing::process
