/// \file
/// Fixture of the tests of JobScheduler.
#ifndef APRICOTWING_TESTS_JOBS_JOBSCHEDULERTEST_H
#define APRICOTWING_TESTS_JOBS_JOBSCHEDULERTEST_H

#include "jobs/jobscheduler.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace apricotwing::jobs {

/// Fixture with a scheduler, several kinds of queues, and helpers that add
/// workers of 32 cores and jobs of one step.
class JobSchedulerTest : public testing::Test {
protected:
  explicit JobSchedulerTest(const SchedulerOptions &Options = {})
      : Scheduler(1, Options) {
    ClusterPolicy Policy;
    Policy.Version = 1;
    Policy.Queues = {queueOf("quick", 0, 1.5), queueOf("batch", 2, 4)};
    Queue Advised = queueOf("advised", 1, 2.2);
    Advised.Advice = AdviceSettings{480, 7, Duration{2000}};
    Policy.Queues.push_back(Advised);
    Advised.Name = "cheap";
    Advised.Advice = AdviceSettings{6, 0.1, Duration{2000}};
    Policy.Queues.push_back(Advised);
    Policy.Accounts = {{"small", {"k"}, 10, {8000, 0, 0}},
                       {"large", {"l"}, 10, {}}};
    Policy.Upstreams = {{"service", false, false}};
    Scheduler.setPolicy(Policy);
  }

  static Queue queueOf(const std::string &Name, int Priority, double Slack) {
    Queue Result;
    Result.Name = Name;
    Result.Upstream = "service";
    Result.Priority = Priority;
    Result.MaxAttempts = 2;
    Result.SlackFactor = Slack;
    Result.LatencyTarget = Duration{1000};
    return Result;
  }

  WorkerIncarnation addWorker(const std::string &Id) {
    WorkerInfo Info;
    Info.Incarnation = {Id, 1};
    Info.Upstream = "service";
    Info.Capacity = {32'000, 65'536, 0};
    Scheduler.updateWorker(Info, Now);
    Scheduler.syncWorker(Info.Incarnation, {}, {}, Now);
    return Info.Incarnation;
  }

  void resize(const std::string &Id, std::int64_t CpuMillis) {
    WorkerInfo Info = Scheduler.worker(Id)->info();
    Info.Capacity.CpuMillis = CpuMillis;
    Scheduler.updateWorker(Info, Now);
  }

  /// Adds a worker, on which the only waiting task is started, and lets it
  /// crash \p Age later.
  void crashAfter(const std::string &Id, Duration Age) {
    const WorkerIncarnation Host = addWorker(Id);
    Decisions Made = decide();
    if (Made.Starts.empty())
      Made = decide(); // The step got a new rank.
    ASSERT_EQ(Made.Starts.size(), 1U);
    Scheduler.markDispatched(Made.Starts[0]);
    Now += Age;
    Scheduler.removeWorker(Host, WorkerLoss::ProcessEnded, Now);
  }

  std::string addJob(const std::string &Queue, StepSpec Step,
                     const std::string &Account = "large") {
    JobSpec Spec;
    Spec.Id = "job" + std::to_string(++LastJob);
    Spec.Queue = Queue;
    Spec.Account = Account;
    Spec.Steps = {std::move(Step)};
    Scheduler.add(Spec, false, Now);
    return Spec.Id;
  }

  static StepSpec step(int Count, std::int64_t CpuMillis,
                       Duration Estimate = Duration{1000}) {
    StepSpec Step;
    Step.Count = Count;
    Step.Request = {CpuMillis, 1024, 0};
    Step.Estimate = Estimate;
    return Step;
  }

  Decisions decide() {
    Now += Duration{10};
    return Scheduler.decide(Now, Budget);
  }

  /// A job must not stand still for 3 s, and two rounds are at most 100 ms
  /// apart.
  static constexpr int MaxStartRounds = 30;
  static constexpr Duration MaxRoundInterval{100};

  /// Runs rounds until a task of job \p Id is started; false if none is within
  /// MaxStartRounds.
  bool startsInTime(const std::string &Id) {
    for (int Round = 0; Round < MaxStartRounds; ++Round) {
      Now += MaxRoundInterval;
      for (const StartCommand &Start : Scheduler.decide(Now, Budget).Starts)
        if (TaskId::parse(Start.Task)->Job == Id)
          return true;
    }
    return false;
  }

  void end(const StartCommand &Start, EndKind Kind) {
    Scheduler.runEnded(Start.Worker,
                       {++LastEnd, Start.Task, Start.Run, Kind, ""}, Now);
  }

  /// Adds a job of one task, whose first run is given up while it may be at
  /// work and is replaced. Returns both starts; the second one is not sent
  /// unless \p IsSent. Adds workers.
  std::pair<StartCommand, StartCommand> replaceRun(const std::string &Queue,
                                                   const StepSpec &Step,
                                                   bool IsSent = true) {
    const std::string Number = std::to_string(LastJob);
    addWorker("a" + Number);
    addWorker("b" + Number);
    addJob(Queue, Step);
    return replacePlacedRun(IsSent);
  }

  /// The same for the only task that is ready.
  std::pair<StartCommand, StartCommand> replacePlacedRun(bool IsSent = true) {
    const Decisions Made = decide();
    EXPECT_EQ(Made.Starts.size(), 1U);
    const StartCommand First = Made.Starts.at(0);
    Scheduler.markDispatched(First);
    Scheduler.loseRuns(First.Worker, WorkerLoss::LeaseExpired, Now);
    Scheduler.syncWorker(First.Worker, {}, {}, Now);
    Decisions Again = decide();
    for (int Round = 0; Round < MaxStartRounds && Again.Starts.empty();
         ++Round) {
      Now += MaxRoundInterval;
      Again = decide();
    }
    EXPECT_EQ(Again.Starts.size(), 1U);
    const StartCommand Second = Again.Starts.at(0);
    EXPECT_GT(Second.Run, First.Run);
    if (IsSent)
      Scheduler.markDispatched(Second);
    return {First, Second};
  }

  /// Checks that a round stops the runs of \p Starts, and starts nothing.
  void expectOnlyStopped(const std::vector<StartCommand> &Starts) {
    const Decisions Made = decide();
    EXPECT_EQ(Made.Starts.size(), 0U);
    std::set<std::pair<std::string, std::int64_t>> Expected;
    for (const StartCommand &Start : Starts)
      Expected.emplace(Start.Task, Start.Run);
    std::set<std::pair<std::string, std::int64_t>> Stopped;
    for (const StopCommand &Stop : Made.Stops)
      Stopped.emplace(Stop.Task, Stop.Run);
    EXPECT_EQ(Stopped, Expected);
  }

  JobScheduler Scheduler;
  AdviceBudget Budget{4, 500};
  TimePoint Now{Duration{1'000'000}};
  int LastJob = 0;
  std::int64_t LastEnd = 0;
};

} // namespace apricotwing::jobs

#endif
