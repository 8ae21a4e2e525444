/// \file
/// Workers that vanish, or seem to, while leaders follow one another within
/// seconds, on the emulated platform.
#include "cell/codec.h"
#include "cell/journal.h"
#include "emulator/emulatedcell.h"
#include "emulator/soakseeds.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace apricotwing::emulator {
namespace {

using namespace std::chrono_literals;

/// Work is at work again this long after the last disturbance of its workers.
constexpr Duration RestartBound{14'000};

/// Leases of workers that do not respond are frozen after this time.
constexpr Duration TimeToFreeze{2500};

/// A cell whose leader is replaced again and again.
class CellWithShortTerms {
public:
  CellWithShortTerms() : Cell(1, 3, 6) {
    Cell.run(2s);
    Job = Cell.submit("n0", stepOf(Tasks, 90s));
    Cell.run(1s);
    EXPECT_EQ(Cell.workers().activeRuns(), Tasks);
  }
  ~CellWithShortTerms() {
    for (const std::string &Violation : Cell.workers().violations())
      ADD_FAILURE() << Violation;
  }

  /// Ends two workers for good, which have all tasks.
  void loseWorkers(bool Silently) {
    Cell.workers().CrashesSilently = Silently;
    Cell.workers().crash("w0");
    Cell.workers().crash("w1");
    EXPECT_EQ(Cell.workers().activeRuns(), 0);
  }

  /// Cuts off the two workers that have all tasks, which go on.
  void cutWorkers() { Cell.workers().Cut = {"w0", "w1"}; }

  /// Runs the cell for \p Length and replaces the leader by \p End each
  /// \p Interval, for the first time after \p First. Returns the longest time
  /// for which fewer than \p Needed tasks were at work.
  Duration replaceLeaders(Duration First, Duration Interval, Duration Length,
                          int Needed,
                          const std::function<void(const std::string &)> &End) {
    const TimePoint Begin = Cell.time().now();
    TimePoint NextEnd = Begin + First;
    TimePoint LastEnough = Begin;
    Duration Longest{0};
    std::string Down;
    TimePoint BackAt;
    while (Cell.time().now() - Begin < Length) {
      const TimePoint Now = Cell.time().now();
      const std::string Leader = Cell.leader();
      if (!Down.empty() && Now >= BackAt) {
        Cell.kill(Down);
        Cell.start(Down);
        Down.clear();
      } else if (Down.empty() && Now >= NextEnd && !Leader.empty()) {
        NextEnd = std::max(NextEnd + Interval, Now);
        End(Leader);
        Down = Leader;
        BackAt = Now + 700ms;
      }
      Cell.run(20ms);
      if (int(Cell.workers().activeTasks().size()) >= Needed)
        LastEnough = Cell.time().now();
      Longest = std::max(Longest, Cell.time().now() - LastEnough);
    }
    return Longest;
  }

  Duration killLeaders(Duration First, int Needed) {
    return replaceLeaders(
        First, 5s, 60s, Needed,
        [this](const std::string &Leader) { Cell.kill(Leader); });
  }

  static constexpr int Tasks = 12;
  EmulatedCell Cell;
  std::string Job;
};

std::string caseOf(Duration First) {
  return "leader ended after " + std::to_string(First.count()) + " ms";
}

// Guards against leaders that each wait for a whole lease again.
TEST(ShortTermsTest, KilledLeadersDoNotPostponeTheWorkOfVanishedWorkers) {
  for (const Duration First : {0ms, 500ms, 1000ms, 2000ms, 3000ms, 4000ms}) {
    SCOPED_TRACE(caseOf(First));
    CellWithShortTerms Run;
    Run.loseWorkers(true);
    EXPECT_LE(Run.killLeaders(First, Run.Tasks), RestartBound);
  }
}

// The same if connections are refused, so that the first task starts alone.
TEST(ShortTermsTest, KilledLeadersDoNotPostponeTheWorkOfCrashedWorkers) {
  for (const Duration First : {0ms, 500ms, 1000ms, 2000ms, 3000ms, 4000ms}) {
    SCOPED_TRACE(caseOf(First));
    CellWithShortTerms Run;
    Run.loseWorkers(false);
    EXPECT_LE(Run.killLeaders(First, 1), RestartBound);
    EXPECT_EQ(Run.Cell.linesOfLostRuns().size(), std::size_t(Run.Tasks));
  }
}

// Guards against the same if leaders step down instead.
TEST(ShortTermsTest, LeadersThatStepDownDoNotPostponeTheWorkOfVanishedWorkers) {
  for (const Duration First : {0ms, 500ms, 1000ms, 2000ms}) {
    SCOPED_TRACE(caseOf(First));
    CellWithShortTerms Run;
    Run.loseWorkers(true);
    EXPECT_LE(Run.replaceLeaders(First, 3s, 60s, Run.Tasks,
                                 [&Run](const std::string &Leader) {
                                   Run.Cell.node(Leader).leave();
                                 }),
              RestartBound);
  }
}

// Guards against extensions beyond the stored end while there is no leader.
TEST(ShortTermsTest, NoMemberExtendsAFrozenLeaseWithoutALeader) {
  CellWithShortTerms Run;
  Run.cutWorkers();
  Run.Cell.run(TimeToFreeze);
  Run.Cell.kill(Run.Cell.leader());
  Run.Cell.workers().Cut.clear();
  Run.Cell.run(1200ms);
  Run.cutWorkers();
  Run.Cell.run(RestartBound);
  EXPECT_EQ(Run.Cell.workers().activeRuns(), Run.Tasks);
  EXPECT_EQ(Run.Cell.workers().startedRuns(), 2 * Run.Tasks);
}

// Guards against the same while the leader can't store that the worker answers.
TEST(ShortTermsTest, NoMemberExtendsAFrozenLeaseBeforeItsReleaseIsStored) {
  CellWithShortTerms Run;
  const std::string Leader = Run.Cell.leader();
  Run.cutWorkers();
  Run.Cell.run(TimeToFreeze);
  Run.Cell.store().Cut = {Leader};
  Run.Cell.workers().Cut.clear();
  Run.Cell.run(900ms);
  Run.cutWorkers();
  Run.Cell.kill(Leader);
  Run.Cell.store().Cut.clear();
  Run.Cell.run(RestartBound);
  EXPECT_EQ(Run.Cell.workers().activeRuns(), Run.Tasks);
  EXPECT_EQ(Run.Cell.workers().startedRuns(), 2 * Run.Tasks);
}

// Guards against the same if the next leader can't store it.
TEST(ShortTermsTest, NoMemberExtendsALeaseThatWasFrozenInAnEarlierTerm) {
  CellWithShortTerms Run;
  Run.cutWorkers();
  Run.Cell.run(TimeToFreeze);
  Run.Cell.kill(Run.Cell.leader());
  const auto IsLoaded = [&Run] {
    const std::string Leader = Run.Cell.leader();
    return !Leader.empty() && Run.Cell.node(Leader).leader(0)->isLoaded();
  };
  while (!IsLoaded())
    Run.Cell.run(1ms);
  const std::string Leader = Run.Cell.leader();
  Run.Cell.store().RefusedCallers = {Leader};
  Run.Cell.workers().Cut.clear();
  Run.Cell.run(1000ms);
  Run.cutWorkers();
  Run.Cell.kill(Leader);
  Run.Cell.store().RefusedCallers.clear();
  Run.Cell.run(RestartBound);
  EXPECT_EQ(Run.Cell.workers().activeRuns(), Run.Tasks);
  EXPECT_EQ(Run.Cell.workers().startedRuns(), 2 * Run.Tasks);
}

// Guards against a stored end that leaves out what earlier members granted.
TEST(ShortTermsTest, AFrozenLeaseIncludesWhatEarlierMembersHaveGranted) {
  CellWithShortTerms Run;
  const std::string First = Run.Cell.leader();
  Run.Cell.kill(First);
  Run.Cell.run(1200ms);
  Run.cutWorkers();
  Run.Cell.run(1800ms);
  const std::string Second = Run.Cell.leader();
  ASSERT_NE(Second, "");
  Run.Cell.kill(Second);
  Run.Cell.start(First);
  Run.Cell.run(RestartBound);
  EXPECT_EQ(Run.Cell.workers().activeRuns(), Run.Tasks);
  EXPECT_EQ(Run.Cell.workers().startedRuns(), 2 * Run.Tasks);
}

// Guards against a stored end that is used after the lease was extended.
TEST(ShortTermsTest, TheEndOfALeaseIsForgottenAtItsRelease) {
  CellWithShortTerms Run;
  Run.cutWorkers();
  Run.Cell.run(TimeToFreeze + 1s);
  Run.Cell.workers().Cut.clear();
  Run.Cell.run(5s);
  Run.Cell.kill(Run.Cell.leader());
  Run.cutWorkers();
  Run.Cell.run(RestartBound);
  EXPECT_EQ(Run.Cell.workers().activeRuns(), Run.Tasks);
  EXPECT_EQ(Run.Cell.workers().startedRuns(), 2 * Run.Tasks);
}

// Guards against a lease that ends because it is never extended again.
TEST(ShortTermsTest, KeepsTheWorkOfWorkersThatAnswerAgain) {
  CellWithShortTerms Run;
  for (int Round = 0; Round < 4; ++Round) {
    Run.cutWorkers();
    Run.Cell.run(TimeToFreeze + 1s);
    Run.Cell.workers().Cut.clear();
    Run.Cell.run(8s);
  }
  EXPECT_EQ(Run.Cell.workers().activeRuns(), Run.Tasks);
  EXPECT_EQ(Run.Cell.workers().startedRuns(), Run.Tasks);
}

// Guards against the same if they answer the next leader's members.
TEST(ShortTermsTest, KeepsTheWorkOfWorkersThatAnswerTheNextMember) {
  CellWithShortTerms Run;
  for (int Round = 0; Round < 4; ++Round) {
    Run.cutWorkers();
    Run.Cell.run(TimeToFreeze);
    const std::string Leader = Run.Cell.leader();
    Run.Cell.kill(Leader);
    Run.Cell.run(500ms);
    Run.Cell.workers().Cut.clear();
    Run.Cell.run(500ms);
    Run.Cell.start(Leader);
    Run.Cell.run(8s);
  }
  EXPECT_EQ(Run.Cell.workers().activeRuns(), Run.Tasks);
  EXPECT_EQ(Run.Cell.workers().startedRuns(), Run.Tasks);
}

// Guards against a shared time that counts a span twice.
TEST(ShortTermsTest, TheTimeThatLeadersShareNeverRunsAhead) {
  CellWithShortTerms Run;
  const auto Stored = [&Run] {
    return cell::decodeLeaderRecord(Run.Cell.store().value(
        cell::LeaderTable, cell::partitionOf(0), cell::LeaderKey));
  };
  const TimePoint Begin = Run.Cell.time().now();
  const cell::ShardTime First = Stored()->Time;
  EXPECT_GT(First.Epoch, 0);
  Run.replaceLeaders(1s, 4s, 20s, 0, [&](const std::string &Leader) {
    Run.Cell.freeze(Leader);
    EXPECT_EQ(Stored()->Time.Epoch, First.Epoch);
    EXPECT_LE(Stored()->Time.Ms - First.Ms,
              (Run.Cell.time().now() - Begin).count());
  });
  for (const std::string &Name : Run.Cell.names())
    Run.Cell.kill(Name);
  Run.Cell.run(10s);
  for (const std::string &Name : Run.Cell.names())
    Run.Cell.start(Name);
  Run.Cell.run(5s);
  EXPECT_EQ(Stored()->Time.Epoch, First.Epoch);
  EXPECT_LE(Stored()->Time.Ms - First.Ms,
            (Run.Cell.time().now() - Begin).count());
}

/// Cuts workers off from some or all instances while leaders are killed, step
/// down or are suspended, and orders and messages come late.
void playCuts(std::uint64_t Seed) {
  SCOPED_TRACE("seed " + std::to_string(Seed));
  EmulatedCell Cell(Seed, 4, 8);
  std::mt19937_64 Random(Seed);
  const auto Roll = [&Random](int Sides) {
    return std::uniform_int_distribution<>(0, Sides - 1)(Random);
  };
  Cell.run(2s);
  std::vector<std::string> Ids;
  std::vector<std::string> Names = Cell.names();
  const std::vector<std::string> Workers = Cell.workers().ids();
  for (int Step = 0; Step < 60; ++Step) {
    if (Step % 4 == 0 && Step < 40)
      Ids.push_back(Cell.submit(Names[std::size_t(Roll(4))],
                                stepOf(6, Duration{1000 * (1 + Roll(12))})));
    const std::string Leader = Cell.leader();
    switch (Roll(8)) {
    case 0:
    case 1:
      if (!Leader.empty())
        Cell.kill(Leader);
      break;
    case 2:
      if (!Leader.empty() && Cell.isRunning(Leader))
        Cell.node(Leader).leave();
      break;
    case 3:
      if (!Leader.empty() && Cell.isRunning(Leader))
        Cell.freeze(Leader);
      break;
    case 4:
      for (const std::string &Worker : Workers)
        if (Roll(3) == 0)
          Cell.workers().Cut.insert(Worker);
      break;
    case 5:
      for (const std::string &Worker : Workers)
        for (const std::string &Name : Names)
          if (Roll(3) == 0)
            Cell.workers().CutPairs.insert({Name, Worker});
      break;
    case 6:
      Cell.workers().Cut.clear();
      Cell.workers().CutPairs.clear();
      break;
    case 7:
      Cell.workers().LateOrders = Roll(2) * 0.2;
      Cell.workers().LostAnswers = Roll(2) * 0.2;
      Cell.DelayedMessages = Roll(2) * 0.05;
      Cell.LostReplies = Roll(2) * 0.05;
      Cell.store().LostAnswers = Roll(2) * 0.2;
      Cell.store().LateEffects = Roll(2) * 0.1;
      break;
    }
    Cell.run(Duration{200 + Roll(2500)});
    for (const std::string &Name : Names)
      if (!Cell.isRunning(Name) && Roll(2) == 0) {
        Cell.thaw(Name);
        Cell.start(Name);
      }
    for (const std::string &Name : Names)
      if (Cell.isRunning(Name) && Name != Cell.leader() && Roll(12) == 0) {
        Cell.kill(Name); // Also ends one that has stepped down.
        Cell.start(Name);
      }
  }
  Cell.endFaults();
  for (const std::string &Name : Names) {
    Cell.kill(Name);
    Cell.start(Name);
  }
  Cell.run(120s);
  for (const std::string &Violation : Cell.workers().violations())
    ADD_FAILURE() << Violation;
  for (const std::string &Id : Ids) {
    if (!Cell.jobs().at(Id).Accepted)
      continue;
    Cell.read("n0", Id);
    Cell.run(300ms);
    EXPECT_EQ(Cell.jobs().at(Id).View, jobs::JobView::Completed) << Id;
  }
}

// Guards against runs that are started again while the former ones go on.
TEST(ShortTermsTest, RunsNoTaskTwiceWhileCutsAndLeadersChange) {
  for (const std::uint64_t Seed : soakSeeds(20))
    playCuts(Seed);
}

} // namespace
} // namespace apricotwing::emulator
