/// \file
/// Decisions on runs whose worker leaves.
#include "jobs/departurepolicy.h"

#include <gtest/gtest.h>

namespace apricotwing::jobs {
namespace {

constexpr Duration TimeLeft{3000};

/// A run that needs 4 s and leaves 3 s after its start, with room elsewhere.
DepartingRun lateRun(bool Checkpointing) {
  DepartingRun Run;
  Run.TimeLeft = TimeLeft;
  Run.ExpectedTime = Duration{4000};
  Run.Checkpointing = Checkpointing;
  Run.HasRoomElsewhere = true;
  return Run;
}

bool stops(const DepartingRun &Run) {
  return DeparturePolicy::decide(Run) == DepartureAction::Stop;
}

TEST(DeparturePolicyTest, KeepsARunThatEndsInTime) {
  for (const bool Checkpointing : {false, true}) {
    DepartingRun Run = lateRun(Checkpointing);
    Run.Elapsed = Duration{2000};
    EXPECT_FALSE(stops(Run)) << Checkpointing;
  }
}

// Guards against work that goes on although it is going to be lost.
TEST(DeparturePolicyTest, StopsARunThatCannotEndInTime) {
  EXPECT_TRUE(stops(lateRun(false)));
  EXPECT_TRUE(stops(lateRun(true)));
}

// Guards against checkpointing work that waits while it could make progress.
TEST(DeparturePolicyTest, KeepsCheckpointingWorkUntilThereIsRoom) {
  DepartingRun Run = lateRun(true);
  Run.HasRoomElsewhere = false;
  EXPECT_FALSE(stops(Run));
  Run.TimeLeft = DeparturePolicy::StopLead;
  EXPECT_TRUE(stops(Run));
}

// Guards against work that is discarded although nothing can save it: it gains
// nothing by waiting for room.
TEST(DeparturePolicyTest, StopsWorkWithoutCheckpointsWithoutRoom) {
  DepartingRun Run = lateRun(false);
  Run.HasRoomElsewhere = false;
  EXPECT_TRUE(stops(Run));
}

// Guards against a straggler that is expected to end at any moment.
TEST(DeparturePolicyTest, ExpectsThatAnOverdueRunGoesOn) {
  DepartingRun Run = lateRun(true);
  Run.Elapsed = Duration{12'000};
  EXPECT_EQ(DeparturePolicy::expectedRemaining(Run), Duration{3000});
  EXPECT_TRUE(stops(Run));
}

// Guards against a run that resumed from a checkpoint and is taken for one that
// has everything before it.
TEST(DeparturePolicyTest, UsesTheReportedProgress) {
  DepartingRun Run = lateRun(false);
  Run.Percent = 50;
  Run.PercentAge = Duration{500};
  EXPECT_EQ(DeparturePolicy::expectedRemaining(Run), Duration{1500});
  EXPECT_FALSE(stops(Run));
}

// Guards against a new leader that discards work because it does not know for
// how long a run has lasted.
TEST(DeparturePolicyTest, KeepsWorkWithoutCheckpointsOfUnknownAge) {
  DepartingRun Run = lateRun(false);
  Run.IsStartKnown = false;
  EXPECT_FALSE(stops(Run));
  Run.Percent = 10;
  EXPECT_TRUE(stops(Run));
}

// Guards against the stop of more tasks than the step may miss.
TEST(DeparturePolicyTest, StopsTasksThatLastWithinTheTolerance) {
  DepartingRun Run = lateRun(false);
  Run.LongRunning = true;
  EXPECT_TRUE(stops(Run));
  Run.IsWithinTolerance = false;
  EXPECT_FALSE(stops(Run));
  Run.TimeLeft = DeparturePolicy::StopLead;
  EXPECT_TRUE(stops(Run));
}

} // namespace
} // namespace apricotwing::jobs
