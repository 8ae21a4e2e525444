#include "daemon/daemonfixture.h"
#include "daemon/shardrunner.h"

namespace apricotwing {
namespace {

class ShardRunnerTest : public DaemonFixture {
protected:
  void store(const std::vector<RowWrite> &Writes) {
    Transaction Change;
    Change.Id = Ids.next();
    Change.Writes = Writes;
    Table.transact(Change);
  }

  /// Lets the time pass, with a valid session, until \p Condition holds.
  bool runUntil(const std::function<bool()> &Condition) {
    return waitUntil([&] {
      Time.advance(Duration(100));
      Session.renew();
      return Condition();
    });
  }

  RunRecord storedRun(RunState State) {
    RunRecord Run;
    Run.Id = "run";
    Run.Team = "team";
    Run.Shard = "s0";
    Run.Spec.PerTask = {100, 100, 0};
    Run.Spec.IdempotencyKey = "idempotency-key";
    Run.State = State;
    store({{keys::run("team", "run"), Codec.encode(Run)},
           {keys::cancel("s0", "run"), "team"}});
    return Run;
  }

  bool isCancelStored() {
    return Table.read(keys::cancel("s0", "run")).has_value();
  }

  InstanceListService Instances{Context, [](const InstanceSnapshot &) {}};
};

// Guards against a run that starts although its cancellation was acknowledged,
// because the run is in a part of the inbox that is read much later.
TEST_F(ShardRunnerTest, CancelsARunBehindAFullPageOfTheInbox) {
  storedRun(RunState::Accepted);
  std::vector<RowWrite> Inbox = {{keys::inbox("s0", "run"), "team"}};
  for (int Number = 10'000; Number < 11'000; ++Number)
    Inbox.push_back({keys::inbox("s0", std::to_string(Number)), "absent"});
  store(Inbox);
  ShardRunner Shards(Context, Instances);
  EXPECT_TRUE(runUntil([&] { return !isCancelStored(); }));
  const RunRecord Run =
      Codec.decodeRun(Table.read(keys::run("team", "run"))->Value);
  EXPECT_EQ(Run.State, RunState::Cancelled);
  EXPECT_FALSE(Table.read(keys::inbox("s0", "run")).has_value());
}

// Guards against cancellations of ended runs that stay in the store.
TEST_F(ShardRunnerTest, DropsTheCancellationOfAnEndedRun) {
  storedRun(RunState::Succeeded);
  ShardRunner Shards(Context, Instances);
  EXPECT_TRUE(runUntil([&] { return !isCancelStored(); }));
  EXPECT_EQ(Codec.decodeRun(Table.read(keys::run("team", "run"))->Value).State,
            RunState::Succeeded);
}

} // namespace
} // namespace apricotwing
