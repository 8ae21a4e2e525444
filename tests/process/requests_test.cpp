#include "process/cluster.h"

#include <gtest/gtest.h>

#include <signal.h>

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

namespace apricotwing::process {
namespace {

/// Callers that send requests without a pause and keep their results.
class Load {
public:
  Load(const Cluster &Target, const std::vector<std::size_t> &Daemons,
       std::size_t Callers, int WorkMs)
      : Target(Target) {
    for (std::size_t Index = 0; Index < Callers; ++Index)
      Threads.emplace_back([this, Index, Daemons, WorkMs] {
        for (int Number = 0; !Stopping; ++Number)
          sendOne(Daemons[Index % Daemons.size()], Index, Number, WorkMs);
      });
  }
  ~Load() { stop(); }

  std::map<std::string, RequestResult> stop() {
    Stopping = true;
    for (std::thread &Thread : Threads)
      Thread.join();
    Threads.clear();
    return Results;
  }

private:
  void sendOne(std::size_t Daemon, std::size_t Caller, int Number, int WorkMs) {
    const std::string Body = "{\"work_ms\":" + std::to_string(WorkMs) +
                             ",\"caller\":" + std::to_string(Caller) +
                             ",\"number\":" + std::to_string(Number) + "}";
    const RequestResult Result = Target.request(Daemon, Body);
    const std::lock_guard Lock(Mutex);
    Results[Body] = Result;
    if (Result.Status == 0)
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }

  const Cluster &Target;
  std::atomic<bool> Stopping{false};
  std::mutex Mutex;
  std::map<std::string, RequestResult> Results;
  std::vector<std::thread> Threads;
};

/// Compares what callers saw with what the executors counted. Returns how
/// many requests were answered.
int expectHonest(const std::map<std::string, RequestResult> &Results,
                 const nlohmann::json &Counts) {
  int Answered = 0;
  for (const auto &[Body, Result] : Results) {
    const std::uint64_t Executions = Counts["bodies"].value(Body, 0U);
    EXPECT_LE(Executions, 1U) << Body;
    if (Result.Outcome == "not_run") {
      EXPECT_EQ(Executions, 0U) << Body;
    }
    if (Result.Outcome != "done")
      continue;
    ++Answered;
    EXPECT_EQ(Executions, 1U) << Body;
    const auto Answer = nlohmann::json::parse(Result.Body, nullptr, false);
    EXPECT_TRUE(Answer.is_object() && Answer["echo"] == Body) << Result.Body;
  }
  EXPECT_LE(Counts["worst_slots"].get<int>(), 8);
  return Answered;
}

// Guards against requests that run twice, are answered with another's answer,
// or run although refused, while an instance dies under load.
TEST(RequestsProcessTest, KilledInstanceNeitherRepeatsNorMisreports) {
  Cluster Target(3);
  Target.addTeam();
  Load Callers(Target, {0, 1, 2}, 9, 20);
  awaitCondition("load",
                 [&] { return Target.counts()["requests"].size() > 100; });
  Target.signalDaemon(1, SIGKILL);
  Target.waitForExit(1);
  const std::size_t Before = Target.counts()["requests"].size();
  awaitCondition("load after the kill", [&] {
    return Target.counts()["requests"].size() > Before + 200;
  });
  const auto Results = Callers.stop();
  EXPECT_GT(expectHonest(Results, Target.counts()), 200);
}

// Guards against a graceful shutdown that cuts off requests: every call to
// the leaving instance gets a whole answer until it stops listening.
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

// Guards against an instance that wakes from a pause and sends under slots
// that were given to others meanwhile.
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
  Target.signalDaemon(2, SIGCONT);
  awaitCondition("a new session", [&] {
    return Target.request(2, "after-pause").Outcome == "done";
  });
  const auto Results = Callers.stop();
  expectHonest(Results, Target.counts());
  EXPECT_EQ(Target.counts()["slot_refusals"], 0);
}

// Guards against passing on an answer that is cut short or belongs to
// another request, and against sending a non-idempotent request again.
TEST(RequestsProcessTest, DamagedAnswersAreNeverPassedOn) {
  standins::CellOptions Options;
  Options.Executors = 1;
  Cluster Target(1, Options);
  Target.addTeam();
  for (const char *Fault : {"truncate", "stale_answers", "refuse"}) {
    Target.fault({{"target", "executor:e0"}, {Fault, true}});
    const std::string Body = std::string("{\"fault\":\"") + Fault + "\"}";
    const RequestResult Result = Target.request(0, Body);
    EXPECT_NE(Result.Outcome, "done") << Fault << ": " << Result.Body;
    EXPECT_LE(Target.counts()["bodies"].value(Body, 0U), 1U) << Fault;
    if (Result.Outcome == "not_run") {
      EXPECT_EQ(Target.counts()["bodies"].value(Body, 0U), 0U) << Fault;
    }
    Target.fault({{"target", "executor:e0"}, {Fault, false}});
  }
  awaitCondition("service after the faults",
                 [&] { return Target.request(0, "after").Outcome == "done"; });
}

// Guards against new work for an executor that is leaving while the list
// still shows it as live.
TEST(RequestsProcessTest, LeavingExecutorGetsNothingNew) {
  Cluster Target(2);
  Target.addTeam();
  Target.fault({{"target", "list"}, {"list_lag_ms", 3000}});
  Load Callers(Target, {0, 1}, 4, 10);
  awaitCondition("load",
                 [&] { return Target.counts()["requests"].size() > 50; });
  Target.fault({{"target", "executor:e0"}, {"leaving", true}});
  const std::size_t Before = Target.counts()["requests"].size();
  awaitCondition("load on the other executor", [&] {
    return Target.counts()["requests"].size() > Before + 100;
  });
  const auto Results = Callers.stop();
  expectHonest(Results, Target.counts());
  int Failed = 0;
  for (const auto &[Body, Result] : Results)
    Failed += Result.Outcome == "done" ? 0 : 1;
  EXPECT_EQ(Failed, 0) << "a refusal by a leaving executor is tried elsewhere";
}

} // namespace
} // namespace apricotwing::process
