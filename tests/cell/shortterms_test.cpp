/// \file
/// Workers that vanish, or seem to, while leaders follow one another within
/// seconds, on the emulated platform.
#include "emulator/emulatedcell.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <functional>
#include <set>
#include <string>

namespace apricotwing::emulator {
namespace {

using namespace std::chrono_literals;

/// Work is at work again this long after the last disturbance of its workers.
constexpr Duration RestartBound{14'000};

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

// Guards against runs on vanished workers that wait for a whole lease again
// after each change of the leader.
TEST(ShortTermsTest, KilledLeadersDoNotPostponeTheWorkOfVanishedWorkers) {
  for (const Duration First : {0ms, 500ms, 1000ms, 2000ms, 3000ms, 4000ms}) {
    SCOPED_TRACE(caseOf(First));
    CellWithShortTerms Run;
    Run.loseWorkers(true);
    EXPECT_LE(Run.killLeaders(First, Run.Tasks), RestartBound);
  }
}

// Guards against the same if the workers refuse connections. Their tasks may
// have ended them, so the first one is started alone.
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

} // namespace
} // namespace apricotwing::emulator
