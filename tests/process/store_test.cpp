#include "process/cluster.h"

#include <gtest/gtest.h>

#include <chrono>
#include <thread>

namespace apricotwing::process {
namespace {

bool isReady(const Cluster &Target, std::size_t Daemon) {
  return Target.call(Daemon, "GET", "/readyz", "", "").Status == 200;
}

// Guards against an outage of the table service that stops interactive
// requests or running tasks, and against a run that is accepted although its
// row was not written.
TEST(StoreProcessTest, OutageForAllKeepsRequestsAndTasksGoing) {
  Cluster Target(3);
  Target.addTeam();
  const RunId Run = Target.submit(0, runSpec("long", 4, 8000));
  awaitCondition("tasks run",
                 [&] { return Target.counts()["attempts"].size() >= 4; });
  Target.fault({{"target", "table"}, {"down", true}});
  // Twice the time for which an instance keeps its authority without peers.
  std::this_thread::sleep_for(std::chrono::seconds(6));
  for (std::size_t Daemon = 0; Daemon < 3; ++Daemon)
    EXPECT_EQ(Target.request(Daemon, "outage").Outcome, "done") << Daemon;
  const HttpResult Refused =
      Target.call(0, "POST", "/v1/runs",
                  encodeRunSpec(runSpec("during", 1, 50)), Cluster::teamKey());
  EXPECT_EQ(Refused.Status, 503) << Refused.Body;
  Target.fault({{"target", "table"}, {"down", false}});
  Target.awaitRun(0, Run, RunState::Succeeded);
  EXPECT_EQ(Target.counts()["attempts"].size(), 4U);
  EXPECT_EQ(Target.counts()["overlaps"], 0);
  const RunId After = Target.submit(1, runSpec("during", 1, 50));
  Target.awaitRun(2, After, RunState::Succeeded);
}

// Guards against an instance that alone loses the table service and keeps
// accepting a key that was revoked in the meantime.
TEST(StoreProcessTest, InstanceCutOffAloneRefusesWork) {
  Cluster Target(3);
  Target.addTeam();
  Target.storeRelay(2).cut();
  awaitCondition("the cut-off instance refuses", [&] {
    return Target.request(2, "cut-off").Outcome == "not_run";
  });
  EXPECT_FALSE(isReady(Target, 2));
  EXPECT_EQ(Target.request(0, "others").Outcome, "done");
  Target.change({RevokeKey{"koksne-1"}}, {0, 1});
  const auto Executed = [&] { return Target.counts()["bodies"].value("w", 0); };
  for (std::size_t Daemon = 0; Daemon < 3; ++Daemon)
    EXPECT_EQ(Target.request(Daemon, "w").Outcome, "not_run") << Daemon;
  EXPECT_EQ(Executed(), 0);
  Target.storeRelay(2).restore();
  awaitCondition("ready again", [&] { return isReady(Target, 2); });
  EXPECT_EQ(Target.request(2, "w").Status, 401);
  EXPECT_EQ(Executed(), 0);
}

// Guards against a submission that is duplicated or rejected when the response
// of the table service is lost after the write took effect.
TEST(StoreProcessTest, LostAnswersNeitherLoseNorDoubleRuns) {
  Cluster Target(2);
  Target.addTeam();
  std::vector<RunId> Runs;
  for (int Index = 0; Index < 5; ++Index) {
    Target.fault({{"target", "table"}, {"lose_answers", 3}});
    const RunSpec Spec = runSpec("l" + std::to_string(Index), 3, 50);
    const RunId First = Target.submit(0, Spec);
    EXPECT_EQ(Target.submit(1, Spec), First);
    Runs.push_back(First);
  }
  for (const RunId &Run : Runs)
    Target.awaitRun(0, Run, RunState::Succeeded);
  EXPECT_EQ(Target.counts()["attempts"].size(), 15U);
  EXPECT_EQ(Target.counts()["overlaps"], 0);
}

// Guards against an instance that starts during an outage and serves requests
// without having read the configuration.
TEST(StoreProcessTest, InstanceStartedInAnOutageIsNotReady) {
  Cluster Target(1);
  Target.addTeam();
  Target.fault({{"target", "table"}, {"down", true}});
  const std::size_t Fresh = Target.startDaemon();
  awaitCondition("the process answers", [&] {
    return Target.call(Fresh, "GET", "/healthz", "", "").Status == 200;
  });
  EXPECT_FALSE(isReady(Target, Fresh));
  EXPECT_EQ(Target.request(Fresh, "early").Outcome, "not_run");
  Target.fault({{"target", "table"}, {"down", false}});
  awaitCondition("ready", [&] { return isReady(Target, Fresh); });
  awaitCondition("service", [&] {
    return Target.request(Fresh, "late").Outcome == "done";
  });
}

} // namespace
} // namespace apricotwing::process
