#include "core/error.h"
#include "core/simcell.h"
#include "core/taskgrants.h"

#include <gtest/gtest.h>

namespace apricotwing::simulation {
namespace {

ShardSnapshot oneRunningTask(const ShardId &Shard) {
  RunSnapshot Entry;
  Entry.Run.Id = "r";
  Entry.Run.Team = "t";
  Entry.Run.Shard = Shard;
  Entry.Run.Spec.PerTask = {1000, 64, 0};
  Entry.Run.Spec.IdempotencyKey = "k";
  Entry.Run.State = RunState::Running;
  Entry.Run.Running = 1;
  TaskSnapshot Task;
  Task.State = TaskState::Starting;
  Task.Attempt = 1;
  Task.Worker = "w";
  Task.Reserved = Entry.Run.Spec.PerTask;
  Entry.Tasks = {Task};
  return {1, {Entry}};
}

// Guards against a new owner that stops the running tasks of a team because
// the store failed before the team's grant was read.
TEST(TaskGrantsTest, UnknownGrantsStopNothing) {
  Cell World;
  Process *Owner = World.start("a");
  for (int Round = 0; Round < 100 && Owner->Shards.ownedShards().empty();
       ++Round)
    World.run(Duration(500));
  ASSERT_FALSE(Owner->Shards.ownedShards().empty());
  const ShardId Shard = Owner->Shards.ownedShards().front();
  Config Document;
  Document.Version = 1;
  Document.Teams["t"].Limit.Tasks = {8000, 8000, 0};
  Document.Teams["u"].Limit.Tasks = {8000, 8000, 0};
  TimePoint Now = Owner->Time.now();
  ShardScheduler Scheduler(Shard);
  Scheduler.restore(oneRunningTask(Shard), Now);
  Scheduler.setWorkers({{"w", "z", "r", {32000, 64000, 0}, {}, false, false}});
  Scheduler.setTeams(Document);
  TaskGrants Grants(Owner->Table, World.Codec, Owner->Ids, Owner->Shards,
                    Scheduler, true);
  // The capacity of the first pool is written, but its grant is not.
  World.Store.OnCommit = [&](const Transaction &) { World.Store.Down = true; };
  EXPECT_THROW(Grants.advance(Document, Now), Error);
  World.Store.OnCommit = [](const Transaction &) {};
  World.Store.Down = false;
  for (int Round = 0; Round < 30; ++Round) {
    Now += Duration(100);
    Grants.advance(Document, Now);
    const Decisions Decided = Scheduler.tick(Now);
    EXPECT_TRUE(Decided.Stops.empty()) << Round;
    for (const JournalEvent &Event : Decided.Events)
      EXPECT_FALSE(std::holds_alternative<TaskStopping>(Event)) << Round;
  }
  EXPECT_EQ(Grants.held().at("t"), (Resources{8000, 8000, 0}));
  EXPECT_EQ(Grants.held().at("u"), (Resources{8000, 8000, 0}));
}

// Guards against a team above its limit, because a former owner of the shard
// goes on after a pause and restores the limit that was lowered meanwhile.
TEST(TaskGrantsTest, FormerOwnerDoesNotRestoreAnOldLimit) {
  Cell World;
  Process *Former = World.start("a");
  for (int Round = 0; Round < 100 && Former->Shards.ownedShards().empty();
       ++Round)
    World.run(Duration(500));
  ASSERT_FALSE(Former->Shards.ownedShards().empty());
  const ShardId Shard = Former->Shards.ownedShards().front();
  World.Paused.insert("a");
  Process *Owner = World.start("b");
  const auto IsOwner = [&] {
    return Owner->Shards.isOwner(Shard, Owner->Time.now());
  };
  // Fencing waits for the longest extension of the paused session.
  World.run(lengthenByClockDrift(World.Settings.MaxExtension));
  for (int Round = 0; Round < 200 && !IsOwner(); ++Round)
    World.run(Duration(500));
  ASSERT_TRUE(IsOwner());

  const auto Advance = [&](Process &At, std::int64_t CpuMillis) {
    Config Document;
    Document.Teams["t"].Limit.Tasks = {CpuMillis, 8000, 0};
    ShardScheduler Scheduler(Shard);
    TaskGrants(At.Table, World.Codec, At.Ids, At.Shards, Scheduler, true)
        .advance(Document, At.Time.now());
  };
  Advance(*Owner, 2000);
  EXPECT_THROW(Advance(*Former, 8000), Error);
  const Row Pool = World.Store.Rows.at(keys::taskPool("t"));
  EXPECT_EQ(World.Codec.decodePool(Pool.Value).Capacity.at("cpu_millis"), 2000);
}

} // namespace
} // namespace apricotwing::simulation
