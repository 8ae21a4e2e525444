/// \file
/// Jobs whose stored state is larger than a row of the store.
#include "emulator/emulatedcell.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace apricotwing::emulator {
namespace {

using namespace std::chrono_literals;
using jobs::JobView;

/// A step of many tasks, of which ten fit where stepOf() has one.
jobs::StepSpec smallTasks(int Count, Duration Work = 300ms) {
  jobs::StepSpec Step = stepOf(Count, Work);
  Step.Request = {400, 64, 0};
  return Step;
}

class LargeJobTest : public testing::Test {
protected:
  static constexpr int TaskCount = 12'000;

  LargeJobTest() : Cell(1, 3, 8) { Cell.run(2s); }
  ~LargeJobTest() override {
    for (const std::string &Violation : Cell.workers().violations())
      ADD_FAILURE() << Violation;
    EXPECT_EQ(Cell.store().tooLarge(), 0);
  }

  JobView viewOf(const std::string &Id) {
    for (const std::string &Name : Cell.names())
      if (Cell.isRunning(Name)) {
        Cell.read(Name, Id);
        break;
      }
    Cell.run(200ms);
    return Cell.jobs().at(Id).View;
  }

  /// Runs the cell until a job is completed; returns whether it was within
  /// \p Limit.
  bool completes(const std::string &Id, Duration Limit) {
    const TimePoint End = Cell.time().now() + Limit;
    while (Cell.time().now() < End) {
      Cell.run(500ms);
      if (viewOf(Id) == JobView::Completed)
        return true;
    }
    return false;
  }

  EmulatedCell Cell;
};

// Guards against a job that stops the cell once its row has outgrown the store.
TEST_F(LargeJobTest, CompletesAJobWhoseProgressOutgrowsARow) {
  const std::string Large = Cell.submit("n0", smallTasks(TaskCount));
  Cell.run(500ms);
  ASSERT_TRUE(Cell.jobs().at(Large).Accepted);
  for (int Number = 0; Number < 12; ++Number) {
    const std::string Other = Cell.submit("n1", smallTasks(5), "/quick/");
    EXPECT_TRUE(completes(Other, 3s)) << "job " << Number << " beside it";
  }
  EXPECT_TRUE(completes(Large, 120s));
  EXPECT_EQ(Cell.workers().doneRuns(), TaskCount + 12 * 5);
}

// Guards against a new leader that misses a part of the progress.
TEST_F(LargeJobTest, GoesOnWithALargeJobAfterEachChangeOfTheLeader) {
  const std::string Large = Cell.submit("n0", smallTasks(TaskCount, 2s));
  for (int Change = 0; Change < 4; ++Change) {
    Cell.run(8s);
    const std::string Old = Cell.leader();
    ASSERT_NE(Old, "");
    Cell.kill(Old);
    Cell.run(1s);
    Cell.start(Old);
  }
  EXPECT_TRUE(completes(Large, 120s));
}

// Guards against rows of ended jobs that stay in the store.
TEST_F(LargeJobTest, RemovesAllRowsOfALargeJobThatHasEnded) {
  const std::string Large = Cell.submit("n0", smallTasks(2000));
  Cell.run(600ms);
  EXPECT_GT(Cell.store().rowCount("progress"), 3U);
  ASSERT_TRUE(completes(Large, 60s));
  Cell.run(1s);
  EXPECT_EQ(Cell.store().rowCount("progress"), 0U);
}

// Guards against a job that is accepted although it cannot be stored.
TEST_F(LargeJobTest, RefusesAJobWhoseOwnRowIsTooLargeAndGoesOn) {
  Cell.submit("n0", smallTasks(1), "/batch/", std::string(66'000, 'x'));
  Cell.run(500ms);
  EXPECT_EQ(Cell.answers(), (std::map<cell::ClientStatus, int>{
                                {cell::ClientStatus::Malformed, 1}}));
  const std::string Next =
      Cell.submit("n0", smallTasks(1), "/batch/", std::string(30'000, '"'));
  EXPECT_TRUE(completes(Next, 5s));
}

} // namespace
} // namespace apricotwing::emulator
