/// \file
/// Steps that wait beside workers that are reserved for suspect tasks. A job
/// may stand still for 3 s while under half of the processors are in use.
#include "jobs/jobschedulertest.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace apricotwing::jobs {
namespace {

constexpr Duration MaxStandstill{3000};

class IsolationTest : public JobSchedulerTest {
protected:
  /// Adds \p Count jobs of one small task, under each of which two workers
  /// crash, and lets each have one of the workers w0, w1, ... to itself.
  std::vector<StartCommand> reserveWorkers(int Count) {
    for (int Number = 0; Number < Count; ++Number)
      addJob("batch", step(1, 1000, Duration{60'000}));
    for (int Crash = 0; Crash < 2; ++Crash) {
      const WorkerIncarnation Host = addWorker("bad" + std::to_string(Crash));
      const std::vector<StartCommand> Starts = startsWithin(Duration{100});
      EXPECT_EQ(Starts.size(), std::size_t(Count));
      for (const StartCommand &Start : Starts)
        Scheduler.markDispatched(Start);
      Scheduler.removeWorker(Host, WorkerLoss::ProcessEnded, Now);
    }
    for (int Number = 0; Number < Count; ++Number)
      addWorker("w" + std::to_string(Number));
    std::vector<StartCommand> Suspects = startsWithin(Duration{100});
    EXPECT_EQ(Suspects.size(), std::size_t(Count));
    EXPECT_EQ(Scheduler.reservedWorkers(Now), Count);
    return Suspects;
  }

  std::vector<StartCommand> startsWithin(Duration Length) {
    std::vector<StartCommand> Result;
    for (const TimePoint Until = Now + Length; Now + Duration{10} <= Until;) {
      const Decisions Made = decide();
      Result.insert(Result.end(), Made.Starts.begin(), Made.Starts.end());
      for (const AdviceRequest &Request : Made.Advice)
        answer(Request);
    }
    return Result;
  }

  /// Approves the workers of ApprovedWorkers, after the time the call takes.
  void answer(const AdviceRequest &Request) {
    std::vector<Approval> Approvals;
    for (const std::string &Id : Request.Workers)
      if (ApprovedWorkers.contains(Id))
        Approvals.push_back({Id, "ticket"});
    Now += Duration(Duration::rep(Request.CostMs));
    Scheduler.adviceArrived(Request.Step, Request.Workers, Approvals, Now);
  }

  void setLabel(const std::string &Id, const std::string &Label) {
    WorkerInfo Info = Scheduler.worker(Id)->info();
    Info.Labels = {Label};
    Scheduler.updateWorker(Info, Now);
  }

  static StepSpec gang(int Count, std::int64_t CpuMillis) {
    StepSpec Step = step(Count, CpuMillis);
    Step.Gang = true;
    return Step;
  }

  std::set<std::string> ApprovedWorkers;
};

// Guards against a gang that waits for 30 s because suspects have most of the
// workers to themselves.
TEST_F(IsolationTest, AGangStartsAlthoughMostWorkersAreReserved) {
  reserveWorkers(6);
  addWorker("w6");
  addWorker("w7");
  addJob("batch", gang(4, 20'000));
  EXPECT_EQ(startsWithin(MaxStandstill).size(), 4U);
}

// Guards against the same with advice, if most approved workers are reserved.
TEST_F(IsolationTest, AGangStartsAlthoughItsApprovedWorkersAreReserved) {
  reserveWorkers(6);
  for (int Number = 6; Number < 12; ++Number)
    addWorker("w" + std::to_string(Number));
  ApprovedWorkers = {"w0", "w1", "w2", "w3", "w6", "w7"};
  addJob("advised", gang(4, 20'000));
  EXPECT_EQ(startsWithin(MaxStandstill).size(), 4U);
}

// Guards against a step that waits for 30 s because all workers with its label
// are reserved.
TEST_F(IsolationTest, AStepStartsAlthoughAllWorkersItMayUseAreReserved) {
  reserveWorkers(2);
  setLabel("w0", "fast");
  setLabel("w1", "fast");
  for (int Number = 2; Number < 6; ++Number)
    addWorker("w" + std::to_string(Number));
  StepSpec Tasks = step(1, 30'000);
  Tasks.RequiredLabel = "fast";
  addJob("batch", Tasks);
  EXPECT_EQ(startsWithin(MaxStandstill).size(), 1U);
  StepSpec Gang = gang(2, 1000);
  Gang.RequiredLabel = "fast";
  addJob("batch", Gang);
  EXPECT_EQ(startsWithin(MaxStandstill).size(), 2U);
}

// Guards against the same for a step that needs advice.
TEST_F(IsolationTest, AStepGetsAdviceAboutReservedWorkers) {
  reserveWorkers(3);
  ApprovedWorkers = {"w1"};
  addJob("advised", step(1, 8000));
  EXPECT_EQ(startsWithin(MaxStandstill).size(), 1U);
}

// Guards against a suspect that finds no worker because others have all to
// themselves.
TEST_F(IsolationTest, ASuspectStartsAlthoughAllWorkersAreReserved) {
  const auto Suspects = reserveWorkers(3);
  Scheduler.removeWorker(Suspects[0].Worker, WorkerLoss::ProcessEnded, Now);
  const auto Starts = startsWithin(MaxStandstill);
  ASSERT_EQ(Starts.size(), 1U);
  EXPECT_EQ(Starts[0].Task, Suspects[0].Task);
}

// Guards against reservations that never end, as each suspect that joins others
// renews them.
TEST_F(IsolationTest, ASuspectWithCompanyReservesNothing) {
  const auto Suspects = reserveWorkers(2);
  const TimePoint ReservedUntil = Now + CrashHistory::DangerTime;
  Scheduler.removeWorker(Suspects[0].Worker, WorkerLoss::ProcessEnded, Now);
  ASSERT_EQ(startsWithin(Duration{11'000}).size(), 1U);
  EXPECT_EQ(Scheduler.reservedWorkers(Now), 1);
  EXPECT_EQ(Scheduler.reservedWorkers(ReservedUntil), 0);
}

// Guards against company for a suspect as soon as a step waits, although it
// would soon find room elsewhere.
TEST_F(IsolationTest, AStepWaitsBrieflyForOtherRoom) {
  reserveWorkers(3);
  addWorker("w3");
  addJob("batch", step(1, 32'000));
  const auto Full = startsWithin(Duration{10'000});
  ASSERT_EQ(Full.size(), 1U);
  addJob("batch", step(1, 1000));
  EXPECT_EQ(startsWithin(Duration{1000}).size(), 0U);
  end(Full[0], EndKind::Done);
  const auto Starts = startsWithin(Duration{100});
  ASSERT_EQ(Starts.size(), 1U);
  EXPECT_EQ(Starts[0].Worker.Id, "w3");
}

// Guards against reservations that all end as soon as work waits: without
// isolation, sound tasks are blamed for the crashes of others.
TEST_F(IsolationTest, ABacklogDoesNotEndTheIsolation) {
  reserveWorkers(2);
  for (int Number = 2; Number < 8; ++Number)
    addWorker("w" + std::to_string(Number));
  for (int Number = 0; Number < 40; ++Number)
    addJob("batch", step(1, 32'000, Duration{60'000}));
  ASSERT_EQ(startsWithin(Duration{100}).size(), 6U);
  addJob("batch", gang(2, 8000));
  addJob("quick", step(1, 1000));
  EXPECT_EQ(startsWithin(Duration{25'000}).size(), 0U);
}

// Guards against company for a suspect that is no job's only way to run: those
// that have a task at work wait.
TEST_F(IsolationTest, AJobThatIsAtWorkUsesNoReservedWorkers) {
  reserveWorkers(3);
  addWorker("w3");
  addJob("batch", step(64, 1000, Duration{60'000}));
  EXPECT_EQ(startsWithin(Duration{25'000}).size(), 32U);
}

// Guards against a wide job that ends the isolation of all suspects at once.
TEST_F(IsolationTest, OneTaskOfAJobUsesAReservedWorker) {
  reserveWorkers(3);
  addJob("batch", step(64, 1000, Duration{60'000}));
  EXPECT_EQ(startsWithin(Duration{25'000}).size(), 1U);
}

// Guards against company for a suspect that has just started, beside another
// that has run for long.
TEST_F(IsolationTest, TheSuspectThatHasRunLongestGetsCompanyFirst) {
  const auto Suspects = reserveWorkers(3);
  Now += Duration{10'000};
  for (const std::size_t Index : {0U, 2U})
    Scheduler.startRefused(Suspects[Index].Worker, Suspects[Index].Task,
                           Suspects[Index].Run, StartRefusal::Expired, Now);
  ASSERT_EQ(startsWithin(Duration{100}).size(), 2U);
  addJob("batch", step(1, 1000));
  const auto Starts = startsWithin(MaxStandstill);
  ASSERT_EQ(Starts.size(), 1U);
  EXPECT_EQ(Starts[0].Worker, Suspects[1].Worker);
}

// Guards against a suspect that is found guilty of a crash by which its company
// may have ended the worker.
TEST_F(IsolationTest, ASuspectWithCompanyIsNotApart) {
  const auto Suspects = reserveWorkers(1);
  const auto Id = TaskId::parse(Suspects[0].Task);
  addJob("batch", step(1, 1000));
  ASSERT_EQ(startsWithin(MaxStandstill).size(), 1U);
  Scheduler.markDispatched(Suspects[0]);
  Scheduler.removeWorker(Suspects[0].Worker, WorkerLoss::ProcessEnded, Now);
  const auto &Records =
      Scheduler.find(Id->Job)->Steps[0].Tasks[0].Crashes.records();
  ASSERT_EQ(Records.size(), 3U);
  EXPECT_FALSE(Records.back().Apart);
}

// Guards against a task that lasts and finds no worker, because each start of
// another task of its step begins the wait anew.
TEST_F(IsolationTest, ATaskThatLastsStartsWhileAnotherIsStartedAgainAndAgain) {
  reserveWorkers(1);
  addWorker("w1");
  for (const std::string Id : {"w2", "w3", "w4", "w5"})
    addWorker(Id);
  setLabel("w0", "x");
  setLabel("w1", "x");
  StepSpec Lasting = step(2, 4000);
  Lasting.LongRunning = true;
  Lasting.MaxPerWorker = 1;
  Lasting.RequiredLabel = "x";
  const std::string Id = addJob("batch", Lasting);
  StepSpec Sound = step(1, 1000); // So that w1 does not seem to be faulty.
  Sound.RequiredLabel = "x";
  const TimePoint Limit = Now + Duration{6000} + MaxStandstill;
  std::set<std::string> Hosts;
  while (Now < Limit && Hosts.size() < 2) {
    addJob("batch", Sound);
    for (const StartCommand &Start : startsWithin(Duration{1000})) {
      const bool Lasts = Start.Task.starts_with(Id + ".");
      if (Lasts)
        Hosts.insert(Start.Worker.Id);
      if (!Lasts || Start.Worker.Id == "w1")
        end(Start, Lasts ? EndKind::Failed : EndKind::Done);
    }
  }
  EXPECT_EQ(Hosts.size(), 2U);
}

} // namespace
} // namespace apricotwing::jobs
