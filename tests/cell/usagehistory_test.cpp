/// \file
/// Past use of accounts in a cell that loses leaders, processes or the store.
#include "cell/codec.h"
#include "cell/journal.h"
#include "emulator/emulatedcell.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>

namespace apricotwing::emulator {
namespace {

using namespace std::chrono_literals;

constexpr Duration HalfLife = 10min;

/// A cell with two accounts, to which jobs belong in turn.
class CellUsageTest : public testing::Test {
protected:
  CellUsageTest() { Cell.run(2s); }
  ~CellUsageTest() override {
    for (const std::string &Violation : Cell.workers().violations())
      ADD_FAILURE() << Violation;
  }

  /// Lets the account "a1" use most of the cell, and "a0" next to nothing.
  void useCell(Duration Length) {
    const std::string Id = Cell.submit("n0", stepOf(48, Length));
    ASSERT_EQ(Cell.accountOf(Id), "a1");
    Cell.submit("n0", stepOf(1, 100ms));
    Cell.run(Length + 3s);
    ASSERT_TRUE(Cell.workers().isDone(Id + ".0.0.0"));
  }

  const cell::Leader *leader() {
    const std::string Name = Cell.leader();
    for (const auto &Agent : Cell.node(Name).agents())
      if (Agent->leader())
        return Agent->leader();
    return nullptr;
  }

  jobs::AccountUse useOf(const std::string &Account) {
    for (const jobs::AccountUse &Use :
         leader()->scheduler().usage().largest(Cell.time().now(), 10))
      if (Use.Account == Account)
        return Use;
    return {};
  }

  std::string row() {
    return Cell.store().value(cell::UsageTable, cell::partitionOf(0),
                              cell::UsageKey);
  }

  void killAll() {
    for (const std::string &Name : Cell.names())
      Cell.kill(Name);
  }
  void startAll() {
    for (const std::string &Name : Cell.names())
      Cell.start(Name);
  }

  /// What a leader that is lost may not have stored, in shares of the cell: the
  /// use within 5 s, and within a second until the commit.
  static constexpr double LostShare = 6.0 / 600 * 0.7;

