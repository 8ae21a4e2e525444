#include "cell/codec.h"
#include "cell/journal.h"
#include "emulator/emulatedcell.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace apricotwing::emulator {
namespace {

using namespace std::chrono_literals;
using jobs::JobView;

/// Submits \p Count jobs at \p Instance in intervals of \p Interval and returns
/// their ids.
std::vector<std::string> submitMany(EmulatedCell &Cell,
                                    const std::string &Instance, int Count,
                                    const jobs::StepSpec &Step,
                                    Duration Interval = Duration{0}) {
  std::vector<std::string> Ids;
  Ids.reserve(std::size_t(Count));
  for (int Number = 0; Number < Count; ++Number) {
    Ids.push_back(Cell.submit(Instance, Step));
    Cell.run(Interval);
  }
  return Ids;
}

/// Queries the state of a job and returns the answer.
JobView viewOf(EmulatedCell &Cell, const std::string &Instance,
               const std::string &Id) {
  Cell.read(Instance, Id);
  Cell.run(200ms);
  return Cell.jobs().at(Id).View;
}

class CellTest : public testing::Test {
protected:
  CellTest() : Cell(1) { Cell.run(2s); }
  ~CellTest() override {
    for (const std::string &Violation : Cell.workers().violations())
      ADD_FAILURE() << Violation;
  }

