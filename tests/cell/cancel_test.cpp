/// \file
/// Cancelled jobs on the emulated platform: an acknowledged cancellation ends
/// all runs, whatever happens to the instances around it.
#include "cell/codec.h"
#include "core/nametable.h"
#include "emulator/emulatedcell.h"

#include <gtest/gtest.h>

#include <algorithm>
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

class UnknownJobTest : public testing::Test {
protected:
  UnknownJobTest() : Cell(1) {
    Cell.run(2s);
    Leader = Cell.leader();
    First = Leader == "n0" ? "n1" : "n0";
    Second = Leader == "n2" ? "n1" : "n2";
  }

  /// Submits a job at an instance that cannot reach the leader, and cancels it
  /// at another one.
  std::string cancelBeforeSubmission() {
    Cell.cut(First);
    std::string Id = Cell.submit(First, stepOf(2, 30s));
    Cell.run(200ms);
    Cell.cancel(Second, Id);
    Cell.run(300ms);
    EXPECT_EQ(Cell.answers().at(cell::ClientStatus::NoSuchJob), 1);
    return Id;
  }

  EmulatedCell Cell;
  std::string Leader;
  std::string First;
  std::string Second;
};

// Guards against a job that runs although its caller was told that there is no
// such job: its submission was on its way when the cancellation was answered.
TEST_F(UnknownJobTest, ASubmissionOnItsWayStartsNothing) {
  const std::string Id = cancelBeforeSubmission();
  Cell.heal(First);
  Cell.run(4s);
  EXPECT_TRUE(Cell.jobs().at(Id).Accepted);
  EXPECT_EQ(Cell.workers().startedRuns(), 0);
  Cell.read(Second, Id);
  Cell.run(300ms);
  EXPECT_EQ(Cell.jobs().at(Id).View, jobs::JobView::Cancelled);
}

// Guards against a cancellation that only the leader of its time remembers.
TEST_F(UnknownJobTest, ALaterSubmissionToAnotherLeaderStartsNothing) {
  const std::string Id = cancelBeforeSubmission();
  Cell.read(Second, Id);
  Cell.run(100ms);
  EXPECT_EQ(Cell.answers().at(cell::ClientStatus::NoSuchJob), 2);
  Cell.kill(Leader);
  Cell.heal(First);
  Cell.run(4s);
  Cell.submitAgain(First, Id);
  Cell.run(2s);
  EXPECT_TRUE(Cell.jobs().at(Id).Accepted);
  EXPECT_EQ(Cell.workers().startedRuns(), 0);
}

// Guards against cancellations of unknown jobs that fill the memory, and
// against an acknowledgement of one that is not remembered.
TEST_F(UnknownJobTest, RefusesCancellationsBeyondTheLimit) {
  constexpr std::size_t Excess = 5;
  cell::CallBatch Batch;
  Batch.Term = Cell.node(Leader).leader()->term();
  Batch.Process = "x";
  for (std::size_t Number = 0;
       Number < jobs::JobScheduler::MaxWithdrawnJobs + Excess; ++Number)
    Batch.Queries.push_back({Number, cell::QueryKind::Cancel,
                             "00000000" + std::to_string(10'000'000 + Number)});
  std::optional<cell::CallBatchReply> Reply;
  Cell.node(Leader).receive(cell::encode(Batch),
                            [&](const std::optional<std::string> &Text) {
                              Reply = cell::decodeCallBatchReply(*Text);
                            });
  Cell.run(10s);
  ASSERT_TRUE(Reply);
  EXPECT_EQ(Reply->Answers.size(), Batch.Queries.size());
  EXPECT_EQ(std::count_if(Reply->Answers.begin(), Reply->Answers.end(),
                          [](const auto &Answer) { return Answer.Refused; }),
            std::ptrdiff_t(Excess));
  const std::string Id = Cell.submit(Second, stepOf(1, 1s));
  Cell.run(500ms);
  ASSERT_TRUE(Cell.jobs().at(Id).Accepted);
  Cell.cancel(Second, Id);
  Cell.run(500ms);
  EXPECT_TRUE(Cell.jobs().at(Id).Cancelled);
}

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
