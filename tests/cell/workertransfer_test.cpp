#include "cell/workertransfer.h"

#include "cell/codec.h"

#include <gtest/gtest.h>

namespace apricotwing::cell {
namespace {

using namespace std::chrono_literals;

const ShardLoad IdleLoad{250, 0.9, 0ms, 0ms};
const ShardLoad BusyLoad{250, 0.3, 2000ms, 3000ms};

TEST(WorkerOwnershipTest, FollowsTheLatestTransfer) {
  const ShardLayout Layout({0.5, 0.5}, {});
  WorkerOwnership Ownership(Layout);
  const int Home = Layout.shardOfWorker("w");
  EXPECT_EQ(Ownership.ownerOf("w"), Home);
  // Rows of different partitions are read in any order.
  EXPECT_TRUE(Ownership.record("w", {1 - Home, Home, 2, 2000}));
  EXPECT_FALSE(Ownership.record("w", {Home, 1 - Home, 1, 1000}));
  EXPECT_EQ(Ownership.ownerOf("w"), Home);
  EXPECT_TRUE(Ownership.record("w", {Home, 1 - Home, 3, 3000}));
  EXPECT_EQ(Ownership.ownerOf("w"), 1 - Home);
  EXPECT_EQ(decodeTransfer(encode(Ownership.lastTransfer("w"))),
            Ownership.lastTransfer("w"));
}

// Guards against work that waits in one shard while the workers of another one
// are idle.
TEST(PlanTransferTest, GivesIdleWorkersToTheNeediestShard) {
  ShardLoad Needier = BusyLoad;
  Needier.Wait = 5000ms;
  const auto Planned =
      planTransfer(IdleLoad, {{1, BusyLoad}, {2, Needier}, {3, IdleLoad}}, 200);
  ASSERT_TRUE(Planned);
  EXPECT_EQ(Planned->To, 2);
  EXPECT_EQ(Planned->Workers, 25U);
}

// Guards against a single large gang that waits for room although little work
// waits in all.
TEST(PlanTransferTest, HelpsAShardInWhichOneStepWaits) {
  const ShardLoad Stuck{250, 0.5, 100ms, 1500ms};
  EXPECT_TRUE(planTransfer(IdleLoad, {{1, Stuck}}, 200));
}

// Guards against a shard that gives its last worker away and gets none back.
TEST(PlanTransferTest, KeepsAWorker) {
  ShardLoad Last = IdleLoad;
  Last.Workers = 1;
  EXPECT_FALSE(planTransfer(Last, {{1, BusyLoad}}, 1));
  Last.Workers = 2;
  const auto Planned = planTransfer(Last, {{1, BusyLoad}}, 2);
  ASSERT_TRUE(Planned);
  EXPECT_EQ(Planned->Workers, 1U);
}

// Guards against workers that go back and forth between shards with the usual
// load.
TEST(PlanTransferTest, GivesNothingUnderTheUsualLoad) {
  const ShardLoad Usual{250, 0.6, 80ms, 700ms};
  EXPECT_FALSE(planTransfer(Usual, {{1, Usual}}, 100));
  EXPECT_FALSE(planTransfer(IdleLoad, {{1, Usual}}, 100));
  const ShardLoad LateSteps{250, 0.6, 900ms, 700ms};
  EXPECT_FALSE(planTransfer(IdleLoad, {{1, LateSteps}}, 100));
  EXPECT_FALSE(planTransfer(IdleLoad, {}, 100));
}

// Guards against a shard that keeps idle workers because some of its jobs have
// later steps.
TEST(PlanTransferTest, LaterStepsDoNotKeepIdleWorkers) {
  const ShardLoad LaterSteps{250, 0.8, 700ms, 0ms};
  EXPECT_TRUE(planTransfer(LaterSteps, {{1, BusyLoad}}, 100));
}

// Guards against a shard that gives away what its own work needs.
TEST(PlanTransferTest, ABusyShardKeepsItsWorkers) {
  EXPECT_FALSE(planTransfer(BusyLoad, {{1, BusyLoad}}, 100));
  const ShardLoad Full{250, 0.25, 0ms, 0ms};
  EXPECT_FALSE(planTransfer(Full, {{1, BusyLoad}}, 100));
  const ShardLoad Nearly{250, 0.32, 0ms, 0ms};
  const auto Planned = planTransfer(Nearly, {{1, BusyLoad}}, 100);
  ASSERT_TRUE(Planned);
  const double Given = double(Planned->Workers);
  EXPECT_GE((250 * Nearly.FreeShare - Given) / (250 - Given), 0.3);
  EXPECT_FALSE(planTransfer(IdleLoad, {{1, BusyLoad}}, 0));
}

} // namespace
} // namespace apricotwing::cell
