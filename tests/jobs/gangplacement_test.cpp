#include "jobs/jobschedulertest.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace apricotwing::jobs {
namespace {

class GangPlacementTest : public JobSchedulerTest {
protected:
  /// Fills four workers with two tasks of 16 cores each. Returns the start
  /// commands by worker.
  std::map<std::string, std::vector<StartCommand>> fillWorkers() {
    for (const std::string Id : {"w1", "w2", "w3", "w4"})
      addWorker(Id);
    addJob("batch", step(8, 16'000));
    std::map<std::string, std::vector<StartCommand>> Result;
    for (const StartCommand &Start : decide().Starts)
      Result[Start.Worker.Id].push_back(Start);
    return Result;
  }

  static StepSpec gang(int Count, std::int64_t CpuMillis) {
    StepSpec Step = step(Count, CpuMillis);
    Step.Gang = true;
    return Step;
  }

  /// True if job \p Id requests advice within MaxStartRounds.
  bool asksInTime(const std::string &Id) {
    for (int Round = 0; Round < MaxStartRounds; ++Round)
      for (const AdviceRequest &Request : decide().Advice)
        if (Request.Step == stepName(Id, 0))
          return true;
    return false;
  }

  /// Adds \p Count gangs that no worker may run.
  void addGangsWithoutWorkers(int Count) {
    StepSpec Step = gang(2, 2000);
    Step.RequiredLabel = "none";
    for (int Number = 0; Number < Count; ++Number)
      addJob("batch", Step);
  }
};

// Guards against a gang that no round compares with the workers, because those
// before it, which may not start, use up the comparisons.
TEST_F(GangPlacementTest, StartsAGangBehindManyOfAnAccountAtItsLimit) {
  addWorker("w1");
  addJob("batch", step(4, 2000), "small");
  ASSERT_EQ(decide().Starts.size(), 4U);
  for (int Number = 0; Number < 20; ++Number)
    addJob("batch", gang(2, 2000), "small");
  const std::string Id = addJob("batch", gang(2, 4000));
  const Decisions Made = decide();
  ASSERT_EQ(Made.Starts.size(), 2U);
  EXPECT_EQ(TaskId::parse(Made.Starts[0].Task)->Job, Id);
}

// Guards against the same if the gangs before it find no room.
TEST_F(GangPlacementTest, StartsAGangBehindManyThatFindNoRoom) {
  addWorker("w1");
  addGangsWithoutWorkers(40);
  EXPECT_TRUE(startsInTime(addJob("batch", gang(2, 4000))));
}

// Guards against the same among more steps than the front of the order has.
TEST_F(GangPlacementTest, StartsAGangBehindMoreGangsThanOneRoundConsiders) {
  addWorker("w1");
  addGangsWithoutWorkers(250);
  EXPECT_TRUE(startsInTime(addJob("batch", gang(2, 4000))));
}

// Guards against tasks that wait for the comparisons of gangs before them.
TEST_F(GangPlacementTest, StartsATaskBehindManyGangsAtOnce) {
  addWorker("w1");
  addGangsWithoutWorkers(40);
  addJob("batch", step(1, 4000));
  EXPECT_EQ(decide().Starts.size(), 1U);
}

// Guards against a gang that waits until whole workers are empty, although free
// slots on several partly used workers are enough for it.
TEST_F(GangPlacementTest, AccumulatesFreeSlotsOnWorkersInUse) {
  const auto InitialStarts = fillWorkers();
  const std::string Id = addJob("quick", gang(4, 16'000));
  addJob("batch", step(8, 16'000));
  int Ended = 0;
  for (const auto &[Worker, Starts] : InitialStarts) {
    end(Starts.front(), EndKind::Done);
    const Decisions Made = decide();
    // No other step takes the slots that the gang has claimed.
    ASSERT_EQ(Made.Starts.size(), ++Ended == 4 ? 4U : 0U) << Worker;
    for (const StartCommand &Start : Made.Starts)
      EXPECT_TRUE(Start.Task.starts_with(Id));
  }
}

// Guards against claims of a cancelled job that keep resources from other jobs.
TEST_F(GangPlacementTest, ReleasesClaimsWhenTheJobIsCancelled) {
  const auto InitialStarts = fillWorkers();
  const std::string Id = addJob("quick", gang(4, 16'000));
  end(InitialStarts.begin()->second.front(), EndKind::Done);
  EXPECT_TRUE(decide().Starts.empty());
  addJob("batch", step(1, 16'000));
  EXPECT_TRUE(decide().Starts.empty());
  Scheduler.cancel(Id, Now);
  EXPECT_EQ(decide().Starts.size(), 1U);
}

// Guards against claims that outlive the step: a run of the gang that had been
// given up has succeeded while the gang waited.
TEST_F(GangPlacementTest, ReleasesClaimsWhenAGivenUpRunHasSucceeded) {
  const auto InitialStarts = fillWorkers();
  JobSpec Spec;
  Spec.Id = "chain";
  Spec.Queue = "quick";
  Spec.Steps = {gang(4, 16'000), step(1, 1000)};
  Spec.Steps[1].After = {0};
  Spec.Steps[1].RequiredLabel = "missing";
  Scheduler.add(Spec, false, Now);
  const StartCommand First = InitialStarts.begin()->second.front();
  end(First, EndKind::Done);
  EXPECT_TRUE(decide().Starts.empty());
  addJob("batch", step(1, 16'000));
  EXPECT_TRUE(decide().Starts.empty());
  end({First.Worker, "chain.0.0.0", 1, {}, {}, {}}, EndKind::Done);
  EXPECT_EQ(Scheduler.worker(First.Worker.Id)->claimed(), Resources{});
  EXPECT_EQ(decide().Starts.size(), 1U);
}

// Guards against resources that stay idle because they are claimed for a gang
// whose account is at its resource limit.
TEST_F(GangPlacementTest, ClaimsNothingForAnAccountAtItsLimit) {
  const auto InitialStarts = fillWorkers();
  addJob("quick", step(4, 2000), "small");
  addJob("quick", gang(4, 2000), "small"); // Both together exceed 8 cores.
  end(InitialStarts.begin()->second.front(), EndKind::Done);
  EXPECT_EQ(decide().Starts.size(), 4U);
  EXPECT_TRUE(decide().Starts.empty());
  for (const auto &[Id, Host] : Scheduler.workers())
    EXPECT_EQ(Host.claimed(), Resources{});
}

// Guards against a second call for advice, which takes over half a second,
// because the first named hardly more workers than were needed.
TEST_F(GangPlacementTest, NamesWorkersForHalfOfTheFixedCostOfACall) {
  for (int Number = 0; Number < 80; ++Number)
    addWorker("w" + std::to_string(Number));
  addJob("advised", gang(3, 9000));
  const Decisions Made = decide();
  ASSERT_EQ(Made.Advice.size(), 1U);
  EXPECT_EQ(Made.Advice[0].Workers.size(), 34U); // 480 ms / 2 / 7 ms.
}

// Guards against steps that request advice about the same workers at the same
// time: most of them found the slots taken when their answers arrived.
TEST_F(GangPlacementTest, ConcurrentAdviceRequestsStartAtDifferentWorkers) {
  for (int Number = 0; Number < 300; ++Number)
    addWorker("w" + std::to_string(Number));
  std::set<std::string> Named;
  std::size_t Names = 0;
  for (int Number = 0; Number < 4; ++Number)
    addJob("cheap", step(2, 9000));
  for (const AdviceRequest &Request : decide().Advice) {
    Names += Request.Workers.size();
    Named.insert(Request.Workers.begin(), Request.Workers.end());
  }
  EXPECT_GT(Names, 100U);
  EXPECT_GT(Named.size(), Names / 2);
}

// Guards against jobs past their firm deadline that use up the advice budget:
// after an outage there were hundreds of them, which requested advice again
// whenever their tickets expired, and all other jobs waited behind them.
TEST_F(GangPlacementTest, ExpiredJobsLeaveHalfOfTheAdviceBudgetToOthers) {
  addWorker("w1");
  const std::string Old = addJob("cheap", step(1, 9000));
  Now += Duration{60'000}; // Beyond its firm deadline.
  Budget = AdviceBudget{4, 200, 4, 500};
  EXPECT_TRUE(decide().Advice.empty());
  const std::string Fresh = addJob("cheap", step(1, 9000));
  const Decisions Made = decide();
  ASSERT_EQ(Made.Advice.size(), 1U);
  EXPECT_TRUE(Made.Advice[0].Step.starts_with(Fresh));
  Budget = AdviceBudget{4, 500, 4, 500};
  const Decisions Idle = decide();
  ASSERT_EQ(Idle.Advice.size(), 1U);
  EXPECT_TRUE(Idle.Advice[0].Step.starts_with(Old));
}

// Guards against quick steps past their firm deadline that never ask because
// only the slow calls are short.
TEST_F(GangPlacementTest, ExpiredJobsAskWhileOnlyTheOtherKindOfCallIsShort) {
  addWorker("w1");
  const std::string Cheap = addJob("cheap", step(1, 9000));
  const std::string Slow = addJob("advised", step(1, 9000));
  Now += Duration{60'000}; // Beyond their firm deadlines.
  Budget = AdviceBudget{0, 0, 4, 500};
  decide(); // Ranks them among the expired steps.
  Budget = AdviceBudget{1, 500, 4, 500};
  const Decisions FastOnly = decide();
  ASSERT_EQ(FastOnly.Advice.size(), 1U);
  EXPECT_TRUE(FastOnly.Advice[0].Step.starts_with(Cheap));
  Budget = AdviceBudget{4, 100, 4, 500};
  const Decisions SlowOnly = decide();
  ASSERT_EQ(SlowOnly.Advice.size(), 1U);
  EXPECT_TRUE(SlowOnly.Advice[0].Step.starts_with(Slow));
}

// Guards against gangs at the front that ask about each worker that appears,
// never start, and keep those behind them from ever asking.
TEST_F(GangPlacementTest, ExpiredGangsAskInTurn) {
  std::map<std::string, int> Calls;
  for (int Number = 0; Number < 6; ++Number)
    Calls[addJob("advised", gang(4, 16'000))] = 0;
  Now += Duration{60'000}; // Beyond their firm deadlines.
  Budget = AdviceBudget{0, 500, 2, 500};
  decide(); // Ranks them among the expired steps.
  Budget.SlowCalls = 1;
  for (int Number = 0; Number < 30; ++Number) {
    for (const std::string Part : {"a", "b", "c", "d"})
      addWorker("w" + std::to_string(Number) + Part);
    for (const AdviceRequest &Request : decide().Advice) {
      ++Calls[Request.Step.substr(0, Request.Step.find('.'))];
      Now += Duration{600};
      Scheduler.adviceArrived(Request.Step, Request.Workers, {}, Now);
    }
  }
  for (const auto &[Id, Count] : Calls)
    EXPECT_GE(Count, 3) << Id;
}

// Guards against slow calls about one worker each for a gang that cannot start,
// while workers come and go.
TEST_F(GangPlacementTest, AsksAboutWorkersThatComeAndGoTogether) {
  fillWorkers();
  addJob("advised", gang(12, 16'000));
  const Decisions First = decide();
  ASSERT_EQ(First.Advice.size(), 1U);
  Scheduler.adviceArrived(First.Advice[0].Step, First.Advice[0].Workers, {},
                          Now);
  constexpr int Arrivals = 40;
  int Calls = 0;
  for (int Number = 1; Number <= Arrivals; ++Number) {
    const WorkerIncarnation Host = addWorker("new" + std::to_string(Number));
    for (const AdviceRequest &Request : decide().Advice) {
      ++Calls;
      Scheduler.adviceArrived(Request.Step, Request.Workers, {}, Now);
    }
    Now += Duration{490};
    Scheduler.removeWorker(Host, WorkerLoss::ProcessEnded, Now);
  }
  EXPECT_GT(Calls, 0);
  EXPECT_LE(Calls, Arrivals / 4);
  // With enough free slots it asks at once.
  for (int Number = 1; Number <= 6; ++Number)
    addWorker("last" + std::to_string(Number));
  const Decisions Last = decide();
  ASSERT_EQ(Last.Advice.size(), 1U);
  EXPECT_EQ(Last.Advice[0].Workers.size(), 6U);
}

// Guards against a gang past its firm deadline that never asks because gangs
// that cannot start keep most places for slow calls.
TEST_F(GangPlacementTest, GangsThatCannotStartLeaveCallsToAnExpiredOne) {
  fillWorkers();
  const std::string Expired = addJob("advised", gang(12, 16'000));
  Budget = AdviceBudget{0, 500, 4, 500};
  Now += Duration{60'000}; // Beyond its firm deadline.
  decide();
  StepSpec OnTime = gang(12, 16'000);
  OnTime.Estimate = Duration{60'000};
  for (int Number = 0; Number < 3; ++Number)
    addJob("advised", OnTime);
  std::map<std::string, TimePoint> Open; // When the calls end, by step.
  std::map<std::string, std::vector<std::string>> Named;
  std::optional<WorkerIncarnation> Last;
  int ExpiredCalls = 0;
  const TimePoint Start = Now;
  for (int Round = 0; Now - Start < Duration{20'000}; ++Round) {
    if (Round % 10 == 0) { // About every 0.5 s.
      if (Last)
        Scheduler.removeWorker(*Last, WorkerLoss::ProcessEnded, Now);
      Last = addWorker("new" + std::to_string(Round));
    }
    Now += Duration{40};
    std::erase_if(Open, [this, &Named](const auto &Call) {
      if (Now < Call.second)
        return false;
      Scheduler.adviceArrived(Call.first, Named[Call.first], {}, Now);
      return true;
    });
    Budget.SlowCalls = 4 - int(Open.size());
    for (const AdviceRequest &Request : decide().Advice) {
      Open[Request.Step] = Now + Duration{600};
      Named[Request.Step] = Request.Workers;
      ExpiredCalls += Request.Step.starts_with(Expired) ? 1 : 0;
    }
  }
  EXPECT_GT(ExpiredCalls, 0);
}

TEST_F(GangPlacementTest, RepeatsAFailedCallAboutAFewWorkersAtOnce) {
  fillWorkers();
  addJob("advised", gang(12, 16'000));
  for (int Number = 0; Number < 5; ++Number) {
    const Decisions Made = decide();
    ASSERT_EQ(Made.Advice.size(), 1U);
    Scheduler.adviceFailed(Made.Advice[0].Step);
  }
}

// Guards against starts that a worker refuses because the ticket has expired:
// an answer took long to reach the leader.
TEST_F(GangPlacementTest, UsesNoTicketThatMayHaveExpiredSinceTheAnswer) {
  const auto InitialStarts = fillWorkers();
  addJob("advised", gang(2, 16'000));
  const Decisions Made = decide();
  ASSERT_EQ(Made.Advice.size(), 1U);
  std::vector<Approval> Approved;
  for (const std::string &Id : Made.Advice[0].Workers)
    Approved.push_back({Id, "ticket"});
  Scheduler.adviceArrived(Made.Advice[0].Step, Made.Advice[0].Workers, Approved,
                          Now, Duration{700});
  Now += Duration{1400}; // The tickets are valid for 2 s.
  for (const StartCommand &Start : InitialStarts.at("w1"))
    end(Start, EndKind::Done);
  const Decisions Later = decide();
  EXPECT_TRUE(Later.Starts.empty());
  EXPECT_EQ(Later.Advice.size(), 1U);
}

// Guards against a gang that never starts because each answer takes longer to
// arrive than its tickets are valid.
TEST_F(GangPlacementTest, UsesTicketsThatHaveJustArrivedHoweverLongTheyTook) {
  addWorker("w1");
  addJob("advised", gang(2, 16'000));
  const Decisions Made = decide();
  ASSERT_EQ(Made.Advice.size(), 1U);
  Scheduler.adviceArrived(Made.Advice[0].Step, Made.Advice[0].Workers,
                          {{"w1", "ticket"}}, Now, Duration{60'000});
  EXPECT_EQ(decide().Starts.size(), 2U);
}

// Guards against gangs that each hold part of what the other needs: in an empty
// cell, both waited for ever.
TEST_F(GangPlacementTest, TakesTheClaimsOfGangsBehindIt) {
  for (int Number = 0; Number < 10; ++Number)
    addWorker("other" + std::to_string(Number));
  WorkerInfo Labelled = Scheduler.worker("other0")->info();
  Labelled.Labels = {"large"};
  Scheduler.updateWorker(Labelled, Now);
  StepSpec Half = step(2, 16'000);
  Half.RequiredLabel = "large";
  addJob("batch", Half);
  const auto Initial = decide().Starts;
  ASSERT_EQ(Initial.size(), 2U);
  StepSpec Both = Half;
  Both.Gang = true;
  const std::string Late = addJob("batch", Both);
  end(Initial[0], EndKind::Done);
  EXPECT_TRUE(decide().Starts.empty()); // It claims one of two slots.
  Now += Duration{6000};
  decide(); // Ranks it among the late steps.
  const std::string OnTime = addJob("batch", Both);
  end(Initial[1], EndKind::Done);
  const auto Started = decide().Starts;
  ASSERT_EQ(Started.size(), 2U);
  EXPECT_TRUE(Started[0].Task.starts_with(OnTime));
  for (const StartCommand &Start : Started)
    end(Start, EndKind::Done);
  const auto Last = decide().Starts;
  ASSERT_EQ(Last.size(), 2U);
  EXPECT_TRUE(Last[0].Task.starts_with(Late));
}

// Guards against a gang that can never run with the workers it may use, and
// whose claims keep others from running.
TEST_F(GangPlacementTest, ClaimsNothingForAGangThatDoesNotFit) {
  const auto InitialStarts = fillWorkers();
  addJob("quick", gang(9, 16'000));
  const std::string Small = addJob("batch", gang(3, 16'000));
  std::size_t Started = 0;
  for (const std::string Worker : {"w1", "w2", "w3"}) {
    end(InitialStarts.at(Worker).front(), EndKind::Done);
    Started += decide().Starts.size();
  }
  EXPECT_EQ(Started, 3U);
}

// Guards against a task with low slack that waits for resources which a gang
// has only claimed.
TEST_F(GangPlacementTest, UrgentTasksUseClaimedResources) {
  const auto InitialStarts = fillWorkers();
  StepSpec LargeGang = gang(4, 16'000);
  LargeGang.Estimate = Duration{9000};
  addJob("batch", LargeGang);
  end(InitialStarts.begin()->second.front(), EndKind::Done);
  EXPECT_TRUE(decide().Starts.empty());
  const std::string Id = addJob("quick", step(1, 4000));
  const Decisions Made = decide();
  ASSERT_EQ(Made.Starts.size(), 1U);
  EXPECT_TRUE(Made.Starts[0].Task.starts_with(Id));
}

// Guards against tasks that never request advice, because all free resources
// are planned for gangs that cannot use them.
TEST_F(GangPlacementTest, AGangWithoutWorkersKeepsNoTaskFromItsAdvice) {
  addWorker("w1");
  addWorker("w2");
  StepSpec Large = gang(20, 16'000);
  Large.RequiredLabel = "none";
  addJob("advised", Large);
  EXPECT_TRUE(asksInTime(addJob("advised", step(1, 4000))));
}

// Guards against the same if tasks cannot use the free resources.
TEST_F(GangPlacementTest, TasksWithoutWorkersKeepNoOtherFromItsAdvice) {
  addWorker("w1");
  addWorker("w2");
  StepSpec Large = step(20, 16'000);
  Large.RequiredLabel = "none";
  addJob("advised", Large);
  EXPECT_TRUE(asksInTime(addJob("advised", step(1, 4000))));
}

// Guards against steps that wait for fast calls because those before them wait
// for slow ones.
TEST_F(GangPlacementTest, TasksWithoutSlowCallsKeepNoOtherFromItsAdvice) {
  addWorker("w1");
  addWorker("w2");
  ClusterPolicy Policy = Scheduler.settings();
  Queue Fast = queueOf("fast", 1, 2.2);
  Fast.Advice = AdviceSettings{130, 1.8, Duration{2000}};
  Policy.Queues.push_back(Fast);
  Scheduler.setPolicy(Policy);
  Budget = AdviceBudget{0, 500, 4, 500};
  addJob("advised", step(20, 16'000));
  EXPECT_TRUE(asksInTime(addJob("fast", step(1, 4000))));
}

// Guards against calls for advice about resources that steps before have been
// promised: the calls would be in vain.
TEST_F(GangPlacementTest, RequestsNoAdviceForWhatEarlierStepsAskFor) {
  addWorker("w1");
  const std::string First = addJob("advised", step(2, 16'000));
  addJob("advised", step(1, 4000));
  const Decisions Made = decide();
  ASSERT_EQ(Made.Advice.size(), 1U);
  EXPECT_EQ(Made.Advice[0].Step, stepName(First, 0));
}

} // namespace
} // namespace apricotwing::jobs
