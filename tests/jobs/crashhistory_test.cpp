#include "jobs/crashhistory.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace apricotwing::jobs {
namespace {

CrashRecord lossOf(const std::string &Worker, std::int64_t Run,
                   WorkerLoss Cause = WorkerLoss::ProcessEnded,
                   bool Apart = false) {
  return {{Worker, 1}, Run, Cause, Apart, true};
}

// Guards against a task that is given up for crashes it cannot have caused.
TEST(CrashHistoryTest, CountsNoAnnouncedEndsAndTransfers) {
  CrashHistory History;
  for (int Run = 1; Run <= 5; ++Run) {
    History.add(lossOf("a", Run, WorkerLoss::Announced));
    History.add(lossOf("b", Run, WorkerLoss::Transferred));
  }
  EXPECT_FALSE(History.isSuspect());
  EXPECT_FALSE(History.isExhausted(false));
}

// Guards against a silent worker that counts before it is known to be gone.
TEST(CrashHistoryTest, CountsASilentWorkerOnlyOnceItIsGone) {
  CrashHistory History;
  for (int Run = 1; Run <= CrashHistory::MaxLosses; ++Run)
    History.add(
        lossOf("w" + std::to_string(Run), Run, WorkerLoss::LeaseExpired));
  EXPECT_EQ(History.losses(), 0);
  for (int Run = 1; Run <= CrashHistory::MaxLosses; ++Run) {
    EXPECT_FALSE(History.isExhausted(false));
    EXPECT_TRUE(
        History.update({"w" + std::to_string(Run), 1}, WorkerLoss::Gone));
  }
  EXPECT_TRUE(History.isExhausted(false));
  EXPECT_TRUE(History.remove({"w1", 1}));
  EXPECT_FALSE(History.isExhausted(false));
}

// Guards against a task that is started after the last accepted crash.
TEST(CrashHistoryTest, IsExhaustedAfterThreeEndedProcessesIfOnceApart) {
  CrashHistory History;
  History.add(lossOf("a", 1));
  EXPECT_TRUE(History.isSuspect());
  EXPECT_FALSE(History.needsIsolation());
  History.add(lossOf("b", 2));
  EXPECT_TRUE(History.needsIsolation());
  EXPECT_FALSE(History.isExhausted(false));
  CrashHistory Apart = History;
  Apart.add(lossOf("c", 3, WorkerLoss::ProcessEnded, true));
  EXPECT_TRUE(Apart.isExhausted(false));
  // Another task may have been the cause each time.
  History.add(lossOf("a", 3));
  EXPECT_FALSE(History.isExhausted(false));
  History.add(lossOf("c", 4));
  EXPECT_FALSE(History.isExhausted(false));
  History.add(lossOf("d", 5));
  EXPECT_TRUE(History.isExhausted(false));
}

// Guards against a sound task that fails because one worker crashes repeatedly.
TEST(CrashHistoryTest, IsNotExhaustedEarlyByCrashesOfOneWorker) {
  CrashHistory History;
  for (int Run = 1; Run <= 5; ++Run) {
    EXPECT_FALSE(History.isExhausted(false)) << Run;
    History.add(
        lossOf(Run == 2 ? "b" : "a", Run, WorkerLoss::ProcessEnded, true));
  }
  EXPECT_TRUE(History.isExhausted(false));
}

// Guards against blame for crashes by chance, and against a sixth crash.
TEST(CrashHistoryTest, IsExhaustedAfterFiveEndsIfWorkersCrashElsewhere) {
  CrashHistory History;
  for (int Run = 1; Run <= 5; ++Run) {
    EXPECT_FALSE(History.isExhausted(true)) << Run;
    History.add(
        lossOf("w" + std::to_string(Run), Run, WorkerLoss::ProcessEnded, true));
  }
  EXPECT_TRUE(History.isExhausted(true));
}

// Guards against blame for crashes after the end of a run.
TEST(CrashHistoryTest, IsNotExhaustedEarlyByRunsThatMayHaveEnded) {
  CrashHistory History;
  for (int Run = 1; Run <= 4; ++Run) {
    CrashRecord Record =
        lossOf("w" + std::to_string(Run), Run, WorkerLoss::ProcessEnded, true);
    Record.Witnessed = Run <= 2;
    History.add(Record);
  }
  EXPECT_FALSE(History.isExhausted(false));
  History.add(lossOf("a", 5));
  EXPECT_TRUE(History.isExhausted(false));
}

// Guards against a start while a fifth loss does not count yet.
TEST(CrashHistoryTest, IsExhaustedAfterFourLossesIfAWorkerIsSilent) {
  CrashHistory History;
  for (int Run = 1; Run <= 4; ++Run) {
    History.add(lossOf("a", Run));
    EXPECT_FALSE(History.isExhausted(false)) << Run;
  }
  History.add(lossOf("b", 5, WorkerLoss::LeaseExpired));
  EXPECT_TRUE(History.isExhausted(false));
}

// Guards against a task that lasts and crashes its workers as fast as it can be
// started, and against one that is away for longer than is allowed.
TEST(CrashHistoryTest, RestartIntervalGrowsUpToItsLimit) {
  CrashHistory History;
  std::vector<std::int64_t> Intervals;
  for (int Run = 1; Run <= 12; ++Run) {
    History.add(lossOf("a", Run));
    Intervals.push_back(History.restartInterval().count());
  }
  EXPECT_EQ(Intervals,
            (std::vector<std::int64_t>{0, 1000, 2000, 4000, 4000, 4000, 4000,
                                       4000, 4000, 4000, 4000, 4000}));
  EXPECT_LT(CrashHistory::MaxRestartInterval, Duration{6000});
}

// Guards against a stored history that grows with each crash of a task that is
// never given up.
TEST(CrashHistoryTest, KeepsTheLatestLosses) {
  CrashHistory History;
  for (int Run = 1; Run <= 50; ++Run) {
    History.add(lossOf("w" + std::to_string(Run), Run));
    History.keepLatest();
  }
  EXPECT_EQ(History.records().size(), 4U);
  EXPECT_TRUE(History.includes("w50"));
  EXPECT_TRUE(History.mentions({"w47", 1}));
  EXPECT_FALSE(History.mentions({"w46", 1}));
  EXPECT_EQ(History.restartInterval(), CrashHistory::MaxRestartInterval);
}

// Guards against a gang that is given up after a single run because several of
// its workers crashed.
TEST(CrashHistoryTest, CountsOneLossForEachRunOfAGang) {
  CrashHistory First;
  First.add(lossOf("a", 1));
  CrashHistory Second;
  Second.add(lossOf("b", 1, WorkerLoss::Gone));
  Second.add(lossOf("b", 2, WorkerLoss::LeaseExpired));
  CrashHistory Third;
  Third.add(lossOf("c", 1));
  Third.add(lossOf("c", 2));
  CrashHistory Gang;
  for (const CrashHistory &Member : {First, Second, Third})
    Gang.mergeGangMember(Member);
  EXPECT_EQ(Gang.losses(), 2);
}

} // namespace
} // namespace apricotwing::jobs
