/// \file
/// Which jobs count as waiting, and which as begun.
#include "jobs/jobschedulertest.h"

#include <string>
#include <vector>

namespace apricotwing::jobs {
namespace {

class BegunJobsTest : public JobSchedulerTest {
protected:
  /// Checks whether the only job of the queue "batch" waits.
  void expectWaiting(const JobScheduler &Of, const std::string &Id,
                     bool Waits) {
    EXPECT_EQ(Of.pending("batch"), Waits ? 1 : 0);
    EXPECT_EQ(Of.pending(), Waits ? 1 : 0);
    EXPECT_EQ(Of.view(Id), Waits ? JobView::Queued : JobView::InProgress);
  }
  void expectWaiting(const std::string &Id, bool Waits) {
    expectWaiting(Scheduler, Id, Waits);
  }

  void confirm(const StartCommand &Start) {
    Scheduler.confirmRun(Start.Worker, Start.Task, Start.Run);
  }

  /// A scheduler of the next term that has restored the job \p Id and knows
  /// the workers \p Hosts, but has not read their lists.
  JobScheduler nextLeader(const std::string &Id,
                          const std::vector<std::string> &Hosts) {
    JobScheduler Next(2);
    Next.setPolicy(Scheduler.settings());
    for (const std::string &Host : Hosts)
      Next.updateWorker(Scheduler.worker(Host)->info(), Now);
    const Job &Stored = *Scheduler.find(Id);
    Next.restore(Stored.Spec, Stored.progress(), Duration{0}, Now);
    return Next;
  }

