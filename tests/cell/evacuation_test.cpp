/// \file
/// Evacuations of availability zones in a cell amid faults.
#include "emulator/emulatedcell.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace apricotwing::emulator {
namespace {

using namespace std::chrono_literals;

/// Time after the write of an evacuation from which on nothing may start in the
/// zone, whatever the state of the store.
constexpr Duration EvacuationTimeout{5000};

/// A cell of three instances with six workers in "zone" and two in "far". The
/// load is about twice of what the workers can hold.
class EvacuationTest : public testing::Test {
protected:
  EvacuationTest() : Cell(1) {
    addWorkers("far", 2);
    Cell.Times.EvacuatesZones = true;
    restartAll();
    Cell.run(5s); // Until the layout of the cell is decided.
    load(2s);
    EXPECT_TRUE(hasStarted("far", TimePoint{}));
  }
  ~EvacuationTest() override {
    for (const std::string &Violation : Cell.workers().violations())
      ADD_FAILURE() << Violation;
  }

  TimePoint now() { return Cell.time().now(); }

  void addWorkers(const std::string &Zone, int Count) {
    for (int Number = 0; Number < Count; ++Number)
      Cell.workers().add(Zone + std::to_string(Number), Zone,
                         {32'000, 65'536, 0});
  }

  void restartAll() {
    for (const std::string &Name : Cell.names())
      Cell.kill(Name);
    for (const std::string &Name : Cell.names())
      Cell.start(Name);
  }

  /// Runs the cell with jobs and gangs that are handed in at all instances.
  void load(Duration Length) {
    for (const TimePoint End = now() + Length; now() < End;) {
      const std::vector<std::string> Names = Cell.names();
      const std::string &Name = Names[std::size_t(++Jobs) % Names.size()];
      Cell.submit(Name, stepOf(12, 500ms, Jobs % 4 == 0));
      Cell.run(100ms);
    }
  }

  /// True if anything was started in a zone at \p Since or later.
  bool hasStarted(const std::string &Zone, TimePoint Since) {
    bool Result = false;
    for (const std::string &Id : Cell.workers().ids()) {
      const auto Last = Cell.workers().lastStartOn(Id);
      Result = Result || (Id.starts_with(Zone) && Last && *Last >= Since);
    }
    return Result;
  }

  /// Expects that work goes on elsewhere, but not in the zone.
  void expectUnused(const std::string &Zone, Duration Length = 3s) {
    const TimePoint Since = now();
    load(Length);
    EXPECT_FALSE(hasStarted(Zone, Since));
    EXPECT_TRUE(hasStarted("w", Since));
  }

  void expectUsed(const std::string &Zone, Duration Length = 1s) {
    const TimePoint Since = now();
    load(Length);
    EXPECT_TRUE(hasStarted(Zone, Since));
  }

