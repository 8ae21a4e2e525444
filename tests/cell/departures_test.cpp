/// \file
/// Workers that leave at short notice while their runs are moved, together with
/// other faults.
#include "emulator/emulatedcell.h"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

namespace apricotwing::emulator {
namespace {

using namespace std::chrono_literals;
using jobs::JobView;

/// A cell that moves runs from leaving workers. The emulated workers report
/// each task that runs in two places, or again after its end.
class DeparturesTest : public testing::Test {
protected:
  DeparturesTest() : Cell(1) {
    Cell.Times.Scheduler.MigrateFromLeavingWorkers = true;
    for (const std::string &Name : Cell.names()) {
      Cell.kill(Name);
      Cell.start(Name);
    }
    Cell.run(3s);
  }
  ~DeparturesTest() override {
    for (const std::string &Violation : Cell.workers().violations())
      ADD_FAILURE() << Violation;
  }

  /// Starts a job of 12 tasks that take \p Work each and lets the first
  /// \p Count workers that have some announce that they leave in 5 s. Returns
  /// once the leader has decided to move their runs.
  void startAndDrain(std::size_t Count, bool Gang = false,
                     Duration Work = 12s) {
    Job = Cell.submit("n0", stepOf(12, Work, Gang));
    Cell.run(1s);
    ASSERT_EQ(Cell.workers().activeRuns(), 12);
    for (const std::string &Id : Cell.workers().ids())
      if (Cell.workers().used(Id).CpuMillis > 0 && Leaving.size() < Count)
        Leaving.push_back(Id);
    ASSERT_EQ(Leaving.size(), Count);
    for (const std::string &Id : Leaving)
      Cell.workers().drain(Id, 5s);
    for (int Step = 0; Step < 200 && migrations().empty(); ++Step)
      Cell.run(10ms);
    ASSERT_FALSE(migrations().empty());
  }

  const std::vector<std::string> &migrations() const {
    return Cell.linesOf("migrating run");
  }

  void leave() {
    for (const std::string &Id : Leaving)
      Cell.workers().crash(Id);
  }

  void expectDoneWithin(Duration Limit) {
    Cell.run(Limit);
    for (const std::string &Name : Cell.names())
      Cell.read(Name, Job);
    Cell.run(300ms);
    EXPECT_EQ(Cell.jobs().at(Job).View, JobView::Completed);
  }

  EmulatedCell Cell;
  std::string Job;
  std::vector<std::string> Leaving;
};

// Guards against runs that end with their worker although it has announced in
// time that it leaves.
TEST_F(DeparturesTest, MovesRunsBeforeTheirWorkersLeave) {
  startAndDrain(1);
  Cell.run(2s);
  EXPECT_EQ(Cell.workers().activeRuns(), 12);
  EXPECT_EQ(Cell.workers().used(Leaving[0]).CpuMillis, 0);
  leave();
  expectDoneWithin(11s);
  EXPECT_TRUE(Cell.linesOfLostRuns().empty());
}

// Guards against a run that is started beside the one to be stopped, or an end
// that is lost, if the leader is lost between both.
TEST_F(DeparturesTest, TheNextLeaderStartsWhatTheLastOneStopped) {
  startAndDrain(1);
  const std::string Old = Cell.leader();
  Cell.kill(Old);
  Cell.run(5s);
  leave();
  Cell.start(Old);
  expectDoneWithin(20s);
}

// Guards against a start after a stop that had no effect.
TEST_F(DeparturesTest, StartsNothingAgainWhileAStopHasNoAnswer) {
  startAndDrain(1);
  Cell.workers().LosesStops = true;
  const int Started = Cell.workers().startedRuns();
  Cell.run(3s);
  EXPECT_EQ(Cell.workers().startedRuns(), Started);
  leave();
  Cell.workers().LosesStops = false;
  expectDoneWithin(20s);
}

// Guards against tasks that are forgotten if their worker vanishes before it
// has stopped them.
TEST_F(DeparturesTest, StartsTheTasksOfAWorkerThatVanishesEarly) {
  startAndDrain(1);
  leave();
  expectDoneWithin(21s);
  EXPECT_EQ(Cell.jobs().at(Job).View, JobView::Completed);
}

// Guards against a stop on the next process of the worker, and against runs of
// the former one that are waited for.
TEST_F(DeparturesTest, TheNextProcessOfAWorkerHasItsId) {
  startAndDrain(1);
  leave();
  Cell.run(300ms);
  Cell.workers().restart(Leaving[0]);
  expectDoneWithin(21s);
}

// Guards against runs that are stopped again and again, or never started again,
// if their worker stays after all.
TEST_F(DeparturesTest, AWorkerReturnsToReady) {
  startAndDrain(1);
  const std::size_t Moved = migrations().size();
  Cell.workers().undrain(Leaving[0]);
  expectDoneWithin(17s);
  EXPECT_EQ(migrations().size(), Moved);
}

// Guards against work that is stopped because a row names another process: the
// leader then uses the worker no longer, but that has announced nothing.
TEST_F(DeparturesTest, KeepsTheRunsOfAWorkerThatAnnouncedNothing) {
  Job = Cell.submit("n0", stepOf(12, 6s));
  Cell.run(1s);
  for (const std::string &Id : Cell.workers().ids())
    Cell.putForeignRow(Id, Cell.time().now().time_since_epoch().count() + 1);
  Cell.run(1s);
  EXPECT_EQ(Cell.workers().activeRuns(), 12);
  expectDoneWithin(6s);
  EXPECT_TRUE(migrations().empty());
}

// Guards against a gang of which a part goes on, or which is stopped twice.
TEST_F(DeparturesTest, TwoWorkersOfAGangLeaveAtOnce) {
  startAndDrain(2, true);
  Cell.run(4s);
  EXPECT_EQ(migrations().size(), 1U);
  EXPECT_EQ(Cell.workers().activeRuns(), 12);
  leave();
  expectDoneWithin(13s);
  EXPECT_TRUE(Cell.linesOfLostRuns().empty());
}

// Guards against a move that is half done when the store fails, and starts that
// are not stored.
TEST_F(DeparturesTest, TheStoreFailsDuringADeparture) {
  startAndDrain(1);
  Cell.store().Down = true;
  Cell.run(4s);
  leave();
  Cell.run(500ms);
  Cell.store().Down = false;
  expectDoneWithin(25s);
}

} // namespace
} // namespace apricotwing::emulator
