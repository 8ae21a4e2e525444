/// \file
/// Cells with several shards on the emulated platform.
#include "cell/codec.h"
#include "emulator/emulatedcell.h"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace apricotwing::emulator {
namespace {

using namespace std::chrono_literals;
using jobs::JobView;

std::vector<jobs::ClientAccount> accountsOf(const std::vector<int> &Weights,
                                            Resources Cap = {}) {
  std::vector<jobs::ClientAccount> Result;
  for (const int Weight : Weights) {
    jobs::ClientAccount Account;
    Account.Name = "a" + std::to_string(Result.size());
    Account.Keys = {"key" + std::to_string(Result.size())};
    Account.Weight = Weight;
    Account.Cap = Cap;
    Result.push_back(Account);
  }
  return Result;
}

/// Two shards with two accounts each and 12 workers on 5 instances.
class ShardsTest : public testing::Test {
protected:
  ShardsTest()
      : Layout({0.5, 0.5}, {{"a0", 0}, {"a1", 1}, {"a2", 0}, {"a3", 1}}),
        Cell(1, std::vector<double>(5, 1.0), 12, accountsOf({50, 50, 50, 50}),
             Layout) {
    Cell.run(4s);
  }
  ~ShardsTest() override {
    for (const std::string &Violation : Cell.workers().violations())
      ADD_FAILURE() << Violation;
  }

  std::vector<std::string> submitMany(int Count, const jobs::StepSpec &Step) {
    std::vector<std::string> Ids;
    const std::vector<std::string> Names = Cell.names();
    for (int Number = 0; Number < Count; ++Number) {
      Ids.push_back(
          Cell.submit(Names[std::size_t(Number) % Names.size()], Step));
      Cell.run(5ms);
    }
    return Ids;
  }

  JobView viewOf(const std::string &Instance, const std::string &Id) {
    Cell.read(Instance, Id);
    Cell.run(300ms);
    return Cell.jobs().at(Id).View;
  }

