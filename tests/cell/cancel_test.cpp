/// \file
/// Cancelled jobs on the emulated platform: an acknowledged cancellation ends
/// all runs, whatever happens to the instances around it.
#include "core/nametable.h"
#include "emulator/emulatedcell.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace apricotwing::emulator {
namespace {

using namespace std::chrono_literals;

enum class Fault { Killed, CutOff, Frozen };

constexpr NameTable<Fault, 3> FaultNames = {{
    {Fault::Killed, "Killed"},
    {Fault::CutOff, "CutOff"},
    {Fault::Frozen, "Frozen"},
}};

enum class Target { Leader, Member };

constexpr NameTable<Target, 2> TargetNames = {{
    {Target::Leader, "Leader"},
    {Target::Member, "Member"},
}};

/// Time after which a faulty instance works again.
constexpr Duration FaultLength{4000};

/// Time that the platform allows until the runs of a cancelled job are gone,
/// while nothing is disturbed.
constexpr Duration StopBound{3200};

/// Interval at which a caller repeats a cancellation without an answer.
constexpr Duration CancelInterval{500};

void begin(EmulatedCell &Cell, const std::string &Name, Fault Kind) {
  switch (Kind) {
  case Fault::Killed:
    return Cell.kill(Name);
  case Fault::CutOff:
    return Cell.cut(Name);
  case Fault::Frozen:
    return Cell.freeze(Name);
  }
}

void end(EmulatedCell &Cell, const std::string &Name) {
  Cell.heal(Name);
  Cell.thaw(Name);
  Cell.start(Name);
}

/// Sends a cancellation at \p Instance until it is acknowledged; returns
/// whether it was within 15 s.
bool cancelAcknowledged(EmulatedCell &Cell, const std::string &Instance,
                        const std::string &Id) {
  const TimePoint Limit = Cell.time().now() + 15s;
  while (!Cell.jobs().at(Id).Cancelled && Cell.time().now() < Limit) {
    Cell.cancel(Instance, Id);
    Cell.run(CancelInterval);
  }
  return Cell.jobs().at(Id).Cancelled;
}

class CancelTest
    : public testing::TestWithParam<std::tuple<Target, Fault, bool>> {};

// The hit comes from 3 s before the cancellation to 1 s after it.
TEST_P(CancelTest, LeavesNoRunAtWorkAfterTheLossOfAnInstance) {
  const auto [Hit, Kind, IsGang] = GetParam();
  for (std::uint64_t Seed = 1; Seed <= 3; ++Seed)
    for (Duration Offset = -3s; Offset <= 1s; Offset += 250ms) {
      SCOPED_TRACE("seed " + std::to_string(Seed) + ", offset " +
                   std::to_string(Offset.count()));
      EmulatedCell Cell(Seed);
      Cell.run(2s);
      const std::string Leader = Cell.leader();
      ASSERT_FALSE(Leader.empty());
      const std::string Member = Leader == "n0" ? "n1" : "n0";
      const std::string &Name = Hit == Target::Leader ? Leader : Member;
      const std::string Well = Leader == "n2" ? "n1" : "n2";
      const std::string Id = Cell.submit(Well, stepOf(12, 120s, IsGang));
      Cell.run(2s);
      ASSERT_EQ(Cell.workers().activeRuns(), 12);
      const TimePoint HitAt = Cell.time().now() + 3s + Offset;
      Cell.time().after(HitAt - Cell.time().now(),
                        [&, Kind = Kind] { begin(Cell, Name, Kind); });
      Cell.time().after(HitAt - Cell.time().now() + FaultLength,
                        [&] { end(Cell, Name); });
      Cell.run(3s);
      ASSERT_TRUE(cancelAcknowledged(Cell, Well, Id));
      const TimePoint WellAt = HitAt + FaultLength;
      if (Cell.time().now() < WellAt)
        Cell.run(WellAt - Cell.time().now());
      Cell.run(StopBound);
      EXPECT_EQ(Cell.activeTasksOfCancelledJobs(), std::vector<std::string>{});
      EXPECT_EQ(Cell.workers().violations(), std::vector<std::string>{});
    }
}

INSTANTIATE_TEST_SUITE_P(
    Faults, CancelTest,
    testing::Combine(testing::Values(Target::Leader, Target::Member),
                     testing::Values(Fault::Killed, Fault::CutOff,
                                     Fault::Frozen),
                     testing::Bool()),
    [](const auto &Info) {
      return std::string(enumName(TargetNames, std::get<0>(Info.param)))
          .append(enumName(FaultNames, std::get<1>(Info.param)))
          .append(std::get<2>(Info.param) ? "Gang" : "Tasks");
    });

// Guards against a run that cannot be stopped and that no metric shows.
TEST(RunsToStopTest, ARunThatDoesNotStopIsCountedUntilItHasEnded) {
  EmulatedCell Cell(1);
  Cell.run(2s);
  const std::string Id = Cell.submit("n0", stepOf(12, 120s));
  Cell.run(2s);
  for (const std::string &Worker : Cell.workers().ids())
    Cell.workers().Cut.insert(Worker);
  ASSERT_TRUE(cancelAcknowledged(Cell, "n0", Id));
  Cell.run(3s);
  const cell::Leader &Leading = *Cell.node(Cell.leader()).leader(0);
  EXPECT_EQ(Leading.scheduler().runsToStop().size(), 12U);
  EXPECT_GE(Leading.longestStop(), 3s);
  Cell.workers().Cut.clear();
  Cell.run(StopBound);
  EXPECT_EQ(Leading.scheduler().runsToStop().size(), 0U);
  EXPECT_EQ(Leading.longestStop(), 0s);
}

/// Lets only \p Name reach the worker, and breaks the link of \p Name to the
/// leader for \p Length.
void isolate(EmulatedCell &Cell, const std::string &Name,
             const std::string &Worker, Duration Length) {
  for (const std::string &Other : Cell.names())
    if (Other != Name)
      Cell.workers().CutPairs.insert({Other, Worker});
  Cell.cut(Name);
  Cell.run(Length);
  Cell.heal(Name);
}

// Guards against a lease that the session of a lost assignment extends.
TEST(IsolatedWorkerTest,
     AMemberThatJoinedAgainExtendsNoLeaseOfItsFormerWorkers) {
  for (std::uint64_t Seed = 1; Seed <= 2; ++Seed)
    for (const Duration Length : {1300ms, 2500ms})
      for (const std::string Name : {"n0", "n1", "n2"})
        for (const std::string Worker : {"w0", "w1", "w2", "w3", "w4", "w5"}) {
          EmulatedCell Cell(Seed);
          Cell.run(2s);
          if (Cell.leader() == Name)
            continue;
          SCOPED_TRACE("seed " + std::to_string(Seed) + ", " + Name + ", " +
                       Worker + ", " + std::to_string(Length.count()));
          Cell.submit(Cell.leader(), stepOf(12, 120s));
          Cell.run(2s);
          isolate(Cell, Name, Worker, Length);
          Cell.run(20s);
          EXPECT_EQ(Cell.workers().violations(), std::vector<std::string>{});
        }
}

// Guards against a run that nobody can stop and whose lease is extended.
TEST(IsolatedWorkerTest,
     ARunOfACancelledJobLapsesIfItsSupervisorCannotReachIt) {
  for (std::uint64_t Seed = 1; Seed <= 2; ++Seed)
    for (const std::string Name : {"n0", "n1", "n2"})
      for (const std::string Worker : {"w0", "w1", "w2", "w3", "w4", "w5"}) {
        EmulatedCell Cell(Seed);
        Cell.run(2s);
        if (Cell.leader() == Name)
          continue;
        SCOPED_TRACE("seed " + std::to_string(Seed) + ", " + Name + ", " +
                     Worker);
        const std::string Id = Cell.submit(Cell.leader(), stepOf(12, 120s));
        Cell.run(2s);
        isolate(Cell, Name, Worker, 1300ms);
        Cell.run(1s);
        ASSERT_TRUE(cancelAcknowledged(Cell, Cell.leader(), Id));
        Cell.run(20s);
        EXPECT_EQ(Cell.activeTasksOfCancelledJobs(),
                  std::vector<std::string>{});
      }
}

// Guards against a lease that is taken for expired as its session was fenced.
TEST(IsolatedWorkerTest, ALeaseOutlivesTheFencingOfTheSessionThatGrantedIt) {
  for (const std::string Worker : {"w0", "w1", "w2", "w3", "w4", "w5"}) {
    SCOPED_TRACE(Worker);
    EmulatedCell Cell(1);
    Cell.run(2s);
    Cell.submit(Cell.leader(), stepOf(12, 120s));
    Cell.run(2s);
    const auto Info = *Cell.workers().info(Worker);
    EmulatedWorkers::Handle Other(Cell.workers(), "other");
    Other.heartbeat({Info.Incarnation, Info.Address, 1'000'040},
                    cell::HeartbeatRequest{}, [](cell::HeartbeatResult) {});
    Cell.run(100ms);
    Cell.workers().Cut.insert(Worker);
    Cell.run(10s);
    EXPECT_EQ(Cell.workers().violations(), std::vector<std::string>{});
  }
}

} // namespace
} // namespace apricotwing::emulator
