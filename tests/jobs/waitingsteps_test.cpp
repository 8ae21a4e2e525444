/// \file
/// What the scheduler reports about steps that wait.
#include "jobs/jobschedulertest.h"

#include <string>
#include <vector>

namespace apricotwing::jobs {
namespace {

class WaitingStepsTest : public JobSchedulerTest {
protected:
  static StepSpec gang(int Count, std::int64_t CpuMillis) {
    StepSpec Step = step(Count, CpuMillis);
    Step.Gang = true;
    return Step;
  }

  WaitingStep onlyWaitingStep() {
    const std::vector<WaitingStep> Steps =
        Scheduler.longestWaiting(Now, Duration{0}, 10);
    EXPECT_EQ(Steps.size(), 1U);
    return Steps.empty() ? WaitingStep() : Steps.front();
  }
};

// Guards against steps that wait for room and steps that wait for their
// account's limit, which no log line could tell apart.
TEST_F(WaitingStepsTest, TellsMissingRoomFromALimitOfTheAccount) {
  addWorker("w1");
  addJob("batch", step(1, 16'000), "small");
  decide();
  EXPECT_EQ(onlyWaitingStep().Cause, WaitCause::AccountLimit);
  const std::string Id = addJob("batch", gang(3, 16'000));
  decide();
  const auto Steps = Scheduler.longestWaiting(Now, Duration{0}, 10);
  ASSERT_EQ(Steps.size(), 2U);
  EXPECT_EQ(Steps[1].Name, stepName(Id, 0));
  EXPECT_EQ(Steps[1].Cause, WaitCause::NoSlots);
  EXPECT_EQ(Steps[1].FreeSlots, 2);
  EXPECT_EQ(Steps[1].SinceCompared, Duration{0});
  EXPECT_EQ(Scheduler.waitCauses(),
            (std::map<WaitCause, int>{{WaitCause::AccountLimit, 1},
                                      {WaitCause::NoSlots, 1}}));
}

// Guards against a gang that waits for a member of its last run, and is taken
// for one that finds no room.
TEST_F(WaitingStepsTest, TellsAGangWhoseMembersHaveNotEnded) {
  addWorker("w1");
  addWorker("w2");
  addJob("batch", gang(4, 16'000));
  const auto Starts = decide().Starts;
  ASSERT_EQ(Starts.size(), 4U);
  end(Starts[0], EndKind::Failed);
  decide();
  const WaitingStep Step = onlyWaitingStep();
  EXPECT_EQ(Step.Cause, WaitCause::MembersActive);
  EXPECT_EQ(Step.ReadyTasks, 1);
  EXPECT_EQ(Step.LastRun, 1);
}

// Guards against a step whose calls for advice fail, or that may make none, and
// that leaves no trace.
TEST_F(WaitingStepsTest, TellsWhatBecameOfTheCallForAdvice) {
  addWorker("w1");
  const std::string Id = addJob("advised", step(1, 9000));
  Budget = AdviceBudget{0, 0, 4, 500};
  decide();
  EXPECT_EQ(onlyWaitingStep().Cause, WaitCause::AdviceBudget);
  Budget = AdviceBudget{4, 500, 4, 500};
  ASSERT_EQ(decide().Advice.size(), 1U);
  EXPECT_EQ(onlyWaitingStep().Cause, WaitCause::AdvicePending);
  Scheduler.adviceFailed(stepName(Id, 0));
  EXPECT_EQ(onlyWaitingStep().FailedAdviceCalls, 1);
}

// Guards against room that is kept free beside a suspect task and looks like
// room that nobody uses.
TEST_F(WaitingStepsTest, CountsTheSlotsOnReservedWorkers) {
  addJob("batch", step(1, 9000));
  crashAfter("w1", Duration{500});
  crashAfter("w2", Duration{500});
  addWorker("w3");
  ASSERT_EQ(decide().Starts.size(), 1U);
  EXPECT_EQ(Scheduler.reservedWorkers(Now), 1);
  addJob("batch", gang(2, 9000));
  decide();
  const WaitingStep Step = onlyWaitingStep();
  EXPECT_EQ(Step.FreeSlots, 2);
  EXPECT_EQ(Step.ReservedSlots, 2);
}

} // namespace
} // namespace apricotwing::jobs
