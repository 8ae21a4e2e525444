/// \file
/// The supervision of workers on the emulated platform: who extends which lease
/// while links break, members leave and workers move.
#include "emulator/emulatedcell.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace apricotwing::emulator {
namespace {

using namespace std::chrono_literals;

/// Lets only \p Name reach \p Worker.
void leaveWorkerTo(EmulatedCell &Cell, const std::string &Name,
                   const std::string &Worker) {
  for (const std::string &Other : Cell.names())
    if (Other != Name)
      Cell.workers().CutPairs.insert({Other, Worker});
}

/// Lets only \p Name reach the workers that \p Leading has not synced.
void leaveUnsyncedWorkersTo(EmulatedCell &Cell, const cell::Leader &Leading,
                            const std::string &Name) {
  for (const auto &[Id, Host] : Leading.scheduler().workers())
    if (!Host.isSynced())
      leaveWorkerTo(Cell, Name, Id);
}

/// Lets only \p Name reach the worker, and breaks the link of \p Name to the
/// leader for \p Length.
void isolate(EmulatedCell &Cell, const std::string &Name,
             const std::string &Worker, Duration Length) {
  leaveWorkerTo(Cell, Name, Worker);
  Cell.cut(Name);
  Cell.run(Length);
  Cell.heal(Name);
}

// Guards against a lease that the session of a lost assignment extends.
TEST(SupervisionTest, AMemberThatJoinedAgainExtendsNoLeaseOfItsFormerWorkers) {
  for (std::uint64_t Seed = 1; Seed <= 2; ++Seed)
    for (const Duration Length : {1300ms, 2500ms})
      for (const std::string Name : {"n0", "n1", "n2"})
        for (const std::string Worker : {"w0", "w1", "w2", "w3", "w4", "w5"}) {
          EmulatedCell Cell(Seed);
          Cell.run(2s);
          if (Cell.leader() == Name)
            continue;
          SCOPED_TRACE(testing::Message()
                       << "seed " << Seed << ", " << Name << ", " << Worker
                       << ", " << Length.count());
          Cell.submit(Cell.leader(), stepOf(12, 120s));
          Cell.run(2s);
          isolate(Cell, Name, Worker, Length);
          Cell.run(20s);
          EXPECT_EQ(Cell.workers().violations(), std::vector<std::string>{});
        }
}

// Guards against a run that nobody can stop and whose lease is extended.
TEST(SupervisionTest, ARunOfACancelledJobLapsesIfItsSupervisorCannotReachIt) {
  for (std::uint64_t Seed = 1; Seed <= 2; ++Seed)
    for (const std::string Name : {"n0", "n1", "n2"})
      for (const std::string Worker : {"w0", "w1", "w2", "w3", "w4", "w5"}) {
        EmulatedCell Cell(Seed);
        Cell.run(2s);
        if (Cell.leader() == Name)
          continue;
        SCOPED_TRACE(testing::Message()
                     << "seed " << Seed << ", " << Name << ", " << Worker);
        const std::string Id = Cell.submit(Cell.leader(), stepOf(12, 120s));
        Cell.run(2s);
        isolate(Cell, Name, Worker, 1300ms);
        Cell.run(1s);
        ASSERT_TRUE(Cell.cancelUntilAcknowledged(Cell.leader(), Id));
        Cell.run(20s);
        EXPECT_EQ(Cell.activeTasksOfCancelledJobs(),
                  std::vector<std::string>{});
      }
}

// Guards against a lease that is taken for expired as its session was fenced.
TEST(SupervisionTest, ALeaseOutlivesTheFencingOfTheSessionThatGrantedIt) {
  for (const std::string Worker : {"w0", "w1", "w2", "w3", "w4", "w5"}) {
    SCOPED_TRACE(Worker);
    EmulatedCell Cell(1);
    Cell.run(2s);
    Cell.submit(Cell.leader(), stepOf(12, 120s));
    Cell.run(2s);
    const auto Info = *Cell.workers().info(Worker);
    EmulatedWorkers::Handle Other(Cell.workers(), "other");
    Other.heartbeat({Info.Incarnation, Info.Address, 1'000'040},
                    cell::HeartbeatRequest{},
                    [](const cell::HeartbeatResult &) {});
    Cell.run(100ms);
    Cell.workers().Cut.insert(Worker);
    Cell.run(10s);
    EXPECT_EQ(Cell.workers().violations(), std::vector<std::string>{});
  }
}

// Guards against a former supervisor that extends a lease until it is told.
TEST(SupervisionTest, ALeaseOutlivesTheMoveOfItsWorker) {
  int Moves = 0;
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed) {
    SCOPED_TRACE("seed " + std::to_string(Seed));
    EmulatedCell Cell(Seed, 3, 12);
    Cell.run(2s);
    const std::string Leader = Cell.leader();
    ASSERT_FALSE(Leader.empty());
    const std::string Last = Leader == "n2" ? "n1" : "n2";
    Cell.kill(Last);
    Cell.run(3s);
    Cell.submit(Leader, stepOf(36, 120s));
    Cell.run(2s + Duration(int(Seed) * 40));
    const cell::Leader &Leading = *Cell.node(Leader).leader(0);
    const std::string Name = Leader == "n0" ? "n1" : "n0";
    const std::size_t Before = Leading.workersOf(Name);
    Cell.start(Last);
    for (int Step = 0; Step < 300 && Leading.memberCount() < 3; ++Step)
      Cell.run(10ms);
    Cell.run(30ms);
    Cell.cut(Name);
    for (int Step = 0; Step < 60 && Leading.workersOf(Name) >= Before; ++Step)
      Cell.run(1ms);
    if (Leading.workersOf(Name) >= Before || Leading.workersOf(Name) == 0)
      continue;
    ++Moves;
    leaveUnsyncedWorkersTo(Cell, Leading, Name);
    Cell.run(12s);
    EXPECT_EQ(Cell.workers().violations(), std::vector<std::string>{});
  }
  EXPECT_GT(Moves, 0);
}