  EmulatedCell Cell;
  int Jobs = 0;
};

// Guards against starts in an evacuated zone, and against a zone that stays
// unused.
TEST_F(EvacuationTest, TheZoneGetsNothingUntilItIsTakenBack) {
  Cell.evacuate("far");
  load(200ms);
  expectUnused("far");
  Cell.takeBack("far");
  expectUsed("far");
  ASSERT_EQ(Cell.linesOf("zone evacuated").size(), 1U);
  EXPECT_NE(Cell.linesOf("zone evacuated")[0].find("far shard=0 workers=2"),
            std::string::npos);
  EXPECT_EQ(Cell.linesOf("zone taken back").size(), 1U);
}

// Guards against starts on workers that register in an evacuated zone, and
// against an evacuation that undoes another one.
TEST_F(EvacuationTest, SeveralZonesAndNewWorkers) {
  Cell.evacuate("far");
  Cell.evacuate("new");
  addWorkers("new", 2);
  load(200ms);
  expectUnused("new");
  Cell.takeBack("far");
  expectUsed("far");
  EXPECT_FALSE(hasStarted("new", TimePoint{}));
  Cell.takeBack("new");
  expectUsed("new");
}

// Guards against starts in the zone after an outage of the store during which
// the row was written, and against a zone that stays evacuated after one during
// which it was removed.
TEST_F(EvacuationTest, TheStoreIsDownWhenTheRowChanges) {
  Cell.evacuate("far");
  const TimePoint Deadline = now() + EvacuationTimeout;
  Cell.store().Down = true;
  load(7s);
  Cell.store().Down = false;
  expectUnused("far", 6s);
  EXPECT_FALSE(hasStarted("far", Deadline));
  Cell.takeBack("far");
  Cell.store().Down = true;
  const TimePoint Removed = now();
  load(4s);
  EXPECT_FALSE(hasStarted("far", Removed));
  Cell.store().Down = false;
  load(3s);
  expectUsed("far");
}

// Guards against a leader that stores placements but reads the operators' rows
// no longer, and so starts runs in a zone that was evacuated meanwhile.
TEST_F(EvacuationTest, NothingStartsByAnOldView) {
  Cell.store().SilentTables = {"policy"};
  load(1s); // Until the watch in flight has ended.
  Cell.evacuate("far");
  load(EvacuationTimeout);
  const TimePoint Since = now();
  load(5s);
  EXPECT_FALSE(hasStarted("", Since));
  Cell.store().endFaults();
  load(3s);
  EXPECT_FALSE(hasStarted("far", Since));
  expectUsed("w");
}

// Guards against the same for a zone that was evacuated again after the leader
// had seen its row removed.
TEST_F(EvacuationTest, ARemovalOfLongAgoAllowsNoStart) {
  Cell.evacuate("far");
  load(1s);
  Cell.takeBack("far");
  expectUsed("far");
  Cell.store().SilentTables = {"policy"};
  load(1s); // Until the watch in flight has ended.
  Cell.evacuate("far");
  load(EvacuationTimeout);
  const TimePoint Since = now();
  load(3s);
  EXPECT_FALSE(hasStarted("far", Since));
}

// Guards against a new leader that starts runs before it knows of the
// evacuation, and against one that keeps a zone whose row was removed while
// there was no leader.
TEST_F(EvacuationTest, TheLeaderIsLostWhenTheRowChanges) {
  Cell.evacuate("far");
  Cell.kill(Cell.leader());
  const TimePoint Evacuated = now();
  load(5s);
  ASSERT_NE(Cell.leader(), "");
  EXPECT_FALSE(hasStarted("far", Evacuated + 1s));
  expectUnused("far");
  Cell.endFaults();
  Cell.takeBack("far");
  Cell.kill(Cell.leader());
  load(5s);
  expectUsed("far");
}

// Guards against starts in the zone after a takeover or a loss of all
// processes.
TEST_F(EvacuationTest, NewLeadersKnowTheZone) {
  Cell.evacuate("far");
  load(500ms);
  Cell.kill(Cell.leader());
  load(4s);
  restartAll();
  load(4s);
  EXPECT_FALSE(hasStarted("far", now() - 8s));
  expectUnused("far");
}

// Guards against a zone that stays evacuated because the history lacks the
// removal of its row.
TEST_F(EvacuationTest, TheHistoryIsLostWhileTheRowIsRemoved) {
  Cell.evacuate("far");
  load(500ms);
  for (const std::string &Name : Cell.names())
    Cell.store().silenceConnections(Name, 0);
  Cell.takeBack("far");
  Cell.store().compact();
  load(3s);
  expectUsed("far");
}

// Guards against a zone that counts as taken back because its row is not on the
// first page of the table, which is all that a read after lost history returns.
TEST_F(EvacuationTest, ARowBeyondTheFirstPageIsNotRemoved) {
  for (int Number = 0; Number < 600; ++Number)
    Cell.store().put("policy", "", "a" + std::to_string(Number), "{}");
  Cell.evacuate("far");
  load(500ms);
  for (const std::string &Name : Cell.names())
    Cell.store().silenceConnections(Name, 0);
  Cell.store().compact();
  expectUnused("far", 4s);
  EXPECT_TRUE(Cell.linesOf("zone taken back").empty());
}

// Guards against orders that were decided just before the evacuation and go out
// after it, and against gangs that remain incomplete by their loss.
TEST_F(EvacuationTest, OrdersDecidedJustBefore) {
  for (int Round = 0; Round < 20; ++Round) {
    Cell.evacuate("far");
    // A response of the store and an order on its way.
    load(100ms);
    const TimePoint Since = now();
    load(500ms);
    EXPECT_FALSE(hasStarted("far", Since));
    Cell.takeBack("far");
    load(300ms + Duration(7 * Round));
  }
  Cell.run(30s);
  for (const auto &[Id, Record] : Cell.jobs())
    if (Record.Accepted)
      Cell.read("n0", Id);
  Cell.run(3s);
  for (const auto &[Id, Record] : Cell.jobs())
    EXPECT_TRUE(!Record.Accepted || Record.View == jobs::JobView::Completed)
        << Id;
}

} // namespace
} // namespace apricotwing::emulator
