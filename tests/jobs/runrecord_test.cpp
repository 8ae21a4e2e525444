/// \file
/// What the scheduler tells of earlier runs of a task, for the log.
#include "jobschedulertest.h"

#include <optional>
#include <vector>

namespace apricotwing::jobs {
namespace {

class RunRecordTest : public JobSchedulerTest {
protected:
  /// Starts the only waiting task.
  StartCommand startOne() {
    for (int Round = 0; Round < MaxStartRounds; ++Round) {
      const std::vector<StartCommand> Starts = decide().Starts;
      if (Starts.empty())
        continue;
      Scheduler.markDispatched(Starts[0]);
      return Starts[0];
    }
    ADD_FAILURE() << "nothing was started";
    return {};
  }

  const LossProof Proof{LossEvidence::LeaseEnded, LeaseBasis::Assumed, 40, 50};
};

// Guards against a line of a repeated start that does not tell what became of
// the run before, or takes that of an earlier one.
TEST_F(RunRecordTest, ARepeatedStartHasTheOutcomeOfTheRunBefore) {
  const WorkerIncarnation First = addWorker("w0");
  addJob("batch", step(1, 1000));
  const StartCommand Lost = startOne();
  EXPECT_EQ(Lost.Previous, std::nullopt);
  Scheduler.loseRuns(First, WorkerLoss::LeaseExpired, Now, {}, Proof);
  addWorker("w1");
  const StartCommand Failed = startOne();
  ASSERT_TRUE(Failed.Previous);
  EXPECT_EQ(*Failed.Previous,
            (PreviousRun{1, "w0", RunOutcome::Lost, Failed.Previous->Age,
                         WorkerLoss::LeaseExpired, Proof}));
  EXPECT_GT(Failed.Previous->Age, Duration{0});
  EXPECT_LE(Failed.Previous->Age, Duration{10} * MaxStartRounds);
  end(Failed, EndKind::Failed);
  const StartCommand Refused = startOne();
  ASSERT_TRUE(Refused.Previous);
  EXPECT_EQ(Refused.Previous->Run, 2);
  EXPECT_EQ(Refused.Previous->Worker, "w1");
  EXPECT_EQ(Refused.Previous->Outcome, RunOutcome::Failed);
  Scheduler.startRefused(Refused.Worker, Refused.Task, Refused.Run,
                         StartRefusal::Expired, Now);
  const StartCommand Unlisted = startOne();
  ASSERT_TRUE(Unlisted.Previous);
  EXPECT_EQ(Unlisted.Previous->Outcome, RunOutcome::Refused);
  Scheduler.syncWorker(Unlisted.Worker, {}, {}, Now);
  const StartCommand Last = startOne();
  ASSERT_TRUE(Last.Previous);
  EXPECT_EQ(Last.Previous->Outcome, RunOutcome::NotListed);
}

// Guards against a start that looks like the first one because another leader
// knew the run before.
TEST_F(RunRecordTest, AStartAfterATakeoverTellsThatTheRunBeforeIsUnknown) {
  addWorker("w0");
  JobSpec Spec;
  Spec.Id = "restored";
  Spec.Queue = "batch";
  Spec.Account = "large";
  Spec.Steps = {step(1, 1000)};
  Scheduler.restore(Spec, JobProgress{}, Duration{0}, Now);
  const StartCommand Start = startOne();
  ASSERT_TRUE(Start.Previous);
  EXPECT_EQ(Start.Previous->Outcome, RunOutcome::Unknown);
  EXPECT_EQ(Start.Previous->Run, 0);
  EXPECT_LE(Start.Previous->Age, Duration{10} * MaxStartRounds);
}

// Guards against an end that is acknowledged, does not count, and leaves no
// trace, because the task has a newer run.
TEST_F(RunRecordTest, TheEndOfAReplacedRunIsRecorded) {
  const WorkerIncarnation First = addWorker("w0");
  const std::string Id = addJob("batch", step(1, 1000));
  const StartCommand Lost = startOne();
  Scheduler.loseRuns(First, WorkerLoss::LeaseExpired, Now, {}, Proof);
  addWorker("w1");
  const StartCommand Newer = startOne();
  EXPECT_TRUE(Scheduler.takeGivenUpEnds().empty());
  end(Lost, EndKind::Done);
  const std::vector<GivenUpEnd> Ends = Scheduler.takeGivenUpEnds();
  ASSERT_EQ(Ends.size(), 1U);
  EXPECT_EQ(Ends[0].Run, 1);
  EXPECT_EQ(Ends[0].Worker.Id, "w0");
  EXPECT_EQ(Ends[0].Kind, EndKind::Done);
  EXPECT_EQ(Ends[0].Believed, RunOutcome::Lost);
  EXPECT_EQ(Ends[0].NewestRun, 2);
  EXPECT_EQ(Ends[0].NewestWorker, "w1");
  EXPECT_EQ(Ends[0].Counts,
            Scheduler.find(Id)->Steps[0].Tasks[0].Phase == TaskPhase::Done);
  EXPECT_TRUE(Scheduler.takeGivenUpEnds().empty());
}

// Guards against lines on ends that were recorded as usual and are listed again
// because they have not been acknowledged yet.
TEST_F(RunRecordTest, AnEndThatIsReportedTwiceIsNoEndOfAGivenUpRun) {
  const WorkerIncarnation Host = addWorker("w0");
  addJob("batch", step(1, 1000));
  const StartCommand Start = startOne();
  const EndedRun End{1, Start.Task, Start.Run, EndKind::Failed, ""};
  Scheduler.runEnded(Host, End, Now);
  Scheduler.syncWorker(Host, {}, {End}, Now);
  const StartCommand Next = startOne();
  Scheduler.runEnded(Host, End, Now);
  end(Next, EndKind::Done);
  end(Next, EndKind::Done);
  EXPECT_TRUE(Scheduler.takeGivenUpEnds().empty());
}

} // namespace
} // namespace apricotwing::jobs
