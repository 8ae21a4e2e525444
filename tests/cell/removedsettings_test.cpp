#include "cell/journal.h"
#include "emulator/emulatedcell.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

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

  /// Changes the leader while a job of \p Queue, which is removed, has more
  /// tasks than the workers have slots.
  void expectTheRestToRun(const std::string &Queue, int LeaderChanges) {
    Cell.submit("n0", stepOf(60, 2s), Queue);
    Cell.run(1s);
    ASSERT_GT(Cell.workers().startedRuns(), 0);
    ASSERT_LT(Cell.workers().startedRuns(), 60);
    Cell.putQueues({}, 2);
    Cell.run(500ms);
    for (int Change = 0; Change < LeaderChanges; ++Change)
      changeLeader();
    Cell.run(15s);
    EXPECT_EQ(Cell.workers().doneRuns(), 60);
  }

  /// The settings that are stored for the next leader.
  std::string storedSettings() {
    return Cell.store().value(cell::SettingsTable, cell::partitionOf(0),
                              cell::SettingsKey);
  }

  EmulatedCell Cell;
};

// Guards against losing an accepted job whose queue is removed: the next leader
// reads only the newest policy, so it would find no worker for the job.
TEST_F(RemovedSettingsTest, TheNextLeaderRunsTheRestOfAJob) {
  expectTheRestToRun("/batch/", 1);
}

// The same for a queue whose starts need advice.
TEST_F(RemovedSettingsTest, TheNextLeaderRunsTheRestOfAJobThatNeedsAdvice) {
  expectTheRestToRun("/quick/", 1);
}

// Guards against a leader that uses the settings of its predecessor but does
// not hand them on.
TEST_F(RemovedSettingsTest, ALaterLeaderRunsTheRestOfAJob) {
  expectTheRestToRun("/batch/", 3);
}

// Guards against settings that are stored only once the queue is removed: there
// may be no leader at that time.
TEST_F(RemovedSettingsTest, RunsAJobWhoseQueueWasRemovedWithoutALeader) {
  Cell.submit("n0", stepOf(60, 2s));
  Cell.run(1s);
  for (const std::string &Name : Cell.names())
    Cell.kill(Name);
  Cell.putQueues({}, 2);
  Cell.run(1s);
  for (const std::string &Name : Cell.names())
    Cell.start(Name);
  Cell.run(20s);
  EXPECT_EQ(Cell.workers().doneRuns(), 60);
}

// Guards against failing a job at its first failed run, and against the
// settings that the queue had when the job was accepted.
TEST_F(RemovedSettingsTest, TheNextLeaderKeepsTheLastNumberOfAttempts) {
  const std::string Id =
      Cell.submit("n0", stepOf(1, 1500ms), "/batch/", "fails");
  Cell.run(300ms);
  std::vector<jobs::Queue> Queues = Cell.queues();
  for (jobs::Queue &JobQueue : Queues)
    JobQueue.MaxAttempts = 2;
  Cell.putQueues(std::move(Queues), 2);
  Cell.run(400ms);
  Cell.putQueues({}, 3);
  Cell.run(400ms);
  changeLeader();
  Cell.run(10s);
  EXPECT_EQ(Cell.workers().failures(Id + ".0.0.0"), 2);
}

// Guards against a job whose account was removed taking more resources than the
// account's limit allowed.
TEST_F(RemovedSettingsTest, TheNextLeaderKeepsTheLimitOfARemovedAccount) {
  std::vector<jobs::ClientAccount> Accounts = equalAccounts(1);
  Accounts.front().Cap.CpuMillis = 8000;
  EmulatedCell Capped(1, {1, 1, 1}, 6, Accounts);
  Capped.run(2s);
  Capped.submit("n0", stepOf(10, 2s));
  Capped.run(1s);
  Capped.removeAccounts(2);
  Capped.run(500ms);
  Capped.kill(Capped.leader());
  int MostRuns = 0;
  for (int Step = 0; Step < 200; ++Step) {
    Capped.run(100ms);
    MostRuns = std::max(MostRuns, Capped.workers().activeRuns());
  }
  EXPECT_EQ(MostRuns, 2);
  EXPECT_EQ(Capped.workers().doneRuns(), 10);
}

// Guards against settings that are kept for good, and against API keys in the
// leader's own tables.
TEST_F(RemovedSettingsTest, ForgetsARemovedQueueWithoutJobs) {
  Cell.submit("n0", stepOf(1, 1s), "/quick/");
  Cell.run(500ms);
  Cell.putQueues({Cell.queues().front()}, 2);
  Cell.run(300ms);
  EXPECT_NE(storedSettings().find("batch"), std::string::npos);
  EXPECT_NE(storedSettings().find("quick"), std::string::npos);
  EXPECT_EQ(storedSettings().find("\"key\""), std::string::npos);
  Cell.run(3s);
  EXPECT_EQ(Cell.workers().doneRuns(), 1);
  Cell.putPolicy(3);
  Cell.run(500ms);
  EXPECT_NE(storedSettings().find("batch"), std::string::npos);
  EXPECT_EQ(storedSettings().find("quick"), std::string::npos);
}

// Guards against a policy with so many queues that the store accepts no commit
// with their settings: each leader resigned, and nothing was started any more.
TEST_F(RemovedSettingsTest, ServesAPolicyWithThousandsOfQueues) {
  const std::vector<jobs::Queue> Few = Cell.queues();
  std::vector<jobs::Queue> Many = Few;
  for (int Number = 0; Number < 2000; ++Number) {
    Many.push_back(Few.front());
    Many.back().Name = "route-" + std::to_string(Number);
    Many.back().PathPrefix = "/route-" + std::to_string(Number) + "/";
  }
  Cell.submit("n0", stepOf(60, 2s), "/quick/");
  Cell.run(500ms);
  Cell.putQueues(Many, 2);
  Cell.run(1s);
  changeLeader();
  Cell.run(1s);
  const std::string Late = Cell.submit("n0", stepOf(1, 1s), "/route-1999/");
  Cell.run(15s);
  EXPECT_EQ(Cell.workers().doneRuns(), 61);
  EXPECT_TRUE(Cell.jobs().at(Late).Accepted);
  const auto IsStored = [this](const std::string &Key) {
    return !Cell.store()
                .value(cell::SettingsTable, cell::partitionOf(0), Key)
                .empty();
  };
  EXPECT_TRUE(IsStored("settings/1"));
  Cell.putQueues(Few, 3);
  Cell.run(1s);
  EXPECT_FALSE(IsStored("settings/1"));
}

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