  const cell::ShardLayout Layout;
  EmulatedCell Cell;
};

// Guards against one instance that decides for the whole cell.
TEST_F(ShardsTest, HasALeaderOfItsOwnInEachShard) {
  ASSERT_NE(Cell.leader(0), "");
  ASSERT_NE(Cell.leader(1), "");
  EXPECT_NE(Cell.leader(0), Cell.leader(1));
}

TEST_F(ShardsTest, ServesTheJobsOfAllAccountsAtAllInstances) {
  const auto Ids = submitMany(20, stepOf(3, 400ms));
  Cell.run(4s);
  for (const std::string &Id : Ids)
    for (const std::string &Name : Cell.names())
      EXPECT_EQ(viewOf(Name, Id), JobView::Completed) << Id << " at " << Name;
  EXPECT_EQ(Cell.workers().doneRuns(), 60);
}

// Guards against a worker that two leaders use: each would count its free
// resources without the other's tasks.
TEST_F(ShardsTest, RunsAJobOnTheWorkersOfItsShardOnly) {
  const auto Ids = submitMany(12, stepOf(3, 3s));
  Cell.run(500ms);
  for (const int Shard : {0, 1}) {
    const cell::Leader *Leader = Cell.node(Cell.leader(Shard)).leader(Shard);
    ASSERT_NE(Leader, nullptr);
    EXPECT_FALSE(Leader->scheduler().workers().empty());
    for (const auto &[Id, Worker] : Leader->scheduler().workers()) {
      EXPECT_EQ(Layout.shardOfWorker(Id), Shard);
      for (const auto &[Task, Run] : Worker.runs())
        EXPECT_EQ(Layout.shardOfAccount(Run.Account), Shard);
    }
  }
}

// Guards against a loss of the whole cell's service with one leader.
TEST_F(ShardsTest, GoesOnInOneShardWhileTheOtherHasNoLeader) {
  const std::string Lost = Cell.leader(0);
  const std::string Other = Cell.leader(1);
  Cell.kill(Lost);
  std::map<std::string, int> Accepted;
  std::vector<std::string> Ids;
  for (int Number = 0; Number < 40; ++Number) {
    Ids.push_back(Cell.submit(Other, stepOf(1, 100ms)));
    Cell.run(20ms);
  }
  for (const std::string &Id : Ids)
    Accepted[Cell.accountOf(Id)] += Cell.jobs().at(Id).Accepted ? 1 : 0;
  EXPECT_EQ(Accepted["a1"] + Accepted["a3"], 20);
  EXPECT_EQ(Accepted["a0"] + Accepted["a2"], 0);
  Cell.run(4s);
  EXPECT_NE(Cell.leader(0), "");
  EXPECT_EQ(Cell.leader(1), Other);
  for (int Number = 0; Number < 4; ++Number) {
    const std::string Id = Cell.submit(Other, stepOf(1, 100ms));
    Cell.run(1s);
    EXPECT_EQ(viewOf(Other, Id), JobView::Completed);
  }
}

// Guards against a second job for a submission that is repeated at another
// instance.
TEST_F(ShardsTest, RecognizesARepeatedSubmissionAtAnyInstance) {
  const std::string Id = Cell.submit("n0", stepOf(2, 300ms));
  for (const std::string &Name : Cell.names())
    Cell.submitAgain(Name, Id);
  Cell.run(2s);
  EXPECT_EQ(Cell.workers().doneRuns(), 2);
  EXPECT_EQ(Cell.answers().at(cell::ClientStatus::Accepted), 6);
}

// Guards against jobs that are unknown, or run again, after all instances have
// lost power.
TEST_F(ShardsTest, KeepsAllJobsWhenAllInstancesRestart) {
  const auto Ids = submitMany(16, stepOf(2, 2s));
  Cell.run(300ms);
  for (const std::string &Name : Cell.names())
    Cell.kill(Name);
  Cell.run(1s);
  for (const std::string &Name : Cell.names())
    Cell.start(Name);
  Cell.run(10s);
  for (const std::string &Id : Ids)
    EXPECT_EQ(viewOf("n2", Id), JobView::Completed);
  EXPECT_EQ(Cell.workers().doneRuns(), 32);
}

// Guards against accepted jobs that wait in a full shard while the workers of
// the other one are idle; found on four days of the large site.
TEST_F(ShardsTest, WorkersMoveToTheShardThatNeedsThem) {
  std::vector<std::string> Ids;
  for (int Number = 0; Number < 40; ++Number) {
    const std::string Id = Cell.submit("n0", stepOf(8, 3s, Number % 3 == 0));
    if (Layout.shardOfAccount(Cell.accountOf(Id)) == 1)
      Ids.push_back(Id);
    else
      Cell.cancel("n0", Id);
    Cell.run(20ms);
  }
  Cell.run(6s);
  const cell::Leader *Needy = Cell.node(Cell.leader(1)).leader(1);
  int Received = 0;
  for (const auto &[Id, Worker] : Needy->scheduler().workers())
    Received += Layout.shardOfWorker(Id) == 0 ? 1 : 0;
  EXPECT_GE(Received, 2);
  // Leaders that take over know the transfers.
  Cell.kill(Cell.leader(1));
  Cell.run(3s);
  Cell.kill(Cell.leader(0));
  Cell.run(14s);
  for (const std::string &Id : Ids)
    EXPECT_EQ(viewOf("n4", Id), JobView::Completed) << Id;
  EXPECT_EQ(Cell.workers().doneRuns(), 8 * int(Ids.size()));
}

// Guards against a leader that takes an earlier transfer of a worker for the
// last one, when it reads the transfers after the jobs: it gave up all runs on
// the worker and started them again. Found on a hunted day of the large site.
TEST_F(ShardsTest, ALeaderKeepsTheWorkOfAWorkerThatHasReturned) {
  for (int Number = 0; Number < 8; ++Number)
    Cell.submit(Cell.leader(1), stepOf(3, 6s));
  Cell.run(1s);
  ASSERT_EQ(Cell.workers().startedRuns(), 24);
  for (const std::string &Id : Cell.workers().ids()) {
    if (Layout.shardOfWorker(Id) != 0)
      continue;
    Cell.store().put(cell::TransferTable, cell::partitionOf(0), Id,
                     cell::encode(cell::TransferRecord{0, 1, 1, 5'000'000}));
    Cell.store().put(cell::TransferTable, cell::partitionOf(1), Id,
                     cell::encode(cell::TransferRecord{1, 0, 2, 9'000'000}));
  }
  Cell.run(20s);
  EXPECT_EQ(Cell.workers().startedRuns(), 24);
  EXPECT_EQ(Cell.workers().doneRuns(), 24);
}

// Guards against an instance that keeps leading two shards after others have
// come back.
TEST_F(ShardsTest, SpreadsLeadershipAgainAfterLosses) {
  for (const std::string &Name : Cell.names())
    if (Name != "n0")
      Cell.kill(Name);
  Cell.run(4s);
  EXPECT_EQ(Cell.leader(0), "n0");
  EXPECT_EQ(Cell.leader(1), "n0");
  for (const std::string &Name : Cell.names())
    Cell.start(Name);
  Cell.run(8s);
  EXPECT_EQ(Cell.leader(0), "n0");
  EXPECT_NE(Cell.leader(1), "n0");
  EXPECT_NE(Cell.leader(1), "");
}

/// A cell that starts for the first time.
class NewCellTest : public testing::Test {
protected:
  static constexpr int Workers = 620;