  static StepSpec gang(int Members) {
    StepSpec Gang = step(Members, 9000);
    Gang.Gang = true;
    return Gang;
  }
};

// Guards against a job that counts as begun though its start may be lost.
TEST_F(BegunJobsTest, APlacedJobWaitsUntilAWorkerConfirmsARun) {
  addWorker("w1");
  const std::string Id = addJob("batch", step(2, 1000));
  const Decisions Made = decide();
  ASSERT_EQ(Made.Starts.size(), 2U);
  for (const StartCommand &Start : Made.Starts)
    Scheduler.markDispatched(Start);
  expectWaiting(Id, true);
  confirm(Made.Starts[1]);
  expectWaiting(Id, false);
}

// Guards against a job that waits for ever as its confirmation was lost.
TEST_F(BegunJobsTest, AJobHasBegunOnceAWorkerListsARun) {
  const WorkerIncarnation Host = addWorker("w1");
  const std::string Id = addJob("batch", step(1, 1000));
  const Decisions Made = decide();
  ASSERT_EQ(Made.Starts.size(), 1U);
  Scheduler.syncWorker(Host, {{Made.Starts[0].Task, Made.Starts[0].Run, "", 0}},
                       {}, Now);
  expectWaiting(Id, false);
}

// Guards against the same if the first report is that of an end.
TEST_F(BegunJobsTest, AJobHasBegunOnceARunHasEnded) {
  addWorker("w1");
  const std::string Id = addJob("batch", step(2, 1000));
  const Decisions Made = decide();
  ASSERT_EQ(Made.Starts.size(), 2U);
  end(Made.Starts[0], EndKind::Lapsed);
  expectWaiting(Id, false);
}

// Guards against a gang that counts as begun while its members wait for one.
TEST_F(BegunJobsTest, AGangWaitsUntilAllItsMembersAreConfirmed) {
  addWorker("w1");
  addWorker("w2");
  const std::string Id = addJob("batch", gang(4));
  Decisions Made = decide();
  ASSERT_EQ(Made.Starts.size(), 4U);
  for (int Index = 0; Index < 3; ++Index)
    confirm(Made.Starts[std::size_t(Index)]);
  expectWaiting(Id, true);
  for (int Index = 0; Index < 3; ++Index)
    end(Made.Starts[std::size_t(Index)], EndKind::Alone);
  Scheduler.startRefused(Made.Starts[3].Worker, Made.Starts[3].Task,
                         Made.Starts[3].Run, StartRefusal::Expired, Now);
  expectWaiting(Id, true);
  Made = decide();
  ASSERT_EQ(Made.Starts.size(), 4U);
  for (const StartCommand &Start : Made.Starts)
    confirm(Start);
  expectWaiting(Id, false);
}

// Guards against a gang that waits for ever as one confirmation was lost.
TEST_F(BegunJobsTest, AGangHasBegunOnceAMemberIsAtWork) {
  addWorker("w1");
  addWorker("w2");
  const std::string Id = addJob("batch", gang(4));
  const Decisions Made = decide();
  ASSERT_EQ(Made.Starts.size(), 4U);
  const StartCommand &Start = Made.Starts[0];
  Scheduler.runProgressed(Start.Worker, {Start.Task, Start.Run, "", 5}, Now);
  expectWaiting(Id, false);
}

// Guards against a next leader that takes a stored placement for a run.
TEST_F(BegunJobsTest, ANextLeaderCountsAPlacedJobAsWaiting) {
  const WorkerIncarnation Host = addWorker("w1");
  const std::string Id = addJob("batch", step(1, 1000));
  const Decisions Made = decide();
  ASSERT_EQ(Made.Starts.size(), 1U);
  JobScheduler Next = nextLeader(Id, {"w1"});
  expectWaiting(Next, Id, true);
  Next.syncWorker(Host, {{Made.Starts[0].Task, Made.Starts[0].Run, "", 0}}, {},
                  Now);
  expectWaiting(Next, Id, false);
}

// Guards against a next leader that counts jobs at work as waiting.
TEST_F(BegunJobsTest, ANextLeaderKnowsWhatHasBegun) {
  addWorker("w1");
  addWorker("w2");
  for (const bool IsGang : {false, true}) {
    const std::string Id = addJob("batch", IsGang ? gang(4) : step(4, 9000));
    const Decisions Made = decide();
    ASSERT_EQ(Made.Starts.size(), 4U);
    for (const StartCommand &Start : Made.Starts)
      confirm(Start);
    expectWaiting(nextLeader(Id, {"w1", "w2"}), Id, false);
    for (const StartCommand &Start : Made.Starts)
      end(Start, EndKind::Done);
  }
}

// Guards against a job that is shown as queued again after its run was lost.
TEST_F(BegunJobsTest, AJobStaysBegunAfterItsRunIsLost) {
  const WorkerIncarnation Host = addWorker("w1");
  const std::string Id = addJob("batch", step(1, 1000));
  const Decisions Made = decide();
  ASSERT_EQ(Made.Starts.size(), 1U);
  Scheduler.markDispatched(Made.Starts[0]);
  confirm(Made.Starts[0]);
  Scheduler.removeWorker(Host, WorkerLoss::ProcessEnded, Now);
  expectWaiting(Id, false);
  expectWaiting(nextLeader(Id, {}), Id, false);
}

// Guards against a count that is lowered twice for one job.
TEST_F(BegunJobsTest, CountsEachJobOnce) {
  addWorker("w1");
  const std::string Cancelled = addJob("batch", step(1, 1000));
  const Decisions Made = decide();
  ASSERT_EQ(Made.Starts.size(), 1U);
  Scheduler.cancel(Cancelled, Now);
  EXPECT_EQ(Scheduler.pending("batch"), 0);
  confirm(Made.Starts[0]);
  end(Made.Starts[0], EndKind::Stopped);
  EXPECT_EQ(Scheduler.pending("batch"), 0);
  const std::string Id = addJob("batch", step(1, 1000));
  const Decisions Again = decide();
  ASSERT_EQ(Again.Starts.size(), 1U);
  expectWaiting(Id, true);
  confirm(Again.Starts[0]);
  confirm(Again.Starts[0]);
  expectWaiting(Id, false);
  end(Again.Starts[0], EndKind::Done);
  EXPECT_EQ(Scheduler.pending("batch"), 0);
}

} // namespace
} // namespace apricotwing::jobs