// Guards against the same for the workers of a member that shuts down.
TEST(SupervisionTest, ALeaseOutlivesTheDepartureOfItsSupervisor) {
  int Departures = 0;
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed) {
    SCOPED_TRACE("seed " + std::to_string(Seed));
    EmulatedCell Cell(Seed, 3, 12);
    Cell.run(2s);
    const std::string Leader = Cell.leader();
    ASSERT_FALSE(Leader.empty());
    Cell.submit(Leader, stepOf(36, 120s));
    Cell.run(2s + Duration(int(Seed) * 23));
    const cell::Leader &Leading = *Cell.node(Leader).leader(0);
    const std::string Name = Leader == "n0" ? "n1" : "n0";
    Cell.node(Name).leave();
    for (int Step = 0; Step < 60 && Leading.workersOf(Name) > 0; ++Step)
      Cell.run(1ms);
    if (Leading.workersOf(Name) > 0)
      continue;
    ++Departures;
    Cell.cut(Name);
    leaveUnsyncedWorkersTo(Cell, Leading, Name);
    Cell.run(12s);
    EXPECT_EQ(Cell.workers().violations(), std::vector<std::string>{});
  }
  EXPECT_GT(Departures, 0);
}

// Guards against a worker that was given back to the member that lost it.
TEST(SupervisionTest, EveryWorkerIsSyncedOnceNothingIsDisturbed) {
  for (std::uint64_t Seed = 1; Seed <= 60; ++Seed) {
    SCOPED_TRACE("seed " + std::to_string(Seed));
    std::mt19937_64 Random(Seed);
    EmulatedCell Cell(Seed, 4, 12);
    Cell.run(2s);
    Cell.LostReplies = 0.3;
    for (int Round = 0; Round < 12; ++Round) {
      const std::string Name = "n" + std::to_string(1 + Random() % 3);
      Cell.kill(Name);
      Cell.run(Duration(10 * (Random() % 20)));
      Cell.start(Name);
      Cell.run(Duration(10 * (Random() % 120)));
    }
    Cell.LostReplies = 0;
    Cell.run(12s);
    const std::string Leader = Cell.leader();
    ASSERT_FALSE(Leader.empty());
    for (const auto &[Id, Host] :
         Cell.node(Leader).leader(0)->scheduler().workers())
      EXPECT_TRUE(Host.isSynced() && Host.isReachable()) << Id;
  }
}

} // namespace
} // namespace apricotwing::emulator