  EmulatedCell Cell;
};

TEST_F(CellTest, CompletesAJobAndTellsItAtEachInstance) {
  const std::string Id = Cell.submit("n0", stepOf(5, 500ms));
  Cell.run(200ms);
  EXPECT_TRUE(Cell.jobs().at(Id).Accepted);
  EXPECT_EQ(viewOf(Cell, "n1", Id), JobView::InProgress);
  Cell.run(1s);
  for (const std::string &Name : Cell.names())
    EXPECT_EQ(viewOf(Cell, Name, Id), JobView::Completed);
  EXPECT_EQ(Cell.workers().doneRuns(), 5);
}

TEST_F(CellTest, RunsAGangWholeAndOnce) {
  const std::string Id = Cell.submit("n1", stepOf(12, 400ms, true), "/quick/");
  Cell.run(3s);
  EXPECT_EQ(viewOf(Cell, "n0", Id), JobView::Completed);
  EXPECT_EQ(Cell.workers().doneRuns(), 12);
}

// Guards against a repeated submission that creates a second job.
TEST_F(CellTest, TakesARepeatedSubmissionForTheSameJob) {
  const std::string Id = Cell.submit("n0", stepOf(2, 300ms));
  Cell.submitAgain("n1", Id);
  Cell.run(100ms);
  Cell.submitAgain("n2", Id);
  Cell.run(2s);
  EXPECT_EQ(Cell.workers().doneRuns(), 2);
  EXPECT_EQ(Cell.answers().at(cell::ClientStatus::Accepted), 3);
}

TEST_F(CellTest, StopsTheTasksOfACancelledJob) {
  const std::string Id = Cell.submit("n0", stepOf(4, 20s));
  Cell.run(500ms);
  EXPECT_EQ(Cell.workers().activeRuns(), 4);
  Cell.cancel("n2", Id);
  Cell.run(500ms);
  EXPECT_TRUE(Cell.jobs().at(Id).Cancelled);
  EXPECT_EQ(Cell.workers().activeRuns(), 0);
  EXPECT_EQ(viewOf(Cell, "n1", Id), JobView::Cancelled);
}

// Guards against a failed run that is counted twice, or not at all, when the
// leader changes: the job must fail after exactly three failed runs.
TEST_F(CellTest, CountsFailedRunsOnceAcrossLeaders) {
  jobs::StepSpec Step = stepOf(1, 900ms);
  const std::string Id = Cell.submit("n0", Step, "/batch/", "fails");
  Cell.run(1s); // The worker lists the first ended run at about this time.
  const std::string Old = Cell.leader();
  Cell.kill(Old);
  Cell.run(10s);
  const std::string Other = Old == "n0" ? "n1" : "n0";
  EXPECT_EQ(viewOf(Cell, Other, Id), JobView::Failed);
  EXPECT_EQ(Cell.workers().failures(Id + ".0.0.0"), 3);
}

// Guards against losing an accepted job, or running it twice, when the leader
// dies while the tasks of the job are running.
TEST_F(CellTest, GoesOnAfterTheLeaderDied) {
  const auto Ids = submitMany(Cell, "n0", 6, stepOf(4, 3s));
  Cell.run(500ms);
  Cell.kill(Cell.leader());
  Cell.run(3s);
  EXPECT_NE(Cell.leader(), "");
  Cell.run(6s);
  const std::string Name = Cell.leader();
  for (const std::string &Id : Ids)
    EXPECT_EQ(viewOf(Cell, Name, Id), JobView::Completed);
  EXPECT_EQ(Cell.workers().doneRuns(), 24);
}

// Guards against rejecting a submission that an earlier leader has stored: the
// caller would assume that the job never ran.
TEST_F(CellTest, NeverRefusesASubmissionThatMayBeStored) {
  const std::string Old = Cell.leader();
  const std::string Member = Old == "n0" ? "n1" : "n0";
  const auto Ids = submitMany(Cell, Member, 20, stepOf(1, 100ms), 2ms);
  Cell.kill(Old);
  Cell.run(6s);
  for (const std::string &Id : Ids) {
    const JobRecord &Job = Cell.jobs().at(Id);
    const bool Ran = Cell.workers().isDone(Id + ".0.0.0");
    EXPECT_TRUE(!Ran || Job.Accepted || Job.Unresolved) << Id;
  }
}

// Guards against waiting for the leader's lease to expire when only the leader
// has lost the store: it must resign so that another instance leads well before
// that.
TEST_F(CellTest, ResignsWhenOnlyTheLeaderLosesTheStore) {
  const std::string Old = Cell.leader();
  Cell.store().RefusedCallers.insert(Old);
  Cell.run(1100ms);
  EXPECT_NE(Cell.leader(), Old);
  EXPECT_NE(Cell.leader(), "");
}

// Guards against a change of the leader during an outage of the store for all
// instances: the state would be loaded again without any benefit.
TEST_F(CellTest, KeepsItsLeaderThroughAnOutageOfTheStore) {
  const std::string Old = Cell.leader();
  const std::string Id = Cell.submit("n0", stepOf(4, 2s));
  Cell.run(200ms);
  Cell.store().Down = true;
  Cell.run(4500ms);
  Cell.store().Down = false;
  Cell.run(1500ms);
  EXPECT_EQ(Cell.leader(), Old);
  EXPECT_EQ(Cell.node(Old).leader()->term(), 1);
  EXPECT_EQ(viewOf(Cell, "n1", Id), JobView::Completed);
  EXPECT_EQ(Cell.workers().doneRuns(), 4);
}

// Guards against a leader that resigns because the store is slow: it is as slow
// for the next leader. Found in the incident of koksne-sched.
TEST_F(CellTest, KeepsItsLeaderWhileTheStoreIsSlow) {
  const std::string Old = Cell.leader();
  Cell.store().Latency = 650ms;
  const std::string Id = Cell.submit("n1", stepOf(2, 500ms));
  Cell.run(8s);
  Cell.store().Latency = 5ms;
  Cell.run(1s);
  ASSERT_EQ(Cell.leader(), Old);
  EXPECT_EQ(Cell.node(Old).leader()->term(), 1);
  EXPECT_EQ(viewOf(Cell, "n2", Id), JobView::Completed);
}

// Guards against an order that takes effect although its leader was frozen
// while another instance took over.
TEST_F(CellTest, OrdersOfAFrozenLeaderHaveNoEffect) {
  const std::string Old = Cell.leader();
  const std::string Member = Old == "n0" ? "n1" : "n0";
  const auto Ids = submitMany(Cell, Member, 8, stepOf(3, 2s));
  Cell.run(15ms);
  Cell.freeze(Old);
  Cell.run(4s);
  Cell.thaw(Old);
  Cell.run(10s);
  int Accepted = 0;
  for (const std::string &Id : Ids)
    if (viewOf(Cell, Member, Id) == JobView::Completed)
      ++Accepted;
  EXPECT_EQ(Cell.workers().doneRuns(), Accepted * 3);
}

// Guards against a task that waits until the lease of its worker expires
// although the next process of the worker shows that the last one has ended.
TEST_F(CellTest, RepeatsTheWorkOfARestartedWorkerAtOnce) {
  const std::string Id = Cell.submit("n0", stepOf(6, 2s));
  Cell.run(500ms);
  for (const std::string Name : {"w0", "w1"})
    Cell.workers().crash(Name);
  Cell.run(1s);
  for (const std::string Name : {"w0", "w1"})
    Cell.workers().restart(Name);
  Cell.run(3500ms);
  EXPECT_EQ(viewOf(Cell, "n1", Id), JobView::Completed);
}

// Guards against a second run of a task while the first one continues on a
// disconnected worker.
TEST_F(CellTest, WaitsForTheLeaseOfAWorkerThatIsCutOff) {
  const std::string Id = Cell.submit("n0", stepOf(6, 30s));
  Cell.run(500ms);
  Cell.workers().Cut = {"w0", "w1", "w2"};
  Cell.run(12s);
  Cell.workers().Cut.clear();
  Cell.run(45s);
  EXPECT_EQ(viewOf(Cell, "n1", Id), JobView::Completed);
}

// Guards against calls to an unresponsive worker that postpone the assumed end
// of its lease forever, so that its tasks are never started again.
TEST_F(CellTest, RepeatsTheWorkOfASilentWorkerAfterItsLease) {
  const std::string Id = Cell.submit("n0", stepOf(6, 3s));
  Cell.run(500ms);
  Cell.workers().Cut = {"w0", "w1", "w2"};
  // The call in flight, a lease on the slowest clock, and the work once more.
  Cell.run(1600ms + 6700ms + 3s + 2s);
  EXPECT_EQ(viewOf(Cell, "n1", Id), JobView::Completed);
}

// Guards against an order that a worker executes seconds after the scheduler
// has given it up.
TEST_F(CellTest, SettlesOrdersThatAreCarriedOutLate) {
  Cell.workers().LateOrders = 0.3;
  const auto Ids = submitMany(Cell, "n0", 10, stepOf(3, 1s));
  Cell.run(25s);
  for (const std::string &Id : Ids)
    EXPECT_EQ(viewOf(Cell, "n1", Id), JobView::Completed);
}

// Guards against a commit whose response is lost and that therefore blocks the
// leader until the call times out, or is applied twice.
TEST_F(CellTest, GoesOnWhenAnswersOfTheStoreAreLost) {
  Cell.store().LostAnswers = 0.4;
  const auto Ids = submitMany(Cell, "n1", 20, stepOf(1, 200ms), 200ms);
  Cell.run(4s);
  Cell.store().LostAnswers = 0;
  Cell.run(2s);
  for (const std::string &Id : Ids)
    EXPECT_EQ(viewOf(Cell, "n0", Id), JobView::Completed);
  EXPECT_EQ(Cell.workers().doneRuns(), 20);
}

// Guards against a leader that keeps supervising all workers because its own
// instance joined first, and so has no time left for scheduling.
TEST_F(CellTest, SharesTheWorkersAmongItsMembers) {
  Cell.kill("n0");
  Cell.kill("n1");
  Cell.kill("n2");
  Cell.start("n0");
  Cell.run(3s);
  EXPECT_EQ(Cell.node("n0").agents()[0]->member().workerSessionCount(), 6U);
  Cell.start("n1");
  Cell.start("n2");
  Cell.run(3s);
  for (const std::string Name : {"n0", "n1", "n2"}) {
    EXPECT_GE(Cell.node(Name).agents()[0]->member().workerSessionCount(), 1U)
        << Name;
    EXPECT_LE(Cell.node(Name).agents()[0]->member().workerSessionCount(), 3U)
        << Name;
  }
}

// Guards against storing the end of a job in two commits. If only the first one
// was applied before the leader changed, the job was lost. Found by the fuzz
// test (seed 1, 53rd case).
TEST_F(CellTest, KeepsTheEndOfAJobWhenTheStoreIsSlow) {
  Cell.store().Latency = 400ms;
  const std::string Id = Cell.submit("n1", stepOf(2, 1280ms));
  Cell.run(1971ms);
  Cell.store().LostAnswers = 0.4;
  Cell.run(1101ms);
  Cell.store().LostAnswers = 0;
  Cell.store().Latency = 5ms;
  Cell.run(10s);
  EXPECT_EQ(viewOf(Cell, "n0", Id), JobView::Completed);
}

// Guards against a slow store that takes so few changes per second that callers
// wait until their deadline.
TEST_F(CellTest, AcceptsABurstWhileTheStoreIsSlow) {
  Cell.store().Latency = 650ms;
  Cell.run(1s);
  submitMany(Cell, "n1", 600, stepOf(1, 50ms), 2ms);
  Cell.run(2500ms);
  const auto &Answers = Cell.answers();
  EXPECT_FALSE(Answers.contains(cell::ClientStatus::Unresolved));
  EXPECT_FALSE(Answers.contains(cell::ClientStatus::Unavailable));
  EXPECT_GE(Answers.at(cell::ClientStatus::Accepted), 300);
  // What was stored in packed form survives a change of the leader.
  Cell.kill(Cell.leader());
  Cell.store().Latency = 5ms;
  Cell.run(40s);
  const std::string Name = Cell.leader();
  for (const auto &[Id, Job] : Cell.jobs())
    Cell.read(Name, Id);
  Cell.run(500ms);
  for (const auto &[Id, Job] : Cell.jobs())
    EXPECT_EQ(Job.Accepted, Job.View == JobView::Completed) << Id;
}

// Guards against an account that fills the cell beyond its share: its excess
// jobs must be rejected while work is waiting.
TEST_F(CellTest, RefusesWhatIsBeyondAnAccountsShareWhileWorkWaits) {
  for (int Number = 0; Number < 300; ++Number)
    Cell.submit("n1", stepOf(8, 2s));
  Cell.run(1s);
  EXPECT_GT(Cell.answers().at(cell::ClientStatus::Busy), 100);
  EXPECT_GT(Cell.answers().at(cell::ClientStatus::Accepted), 50);
  Cell.run(90s);
  for (const auto &[Id, Job] : Cell.jobs())
    EXPECT_EQ(Job.Accepted, viewOf(Cell, "n0", Id) == JobView::Completed);
}

// Guards against steps that are never scheduled because many steps ahead of
// them in the queue cannot be placed.
TEST_F(CellTest, ServesStepsBehindManyThatCannotBePlaced) {
  jobs::StepSpec Huge = stepOf(1, 100ms);
  Huge.Request = {33'000, 1024, 0}; // More than any worker has.
  for (int Number = 0; Number < 400; ++Number) {
    Cell.submit("n0", Huge, "/quick/");
    Cell.run(11ms);
  }
  Cell.run(1s);
  const std::string Id = Cell.submit("n1", stepOf(2, 100ms));
  Cell.run(2s);
  EXPECT_EQ(viewOf(Cell, "n0", Id), JobView::Completed);
}

/// All instances have 0.12 of a core except n2, which has half a core.
class UnequalCellTest : public testing::Test {
protected:
  UnequalCellTest() : Cell(1, {0.12, 0.12, 0.5, 0.12, 0.12}, 6) {
    Cell.run(6s);
  }
  ~UnequalCellTest() override {
    for (const std::string &Violation : Cell.workers().violations())
      ADD_FAILURE() << Violation;
  }

  EmulatedCell Cell;
};

// Guards against an instance that keeps leading because it started first,
// although it is too small.
TEST_F(UnequalCellTest, TheLargestInstanceLeads) {
  EXPECT_EQ(Cell.leader(), "n2");
  Cell.kill("n2");
  Cell.run(4s);
  EXPECT_NE(Cell.leader(), "");
  const std::string Id = Cell.submit("n0", stepOf(6, 4s));
  Cell.run(500ms);
  Cell.start("n2");
  Cell.run(5s);
  EXPECT_EQ(Cell.leader(), "n2");
  EXPECT_EQ(viewOf(Cell, "n1", Id), JobView::Completed);
  EXPECT_EQ(Cell.workers().doneRuns(), 6);
}

// Guards against a cell that remains without a leader because the preferred
// successor has died.
TEST_F(UnequalCellTest, AnotherLeadsIfTheSuccessorIsGone) {
  Cell.kill("n2");
  Cell.run(4s);
  const std::string Old = Cell.leader();
  ASSERT_NE(Old, "");
  Cell.start("n2");
  Cell.run(
      1500ms); // It has joined, but too recently for a transfer of leadership.
  Cell.node(Old).leave();
  Cell.kill("n2");
  Cell.run(1500ms);
  EXPECT_NE(Cell.leader(), "");
  EXPECT_NE(Cell.leader(), "n2");
}

/// Six instances with half a core and eight with 0.12.
class LargeCellTest : public testing::Test {
protected:
  LargeCellTest() : Cell(1, shares(), 48) { Cell.run(8s); }
  ~LargeCellTest() override {
    for (const std::string &Violation : Cell.workers().violations())
      ADD_FAILURE() << Violation;
  }

  static std::vector<double> shares() {
    std::vector<double> Result(14, 0.12);
    std::fill(Result.begin() + 4, Result.begin() + 10, 0.5);
    return Result;
  }

  static bool isLarge(const std::string &Name) {
    return !Name.empty() && shares().at(std::stoul(Name.substr(1))) == 0.5;
  }

  EmulatedCell Cell;
};

TEST_F(LargeCellTest, ASmallInstanceDoesNotLeadAfterAResignation) {
  for (int Change = 0; Change < 12; ++Change) {
    const std::string Old = Cell.leader();
    ASSERT_TRUE(isLarge(Old)) << Old;
    Cell.store().RefusedCallers = {Old};
    std::set<std::string> Leaders;
    for (int Step = 0; Step < 200; ++Step) {
      Cell.run(10ms);
      if (!Cell.leader().empty())
        Leaders.insert(Cell.leader());
    }
    Cell.store().RefusedCallers.clear();
    EXPECT_GT(Leaders.size(), 1U);
    EXPECT_TRUE(std::all_of(Leaders.begin(), Leaders.end(), isLarge));
    Cell.run(2s + Change * 30ms);
  }
}

// A small member whose link has just failed waits for the end of the leader's
// lease before the large members do.
TEST_F(LargeCellTest, ASmallInstanceDoesNotLeadAfterALoss) {
  for (int Change = 0; Change < 12; ++Change) {
    const std::string Old = Cell.leader();
    ASSERT_TRUE(isLarge(Old)) << Old;
    Cell.cut("n0");
    Cell.run(500ms + Change * 30ms);
    Cell.kill(Old);
    Cell.heal("n0");
    std::set<std::string> Leaders;
    for (int Step = 0; Step < 300; ++Step) {
      Cell.run(10ms);
      if (!Cell.leader().empty())
        Leaders.insert(Cell.leader());
    }
    EXPECT_FALSE(Leaders.empty());
    EXPECT_TRUE(std::all_of(Leaders.begin(), Leaders.end(), isLarge));
    Cell.start(Old);
    Cell.run(2s + Change * 30ms);
  }
}

TEST_F(LargeCellTest, AnInstanceWithoutTheStoreFindsTheNextLeader) {
  const std::string Old = Cell.leader();
  Cell.store().Cut = {Old, "n0", "n1", "n2", "n3"};
  Cell.run(3s);
  for (const std::string &Name : {Old, std::string("n0"), std::string("n3")}) {
    const std::string Id = Cell.submit(Name, stepOf(1, 100ms));
    Cell.run(400ms);
    EXPECT_TRUE(Cell.jobs().at(Id).Accepted) << Name;
    EXPECT_EQ(viewOf(Cell, Name, Id), JobView::Completed) << Name;
  }
}

// Guards against waiting for a successor that cannot take over.
TEST_F(LargeCellTest, AStoppingLeaderNamesASuccessorThatReachesTheStore) {
  const std::string Old = Cell.leader();
  ASSERT_EQ(Old, "n4");
  Cell.store().Cut = {"n5", "n6", "n7", "n8"};
  Cell.run(3s);
  Cell.node(Old).leave();
  Cell.run(50ms);
  const auto Record = cell::decodeLeaderRecord(Cell.store().value(
      cell::LeaderTable, cell::partitionOf(0), cell::LeaderKey));
  ASSERT_TRUE(Record);
  EXPECT_EQ(Record->Successor, "n9");
}

// Guards against a new leader that has no processor time left for decisions,
// because it supervises the workers itself.
TEST_F(LargeCellTest, ANewLeaderDistributesTheWorkersAmongLargeMembers) {
  const std::string Old = Cell.leader();
  Cell.node(Old).leave();
  std::map<std::string, std::size_t> Most;
  for (int Step = 0; Step < 300; ++Step) {
    Cell.run(10ms);
    const std::string Next = Cell.leader();
    if (!Next.empty() && Next != Old)
      for (const std::string &Name : Cell.names())
        Most[Name] =
            std::max(Most[Name], Cell.node(Next).leader()->workersOf(Name));
  }
  const std::string Next = Cell.leader();
  ASSERT_TRUE(isLarge(Next));
  for (const auto &[Name, Workers] : Most)
    EXPECT_LE(Workers, isLarge(Name) && Name != Next ? 48U / 4 : 0U) << Name;
}

} // namespace
} // namespace apricotwing::emulator