  NewCellTest()
      : Cell(1, std::vector<double>(12, 0.5), Workers,
             accountsOf({30, 30, 30, 30, 30, 30}, {40'000, 0, 0})) {
    Cell.run(6s);
  }

  EmulatedCell Cell;
};

TEST_F(NewCellTest, ChoosesTheNumberOfShardsByTheWorkers) {
  EXPECT_EQ(Cell.node("n0").shardCount(), 2);
  EXPECT_NE(Cell.leader(0), "");
  EXPECT_NE(Cell.leader(1), "");
  for (const std::string &Name : Cell.names())
    EXPECT_TRUE(Cell.node(Name).isReady()) << Name;
}

// Guards against an account that exceeds its limit, or cannot use it, because
// its jobs are scheduled by several leaders.
TEST_F(NewCellTest, KeepsAnAccountsLimitAcrossShards) {
  const std::vector<std::string> Names = Cell.names();
  std::vector<std::string> Ids;
  for (int Number = 0; Number < 60; ++Number) {
    Ids.push_back(
        Cell.submit(Names[std::size_t(Number) % Names.size()], stepOf(2, 6s)));
    Cell.run(5ms);
  }
  Cell.run(2s);
  // 40 cores for each of 6 accounts, 4 cores a task.
  EXPECT_EQ(Cell.workers().activeRuns(), 60);
}

// Guards against messages at a leader that grow with the number of instances
// that serve callers: the same calls through 12 and 48 instances.
TEST(ShardLoadTest, CallsCostALeaderTheSameAtAnyNumberOfInstances) {
  std::map<int, int> Received;
  for (const int Instances : {12, 48}) {
    EmulatedCell Cell(1, std::vector<double>(std::size_t(Instances), 0.5), 40,
                      accountsOf({100, 100}));
    Cell.run(6s);
    const std::string Leader = Cell.leader();
    ASSERT_NE(Leader, "");
    const auto Idle = [&] {
      const int Before = Cell.messagesReceived(Leader);
      Cell.run(2s);
      return Cell.messagesReceived(Leader) - Before;
    }();
    const int Before = Cell.messagesReceived(Leader);
    const std::vector<std::string> Names = Cell.names();
    for (int Number = 0; Number < 200; ++Number) {
      Cell.submit(Names[std::size_t(Number) % Names.size()], stepOf(1, 50ms));
      Cell.run(10ms);
    }
    Received[Instances] = Cell.messagesReceived(Leader) - Before - Idle;
  }
  EXPECT_LE(Received[48], Received[12] * 1.3);
}

} // namespace
} // namespace apricotwing::emulator
