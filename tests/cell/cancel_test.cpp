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
      ASSERT_TRUE(Cell.cancelUntilAcknowledged(Well, Id));
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
  ASSERT_TRUE(Cell.cancelUntilAcknowledged("n0", Id));
  Cell.run(3s);
  const cell::Leader &Leading = *Cell.node(Cell.leader()).leader(0);
  EXPECT_EQ(Leading.scheduler().runsToStop().size(), 12U);
  EXPECT_GE(Leading.longestStop(), 3s);
  Cell.workers().Cut.clear();
  Cell.run(StopBound);
  EXPECT_EQ(Leading.scheduler().runsToStop().size(), 0U);
  EXPECT_EQ(Leading.longestStop(), 0s);
}

} // namespace
} // namespace apricotwing::emulator
