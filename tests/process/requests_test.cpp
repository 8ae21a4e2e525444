#include "process/load.h"

#include <gtest/gtest.h>

#include <signal.h>

namespace apricotwing::process {
namespace {

// Guards against requests that run twice, get the response of another request,
// or run although they were refused, when an instance dies under load.
TEST(RequestsProcessTest, KilledInstanceNeitherRepeatsNorMisreports) {
  Cluster Target(3);
  Target.addTeam();
  Load Callers(Target, {0, 1, 2}, 9, 20);
  awaitCondition("load",
                 [&] { return Target.counts()["requests"].size() > 100; });
  Target.killDaemon(1);
  const std::size_t Before = Target.counts()["requests"].size();
  awaitCondition("load after the kill", [&] {
    return Target.counts()["requests"].size() > Before + 200;
  });
  const auto Results = Callers.stop();
  EXPECT_GT(expectHonest(Results, Target.counts()), 200);
}

// Guards against a graceful shutdown that cuts off requests: every call to
// the leaving instance gets a complete response until it stops listening.
TEST(RequestsProcessTest, LeavingInstanceCutsOffNoRequest) {
  Cluster Target(2);
  Target.addTeam();
  Load Callers(Target, {1}, 4, 100);
  awaitCondition("load",
                 [&] { return Target.counts()["requests"].size() > 20; });
  Target.signalDaemon(1, SIGTERM);
  EXPECT_EQ(Target.waitForExit(1), 0);
  const auto Results = Callers.stop();
  const nlohmann::json Counts = Target.counts();
  expectHonest(Results, Counts);
  for (const auto &[Body, Result] : Results) {
    if (Counts["bodies"].value(Body, 0U) > 0) {
      EXPECT_EQ(Result.Outcome, "done") << Body;
    }
  }
}

// Guards against an instance that resumes after a pause and uses slots that
// were assigned to other instances in the meantime.
TEST(RequestsProcessTest, PausedInstanceDoesNotOverfillExecutors) {
  standins::CellOptions Options;
  Options.Executors = 1;
  Cluster Target(3, Options);
  Target.addTeam();
  Load Callers(Target, {0, 1, 2}, 24, 50);
  awaitCondition("load",
                 [&] { return Target.counts()["requests"].size() > 100; });
  Target.signalDaemon(2, SIGSTOP);
  awaitCondition("the paused session is fenced", [&] {
    const nlohmann::json State = Target.state(0);
    for (const auto &Member : State["members"])
      if (Member["instance"] == "d2" && Member["state"] == "fenced")
        return true;
    return false;
  });
  const std::size_t Before = Target.counts()["requests"].size();
  awaitCondition("others use the slots", [&] {
    return Target.counts()["requests"].size() > Before + 400;
  });
  // A slow table service extends the time in which the instance has lost its
  // old session and has no new one.
  Target.fault({{"target", "table"}, {"delay_ms", 400}});
  Target.signalDaemon(2, SIGCONT);
  awaitCondition("the woken instance answers",
                 [&] { return !Target.request(2, "woken").Outcome.empty(); });
  Target.fault({{"target", "table"}, {"delay_ms", 0}});
  awaitCondition("a new session", [&] {
    return Target.request(2, "after-pause").Outcome == "done";
  });
  const auto Results = Callers.stop();
  expectHonest(Results, Target.counts());
  EXPECT_EQ(Target.counts()["slot_refusals"], 0);
}

// Guards against busy instances that never release a slot to a new instance
// because every slot is in use whenever they check.
TEST(RequestsProcessTest, BusyInstancesMakeRoomForANewOne) {
  standins::CellOptions Options;
  Options.Executors = 1;
  Cluster Target(2, Options);
  Target.addTeam();
  Load Callers(Target, {0, 1}, 32, 50);
  awaitCondition("load",
                 [&] { return Target.counts()["requests"].size() > 100; });
  const std::size_t Fresh = Target.startDaemon();
  awaitCondition("a slot for the new instance", [&] {
    return Target.request(Fresh, "room").Outcome == "done";
  });
  const auto Results = Callers.stop();
  expectHonest(Results, Target.counts());
}

// Guards against forwarding a response that is truncated or belongs to another
// request, and against retrying a non-idempotent request.
TEST(RequestsProcessTest, DamagedAnswersAreNeverPassedOn) {
  Cluster Target(1);
  Target.addTeam();
  for (const char *Fault : {"truncate", "stale_answers", "refuse"}) {
    const auto Set = [&](bool On) {
      for (const char *Executor : {"executor:e0", "executor:e1"})
        Target.fault({{"target", Executor}, {Fault, On}});
    };
    Set(true);
    const std::string Body = std::string("{\"fault\":\"") + Fault + "\"}";
    const RequestResult Result = Target.request(0, Body);
    EXPECT_NE(Result.Outcome, "done") << Fault << ": " << Result.Body;
    EXPECT_LE(Target.counts()["bodies"].value(Body, 0U), 1U) << Fault;
    if (Result.Outcome == "not_run") {
      EXPECT_EQ(Target.counts()["bodies"].value(Body, 0U), 0U) << Fault;
    }
    Set(false);
  }
  awaitCondition("service after the faults",
                 [&] { return Target.request(0, "after").Outcome == "done"; });
}

// Guards against new requests to an executor that is leaving while the instance
// list still shows it as live.
TEST(RequestsProcessTest, LeavingExecutorGetsNothingNew) {
  Cluster Target(2);
  Target.addTeam();
  Target.fault({{"target", "list"}, {"list_lag_ms", 3000}});
  constexpr std::size_t Callers = 4;
  Load Sender(Target, {0, 1}, Callers, 10);
  awaitCondition("load",
                 [&] { return Target.counts()["requests"].size() > 50; });
  Target.fault({{"target", "executor:e0"}, {"leaving", true}});
  const std::size_t Before = Target.counts()["requests"].size();
  awaitCondition("load on the other executor", [&] {
    return Target.counts()["requests"].size() > Before + 100;
  });
  const auto Results = Sender.stop();
  const nlohmann::json Counts = Target.counts();
  expectHonest(Results, Counts);
  int Failed = 0;
  for (const auto &[Body, Result] : Results)
    Failed += Result.Outcome == "done" ? 0 : 1;
  EXPECT_LE(Counts["leaving_refusals"], Callers) << "sent after a refusal";
  EXPECT_EQ(Failed, 0) << "a refusal by a leaving executor is tried elsewhere";
}

// Guards against idempotent requests that fail, and non-idempotent ones that
// run twice or are misreported, while the instance list shows an executor as
// live that does not respond and, later, that has died.
TEST(RequestsProcessTest, DeadExecutorShownAsLiveFailsNoIdempotentRequest) {
  Cluster Target(2);
  Target.addTeam();
  Target.fault({{"target", "list"}, {"list_lag_ms", 60000}});
  Load Repeatable(Target, {0, 1}, 2, 10, true);
  Load Single(Target, {0, 1}, 4, 10);
  const auto MakeProgress = [&] {
    const std::size_t Before = Repeatable.size();
    awaitCondition("load", [&] { return Repeatable.size() > Before + 100; });
  };
  MakeProgress();
  Target.fault({{"target", "executor:e0"}, {"down", true}});
  MakeProgress();
  Target.fault({{"target", "executor:e0"}, {"down", false}});
  MakeProgress();
  Target.cell().killExecutor(0);
  MakeProgress();
  const auto Results = Single.stop();
  EXPECT_GT(expectHonest(Results, Target.counts()), 100);
  for (const auto &[Body, Result] : Repeatable.stop())
    EXPECT_EQ(Result.Outcome, "done") << Body << " " << Result.Body;
}

// Guards against a request that is aborted because its key is revoked before
// the response, and against accepting a later request with that key.
TEST(RequestsProcessTest, RequestInFlightOutlivesItsKey) {
  Cluster Target(3);
  Target.addTeam();
  RequestResult InFlight;
  std::thread Caller(
      [&] { InFlight = Target.request(0, "{\"work_ms\":2800}", false, 3000); });
  awaitCondition("the request runs", [&] {
    return Target.counts()["bodies"].contains("{\"work_ms\":2800}");
  });
  Target.change({RevokeKey{"koksne-1"}}, {0, 1, 2});
  const RequestResult Late = Target.request(0, "late");
  const bool WasInFlight = Target.counts()["live_requests"] == 1;
  Caller.join();
  EXPECT_TRUE(WasInFlight) << "the key was withdrawn too late for this test";
  EXPECT_EQ(InFlight.Outcome, "done") << InFlight.Body;
  EXPECT_EQ(Late.Status, 401);
  EXPECT_EQ(Late.Outcome, "not_run");
  EXPECT_FALSE(Target.counts()["bodies"].contains("late"));
}

} // namespace
} // namespace apricotwing::process
