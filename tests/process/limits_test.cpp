#include "process/load.h"

#include <gtest/gtest.h>

namespace apricotwing::process {
namespace {

/// How long a peak is measured after a lower limit has taken effect.
constexpr auto ObservationTime = std::chrono::milliseconds(500);

std::uint64_t peak(const Cluster &Target, const char *Name) {
  return Target.counts()[Name].get<std::uint64_t>();
}

void awaitPeakBelow(Cluster &Target, const char *Name, std::uint64_t Limit) {
  awaitCondition("the lower limit takes hold", [&] {
    Target.cell().resetPeaks();
    std::this_thread::sleep_for(ObservationTime);
    return peak(Target, Name) <= Limit;
  });
}

// Guards against more running tasks than the team's limit: when it is reached,
// after it was lowered below the current usage, and under a new shard owner.
TEST(LimitsProcessTest, TasksStayWithinALoweredLimitAndAKill) {
  Cluster Target(3);
  TeamLimit Limit{{8000, 1'000'000, 0}, 100};
  Target.addTeam(Limit);
  RunSpec Endless = runSpec("service", 12, -1);
  Endless.Kind = RunKind::Service;
  const RunId Service = Target.submit(0, Endless);
  awaitCondition("the limit is reached",
                 [&] { return peak(Target, "peak_attempts") >= 8; });
  Limit.Tasks.CpuMillis = 3000;
  Target.change({SetTeam{"koksne", TeamConfig{1, Limit}}}, {0, 1, 2});
  EXPECT_EQ(peak(Target, "peak_attempts"), 8U);
  awaitPeakBelow(Target, "peak_attempts", 3);
  std::vector<RunId> Runs;
  Runs.reserve(3);
  for (int Index = 0; Index < 3; ++Index)
    Runs.push_back(
        Target.submit(0, runSpec("t" + std::to_string(Index), 8, 300)));
  const std::size_t Before = Target.counts()["attempts"].size();
  Target.call(1, "POST", "/v1/runs/" + Service + "/cancel", "",
              Cluster::teamKey());
  awaitCondition("batch tasks run", [&] {
    return Target.counts()["attempts"].size() > Before + 6;
  });
  const std::size_t Owner = Target.shardOwner();
  Target.killDaemon(Owner);
  for (const RunId &Run : Runs)
    Target.awaitRun(Owner == 0 ? 1 : 0, Run, RunState::Succeeded);
  EXPECT_EQ(peak(Target, "peak_attempts"), 3U);
  expectNoOverlap(Target);
}

// Guards against more concurrent requests of a team than its limit allows
// across all instances, when one dies and when the limit is lowered.
TEST(LimitsProcessTest, RequestsStayWithinALoweredLimitAndAKill) {
  Cluster Target(3);
  TeamLimit Limit{{1'000'000, 1'000'000, 0}, 9};
  Target.addTeam(Limit);
  Load Callers(Target, {0, 1, 2}, 18, 60);
  const auto MakeProgress = [&] {
    const std::size_t Before = Target.counts()["requests"].size();
    awaitCondition("load", [&] {
      return Target.counts()["requests"].size() > Before + 150;
    });
  };
  MakeProgress();
  awaitCondition("the limit is reached",
                 [&] { return peak(Target, "peak_requests") >= 9; });
  Target.killDaemon(1);
  MakeProgress();
  EXPECT_EQ(peak(Target, "peak_requests"), 9U);
  Limit.Requests = 4;
  Target.change({SetTeam{"koksne", TeamConfig{1, Limit}}}, {0, 2});
  awaitPeakBelow(Target, "peak_requests", 4);
  MakeProgress();
  EXPECT_LE(peak(Target, "peak_requests"), 4U);
  const auto Results = Callers.stop();
  expectHonest(Results, Target.counts());
}

} // namespace
} // namespace apricotwing::process
