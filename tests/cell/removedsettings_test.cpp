#include "emulator/emulatedcell.h"

#include <gtest/gtest.h>

#include <string>

namespace apricotwing::emulator {
namespace {

using namespace std::chrono_literals;

/// A cell whose policy loses queues or accounts while jobs refer to them. The
/// callers of such a job get no answer about it, so the tests count its runs at
/// the workers.
class RemovedSettingsTest : public testing::Test {
protected:
  RemovedSettingsTest() : Cell(1) { Cell.run(2s); }
  ~RemovedSettingsTest() override {
    for (const std::string &Violation : Cell.workers().violations())
      ADD_FAILURE() << Violation;
  }

  /// Kills the leader, lets another instance take over and starts the old one
  /// again.
  void changeLeader() {
    const std::string Old = Cell.leader();
    Cell.kill(Old);
    Cell.run(4s);
    ASSERT_NE(Cell.leader(), "");
    ASSERT_NE(Cell.leader(), Old);
    Cell.start(Old);
  }

  EmulatedCell Cell;
};

// Guards against accepting a job that can never run: an instance that has not
// read the newest policy sends it to a leader that does not know its queue.
TEST_F(RemovedSettingsTest, AcceptsNoJobOfAQueueThatTheLeaderDoesNotKnow) {
  const std::string Late = Cell.leader() == "n0" ? "n1" : "n0";
  Cell.store().RefusedCallers = {Late};
  Cell.putQueues({Cell.queues().front()}, 2);
  Cell.run(500ms);
  changeLeader();
  ASSERT_NE(Cell.leader(), Late);
  const std::string Id = Cell.submit(Late, stepOf(1, 500ms), "/quick/");
  Cell.run(10s);
  const JobRecord &Job = Cell.jobs().at(Id);
  EXPECT_FALSE(Job.Unresolved);
  EXPECT_EQ(Job.Accepted, Cell.workers().isDone(Id + ".0.0.0"));
}

} // namespace
} // namespace apricotwing::emulator