  EmulatedCell Cell{1, {1, 1, 1}, 6, equalAccounts(2), {}, {false, HalfLife}};
};

// Guards against a leader change that forgets the past, or that counts it
// twice, also while the wall clocks of the instances step by a day.
TEST_F(CellUsageTest, TheNextLeaderKeepsThePast) {
  useCell(60s);
  const jobs::AccountUse Before = useOf("a1");
  ASSERT_GT(Before.Share, 0.02);
  ASSERT_GT(Before.Delay, 0ms);
  const std::string Old = Cell.leader();
  Cell.kill(Old);
  Cell.WallClockStep = 24h;
  Cell.run(4s);
  ASSERT_NE(Cell.leader(), "");
  ASSERT_NE(Cell.leader(), Old);
  const jobs::AccountUse After = useOf("a1");
  EXPECT_NEAR(After.Share, Before.Share, LostShare);
  EXPECT_GT(After.Delay, 0ms);
  Cell.start(Old);
  Cell.WallClockStep = -24h;
  Cell.kill(Cell.leader());
  Cell.run(4s);
  ASSERT_NE(Cell.leader(), "");
  EXPECT_NEAR(useOf("a1").Share, Before.Share, 2 * LostShare);
}

// Guards against a leader that is lost halfway and takes the use since the last
// row with it, or runs that count for only one of the leaders.
TEST_F(CellUsageTest, CountsRunsAcrossALossOfTheLeader) {
  Cell.submit("n0", stepOf(48, 60s));
  Cell.run(30s);
  const double Half = useOf("a1").Share;
  ASSERT_GT(Half, 0.01);
  Cell.kill(Cell.leader());
  Cell.run(33s);
  // The clock of the shard stands still for as long as nobody leads.
  EXPECT_GT(useOf("a1").Share, 1.8 * Half - 2 * LostShare);
  EXPECT_LT(useOf("a1").Share, 2.2 * Half);
}

// Guards against a past that is lost with all processes, and against one that
// decays by the time during which none ran.
TEST_F(CellUsageTest, OutlivesAllProcesses) {
  useCell(60s);
  const double Before = useOf("a1").Share;
  killAll();
  Cell.run(60min);
  startAll();
  Cell.run(4s);
  ASSERT_NE(Cell.leader(), "");
  EXPECT_NEAR(useOf("a1").Share, Before, LostShare);
}

// Guards against a leader that loses the past when the store is away.
TEST_F(CellUsageTest, OutlivesAnOutageOfTheStore) {
  useCell(60s);
  const double Before = useOf("a1").Share;
  Cell.store().Down = true;
  Cell.run(20s);
  Cell.store().Down = false;
  Cell.run(4s);
  ASSERT_NE(Cell.leader(), "");
  EXPECT_NEAR(useOf("a1").Share, Before, Before * 0.03 + LostShare);
}

// Guards against commits that take place only for the row, and against a row
// that is written too often or while nothing runs.
TEST_F(CellUsageTest, WritesTheRowSeldomAndWithOtherCommits) {
  EXPECT_EQ(row(), "");
  EmulatedCell Off(1, {1, 1, 1}, 6, equalAccounts(2));
  Off.run(2s);
  const int OnBefore = Cell.store().transactions();
  const int OffBefore = Off.store().transactions();
  Cell.submit("n0", stepOf(48, 60s));
  Off.submit("n0", stepOf(48, 60s));
  int Writes = 0;
  std::string Last;
  for (int Step = 0; Step < 6200; ++Step) {
    Cell.run(10ms);
    if (row() != Last) {
      Last = row();
      ++Writes;
    }
  }
  Off.run(62s);
  EXPECT_LE(Writes, 14);
  EXPECT_GE(Writes, 10);
  // The two cells draw different random numbers.
  EXPECT_NEAR(Cell.store().transactions() - OnBefore,
              Off.store().transactions() - OffBefore, 5);
  Cell.run(10s);
  const std::string Idle = row();
  Cell.run(60s);
  EXPECT_EQ(row(), Idle);
}

// Guards against rows and reads of a cell in which the history is off.
TEST_F(CellUsageTest, WritesNothingWhileItIsOff) {
  EmulatedCell Off(1, {1, 1, 1}, 6, equalAccounts(2));
  Off.run(2s);
  Off.submit("n0", stepOf(48, 10s));
  Off.run(15s);
  EXPECT_EQ(Off.store().rowCount(cell::UsageTable), 0U);
}

// Guards against a takeover that fails because of a row that is damaged, or
// that was stored by another version.
TEST_F(CellUsageTest, IgnoresARowThatCannotBeDecoded) {
  useCell(20s);
  for (const std::string Damaged :
       {"", "{", "{}", R"({"time":[1,2],"accounts":{"a1":"x"}})",
        R"({"time":[1,2],"accounts":{"a1":2000000}})"}) {
    Cell.store().put(cell::UsageTable, cell::partitionOf(0), cell::UsageKey,
                     Damaged);
    const std::string Old = Cell.leader();
    Cell.kill(Old);
    Cell.run(4s);
    ASSERT_NE(Cell.leader(), "") << Damaged;
    EXPECT_LT(useOf("a1").Share, LostShare) << Damaged;
    Cell.start(Old);
    Cell.run(2s);
  }
  EXPECT_TRUE(
      cell::decodeUsage(R"({"time":[1,2],"accounts":{"a1":3},"later":[1]})"));
}

// Guards against times of another epoch that are taken for times of this one:
// the past would vanish, or count as if it were of the future.
TEST_F(CellUsageTest, KeepsSharesOfAnotherEpochWithoutDecay) {
  useCell(20s);
  for (const char *Time : {"[99,0]", "[99,999999999999]"}) {
    Cell.store().put(cell::UsageTable, cell::partitionOf(0), cell::UsageKey,
                     std::string(R"({"accounts":{"a1":500000},"time":)") +
                         Time + "}");
    const std::string Old = Cell.leader();
    Cell.kill(Old);
    Cell.run(4s);
    ASSERT_NE(Cell.leader(), "");
    EXPECT_NEAR(useOf("a1").Share, 0.5, 0.01);
    const auto Stored = cell::decodeUsage(row());
    ASSERT_TRUE(Stored);
    EXPECT_NE(Stored->Time.Epoch, 99);
    Cell.start(Old);
    Cell.run(2s);
  }
}

} // namespace
} // namespace apricotwing::emulator
