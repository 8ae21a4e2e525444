// Single invariants of sessions, shards, grants and configuration, with the
// time bounds of the design.
#include "simcell.h"

#include "core/error.h"
#include "core/shardmap.h"
#include "core/timerservice.h"

#include <atomic>
#include <gtest/gtest.h>
#include <thread>
#include <utility>

namespace apricotwing {
namespace {

using simulation::Cell;
using simulation::KeyHash;
using simulation::Process;
using simulation::SimCodec;
using simulation::SimPort;
using simulation::SimStore;

class CellTest : public ::testing::Test {
protected:
  /// Starts instances and lets time pass until they know each other.
  void startAll(const std::vector<std::string> &Names) {
    for (const std::string &Name : Names)
      World.start(Name);
    World.run(Duration(8000));
  }

  Process &at(const std::string &Name) { return *World.find(Name); }

  bool isValid(const std::string &Name) {
    return at(Name).Session.isValid(at(Name).Time.now());
  }

  ErrorKind signError(const std::string &Name, const std::string &Proposal,
                      const std::string &Owner) {
    try {
      at(Name).Ledger.sign(Proposal, Owner);
    } catch (const Error &Failure) {
      return Failure.kind();
    }
    return ErrorKind::Internal;
  }

  std::string propose(const std::string &Name) {
    return at(Name)
        .Ledger
        .propose("koksne", at(Name).Session.config()->Version,
                 {AddKey{"k", {"team", KeyHash}}})
        .Id;
  }

  void TearDown() override { EXPECT_EQ(World.violation(), ""); }

  Cell World;
};

// Guards against loss of authority during an outage of the table service that
// affects all instances, and against keeping it when one of them has crashed.
TEST_F(CellTest, OutageIsBridgedWhileAllMembersPromise) {
  startAll({"a", "b", "c"});
  World.Store.Down = true;
  World.run(Duration(60000));
  for (const char *Name : {"a", "b", "c"})
    EXPECT_TRUE(isValid(Name)) << Name;
  // A session that was replaced by a later one gets no promise.
  const SessionId Peer = at("b").Session.sessionId();
  const auto PromisedFor = [&](Epoch SessionEpoch) {
    Process &Asked = at("a");
    return Asked.Session
        .handlePromiseRequest(Peer.Instance, SessionEpoch, Asked.Time.now())
        .PromisedFor;
  };
  EXPECT_EQ(PromisedFor(Peer.SessionEpoch), World.Settings.Promise);
  EXPECT_EQ(PromisedFor(Peer.SessionEpoch - 1), Duration(0));
  World.crash("c");
  World.run(Duration(6500));
  EXPECT_FALSE(isValid("a"));
  EXPECT_FALSE(isValid("b"));
  World.Store.Down = false;
  World.run(Duration(2500));
  EXPECT_TRUE(isValid("a"));
}

// Guards against leases that are extended beyond MaxExtension.
TEST_F(CellTest, OutageExtensionEndsAfterMaxExtension) {
  startAll({"a", "b"});
  World.Store.Down = true;
  World.run(Duration(580000));
  EXPECT_TRUE(isValid("a"));
  World.run(Duration(30000));
  EXPECT_FALSE(isValid("a"));
}

// Guards against gaps in the authority while the table service is slow.
TEST_F(CellTest, SlowRoundLastsUntilTheEndOfTheNext) {
  startAll({"a"});
  at("a").Busy = true; // Prevents rounds other than those below.
  World.SlowMs = 800;  // A round makes three calls of 1.6 s.
  for (int Round = 0; Round < 10; ++Round) {
    EXPECT_EQ(at("a").Session.renew().Outcome, RoundOutcome::Renewed);
    const TimePoint End = at("a").Session.validUntil();
    EXPECT_GE(End - at("a").Time.now(), Duration(4800));
  }
}

// Guards against a partitioned instance that keeps its authority, and against
// shards and slots that stay assigned to it.
TEST_F(CellTest, PartitionedInstanceIsReplacedWithinTheBounds) {
  startAll({"a", "b", "c"});
  World.Store.DownFor.insert("a");
  World.run(Duration(8200));
  EXPECT_FALSE(isValid("a"));
  World.run(Duration(7000)); // The fencing delay, one round and the next ticks.
  std::size_t Owned = 0;
  for (const char *Name : {"b", "c"})
    Owned += at(Name).Shards.ownedShards().size();
  EXPECT_EQ(Owned, Cell::ShardNames.size());
  const std::string Holder = toString(at("a").GrantSession);
  World.run(Duration(13000)); // The longest request deadline and one round.
  EXPECT_FALSE(at("b").Grants.read(Cell::Pool)->Grants.contains(Holder));

  World.Store.DownFor.clear();
  World.run(Duration(3000));
  EXPECT_TRUE(isValid("a"));
  EXPECT_NE(toString(at("a").Session.sessionId()), Holder);
}

// Guards against a new instance that fences a session, or signs a
// configuration, without the consent of a running instance that does not know
// it yet.
TEST_F(CellTest, NewInstanceWaitsForSessionsThatDoNotKnowIt) {
  World.Settings.MaxExtension = Duration(60000);
  startAll({"a"});
  World.Store.DownFor.insert("a");
  World.start("b");
  World.run(Duration(20000));
  EXPECT_TRUE(isValid("a"));
  EXPECT_EQ(signError("b", propose("b"), "bureau"), ErrorKind::NoAuthority);
  EXPECT_EQ(at("b").Shards.ownedShards().size(), 0U);
  World.run(Duration(60000));
  EXPECT_FALSE(isValid("a"));
  EXPECT_EQ(at("b").Shards.ownedShards().size(), 2U);
}

// Guards against a graceful shutdown that leaves shards or slots assigned to
// the instance.
TEST_F(CellTest, GracefulShutdownReleasesEverythingAtOnce) {
  startAll({"a", "b"});
  at("a").Leaving = true;
  World.run(Duration(13000)); // The longest request deadline and a few steps.
  EXPECT_EQ(World.find("a"), nullptr);
  EXPECT_FALSE(World.Store.Rows.contains(keys::session("a")));
  EXPECT_EQ(at("b").Shards.ownedShards().size(), 2U);
  EXPECT_EQ(at("b").Grants.read(Cell::Pool)->Grants.size(), 1U);
}

// Guards against a change with only one signature and against two changes based
// on one version. The error of the second one must contain the current version.
TEST_F(CellTest, SigningNeedsTheOtherOwnerAndOneProposalWins) {
  startAll({"a", "b"});
  const std::string First = propose("a");
  const std::string Second = propose("b");
  EXPECT_EQ(signError("a", First, "koksne"), ErrorKind::SameOwner);
  EXPECT_EQ(at("b").Ledger.sign(First, "bureau"), 2U);
  EXPECT_EQ(at("a").Ledger.sign(First, "bureau"), 2U); // A repeated call.
  try {
    at("a").Ledger.sign(Second, "bureau");
    ADD_FAILURE() << "both proposals won";
  } catch (const ConfigConflictError &Conflict) {
    EXPECT_EQ(Conflict.currentVersion(), 2U);
    EXPECT_NE(std::string(Conflict.what()).find("version 2"),
              std::string::npos);
  }
  at("a").Ledger.reject(Second, "koksne");
  EXPECT_TRUE(at("a").Ledger.proposals().empty());
  const std::vector<HistoryRecord> History = at("a").Ledger.history(1);
  ASSERT_EQ(History.size(), 1U);
  EXPECT_EQ(History[0].SignedBy, "bureau");
  World.run(Duration(2500));
  EXPECT_TRUE(at("a").Session.config()->teamOfKeyHash(KeyHash));
}

// Guards against a list of proposals that grows without bound.
TEST_F(CellTest, OldProposalsArePruned) {
  startAll({"a"});
  ConfigLedger &Ledger = at("a").Ledger;
  const std::uint64_t Last = ConfigLedger::RetainedVersions + 10;
  for (std::uint64_t Base = 1; Base < Last; ++Base)
    Ledger.sign(
        Ledger.propose("koksne", Base, {SetTeam{"t", {unsigned(Base), {}}}}).Id,
        "bureau");
  EXPECT_EQ(Ledger.pruneProposals(), 9U);
  EXPECT_EQ(Ledger.pruneProposals(), 0U);
  EXPECT_EQ(Ledger.history(0, 1000).size(), Last);
}

// Guards against a configuration that is committed while a peer relies on the
// promise that none will be.
TEST_F(CellTest, SigningIsRefusedWhileAPromiseIsOutstanding) {
  startAll({"a", "b"});
  const std::string Proposal = propose("a");
  World.Store.Down = true;
  World.run(Duration(12000));
  World.Store.Down = false;
  EXPECT_EQ(signError("a", Proposal, "bureau"), ErrorKind::NoAuthority);
  World.run(Duration(6500));
  EXPECT_EQ(at("a").Ledger.sign(Proposal, "bureau"), 2U);
}

// Guards against a signature that takes effect during an outage while the
// instances keep their authority with the old configuration. The oracle limits
// the age of the configuration that they use.
TEST_F(CellTest, SignatureInDoubtStopsAllExtensions) {
  startAll({"a", "b"});
  const std::string Proposal = propose("a");
  World.Store.DelayWrites = 3;
  EXPECT_EQ(signError("a", Proposal, "bureau"), ErrorKind::StoreUnknownOutcome);
  World.Store.DelayWrites = 0;
  World.Store.Down = true;
  World.Store.applyDelayedWrites();
  World.run(Duration(20000));
  EXPECT_FALSE(isValid("a"));
  EXPECT_FALSE(isValid("b"));
}

// Guards against a round that marks a signature as resolved although it was
// sent after the round had written the session row.
TEST_F(CellTest, SignatureDuringARoundStaysInDoubt) {
  startAll({"a", "b"});
  const std::string Proposal = propose("a");
  const auto Check = World.Store.OnCommit;
  bool Armed = true;
  World.Store.OnCommit = [&](const Transaction &Change) {
    Check(Change);
    if (!std::exchange(Armed, false))
      return;
    World.Store.DelayWrites = 3;
    EXPECT_EQ(signError("a", Proposal, "bureau"),
              ErrorKind::StoreUnknownOutcome);
    World.Store.DelayWrites = 0;
  };
  EXPECT_EQ(at("a").Session.renew().Outcome, RoundOutcome::Renewed);
  World.Store.Down = true;
  World.Store.applyDelayedWrites();
  World.run(Duration(20000));
  EXPECT_FALSE(isValid("b"));
}

// Guards against treating a session as ended because it started after the last
// scan. Its slots would be reclaimed while its requests still run.
TEST_F(CellTest, SessionNewerThanTheLastScanIsNotReclaimed) {
  startAll({"a"});
  const SessionId Next{"b", at("a").Session.sessionId().SessionEpoch + 1};
  const auto MayReclaim = [&] {
    return at("a").Members.mayReclaim(Next, at("a").Time.now());
  };
  EXPECT_FALSE(MayReclaim());
  EXPECT_FALSE(MayReclaim());
  startAll({"b"});
  ASSERT_EQ(at("b").Session.sessionId(), Next);
  World.run(Duration(10000));
  EXPECT_FALSE(MayReclaim());
  World.crash("b");
  World.run(Duration(13000)); // The fencing delay and one round.
  EXPECT_FALSE(MayReclaim());
  World.run(Duration(10200)); // The longest request deadline.
  EXPECT_TRUE(MayReclaim());
}

// Guards against a delayed signature of a crashed process that takes effect
// after its successor has promised that no configuration will be committed.
TEST_F(CellTest, SignatureOfACrashedProcessHasNoEffect) {
  startAll({"a", "b"});
  const std::string Proposal = propose("a");
  World.Store.DelayWrites = 3;
  EXPECT_EQ(signError("a", Proposal, "bureau"), ErrorKind::StoreUnknownOutcome);
  World.Store.DelayWrites = 0;
  World.crash("a");
  startAll({"a"});
  World.Store.Down = true;
  World.run(Duration(4000));
  World.Store.applyDelayedWrites();
  World.run(Duration(20000));
  EXPECT_TRUE(isValid("b"));
  EXPECT_EQ(
      World.Codec.decodeConfig(World.Store.Rows.at(keys::ConfigCurrent).Value)
          .Version,
      1U);
}

// Guards against a tick that is repeated or dropped because the response to its
// commit was lost, and against a journal that grows without bound.
TEST_F(CellTest, TickOfUnknownOutcomeStaysPendingUntilResolved) {
  startAll({"a"});
  Process &Owner = at("a");
  ASSERT_TRUE(Owner.Shards.isOwner("s0", Owner.Time.now()));
  TickCommit Tick;
  Tick.Events = {RunRetired{"late"}};
  World.Store.LoseResponses = 3;
  EXPECT_THROW(Owner.Shards.commitTick("s0", Tick), Error);
  World.Store.LoseResponses = 0;
  EXPECT_TRUE(Owner.Shards.isPending("s0"));
  EXPECT_THROW(Owner.Shards.commitTick("s0", Tick), Error);
  const std::uint64_t Before = Owner.Shards.owned("s0")->NextSequence;
  EXPECT_EQ(Owner.Shards.resolvePendingTick("s0"), TickResult::Committed);
  EXPECT_EQ(Owner.Shards.owned("s0")->NextSequence, Before + 1);

  // A release with unknown outcome is resolved before the next acquisition.
  const Epoch Released = Owner.Shards.owned("s0")->ShardEpoch;
  World.Store.LoseResponses = 3;
  EXPECT_THROW(Owner.Shards.release("s0"), Error);
  World.Store.LoseResponses = 0;
  EXPECT_FALSE(Owner.Shards.isOwner("s0", Owner.Time.now()));
  EXPECT_EQ(Owner.Shards.tryAcquire("s0", Owner.Time.now()),
            AcquireResult::Acquired);
  EXPECT_EQ(Owner.Shards.owned("s0")->ShardEpoch, Released + 1);

  World.run(Duration(60000));
  std::size_t JournalRows = 0;
  for (const auto &[Key, Row] : World.Store.Rows)
    JournalRows += Key.starts_with(keys::journalPrefix("s0")) ? 1 : 0;
  EXPECT_LE(JournalRows, 10U);
  EXPECT_EQ(World.Objects.Objects.size(), 2U); // One snapshot for each shard.
}

// Guards against extending a lease after it has expired, when the session may
// have been fenced already.
TEST(AuthorityLeaseTest, CannotBeExtendedOnceItHasEnded) {
  const AuthoritySettings Settings;
  AuthorityLease Lease(Settings);
  const TimePoint Start(Duration(1000));
  Lease.renew(Start);
  const TimePoint End = Start + Settings.Valid;
  EXPECT_EQ(Lease.validUntil(), End);
  EXPECT_FALSE(Lease.extend(End - Duration(1), End));
  EXPECT_EQ(Lease.validUntil(), End);
  EXPECT_TRUE(Lease.extend(End - Duration(2), End - Duration(1)));
  // The peer's promise may be shorter on this clock because of clock drift.
  EXPECT_EQ(Lease.validUntil(), End - Duration(2) + Duration(5940));
}

// Guards against a promise and a transaction that are both accepted when they
// start concurrently on two threads.
TEST(PromiseTrackerTest, RacingPromiseAndTransactionExcludeEachOther) {
  for (int Round = 0; Round < 2000; ++Round) {
    PromiseTracker Book;
    std::atomic<int> Ready{0};
    const auto Meet = [&] {
      ++Ready;
      while (Ready.load() < 2)
        ;
    };
    bool Promised = false;
    std::thread Peer([&] {
      Meet();
      Promised = Book.promise(TimePoint(Duration(1)), Duration(10));
    });
    Meet();
    const bool Begun = Book.beginTransaction(TimePoint(Duration(1)));
    Peer.join();
    ASSERT_FALSE(Promised && Begun);
  }
}

class GrantTest : public ::testing::Test {
protected:
  SimStore Store;
  SimCodec Codec;
  SimPort Table{Store, "x", [] {}};
  TransactionIds Ids{"x#1"};
  GrantLedger Ledger{Table, Codec, Ids};
  const std::string Pool = keys::executorPool("fit");
};

// Guards against one transaction per executor in each round.
TEST_F(GrantTest, RoundOverManyUnitsCostsOneReadAndOneWrite) {
  UnitAmounts Capacity;
  UnitAmounts Targets;
  for (int Executor = 0; Executor < 50; ++Executor) {
    Capacity["e" + std::to_string(Executor)] = 8;
    Targets["e" + std::to_string(Executor)] = Executor % 12;
  }
  Ledger.ensureCapacity(Pool, Capacity);
  Store.Reads = Store.Writes = 0;
  const PoolShare Share = Ledger.adjust(Pool, "a@1", Targets);
  EXPECT_EQ(Store.Reads, 1);
  EXPECT_EQ(Store.Writes, 1);
  EXPECT_EQ(Share.Granted.at("e11"), 8);
  EXPECT_EQ(Share.Granted.at("e5"), 5);
  EXPECT_EQ(Share.Free.at("e5"), 3);
  Ledger.adjust(Pool, "a@1", Targets);
  EXPECT_EQ(Store.Writes, 1);
}

// Guards against a delayed reduction that takes effect after the holder has
// read the old grant again and uses it.
TEST_F(GrantTest, DelayedReductionCannotUndercutARestoredGrant) {
  Ledger.ensureCapacity(Pool, {{"e", 8}});
  Ledger.adjust(Pool, "a@1", {{"e", 8}});
  Store.DelayWrites = 8;
  EXPECT_THROW(Ledger.adjust(Pool, "a@1", {{"e", 2}}), Error);
  Store.DelayWrites = 0;
  EXPECT_EQ(Ledger.adjust(Pool, "a@1", {{"e", 8}}).Granted.at("e"), 8);
  Store.applyDelayedWrites();
  EXPECT_EQ(Ledger.read(Pool)->Grants.at("a@1").at("e"), 8);
}

// Guards against a former owner of a shard that changes the grants of the
// shard.
TEST_F(GrantTest, GuardOfAFormerOwnerIsRefused) {
  Ledger.ensureCapacity(Pool, {{"cpu", 100}});
  EXPECT_EQ(Ledger.acquire(Pool, "s0", "cpu", 60), 60);
  EXPECT_EQ(Ledger.acquire(Pool, "s1", "cpu", 60), 40);
  const RowCondition Stale = {keys::shard("s0"), 77};
  try {
    Ledger.adjust(Pool, "s0", {{"cpu", 0}}, {Stale});
    ADD_FAILURE() << "the guard was ignored";
  } catch (const Error &Failure) {
    EXPECT_EQ(Failure.kind(), ErrorKind::StaleEpoch);
  }
}

// Guards against idle slots that are never released, and against holders that
// keep more than a reduced capacity.
TEST_F(GrantTest, HolderReleasesIdleAndExcessAmounts) {
  GrantHolder Holder(2);
  TimePoint Now{Duration(1000)};
  const auto Round = [&] {
    const UnitAmounts Targets =
        Holder.needsRound(Now) ? Holder.beginRound(Now) : UnitAmounts();
    Holder.endRound(Ledger.adjust(Pool, "a@1", Targets));
  };
  Ledger.ensureCapacity(Pool, {{"e", 8}});
  Holder.noteDemand("e", 5);
  Round();
  EXPECT_EQ(Holder.usable("e"), 6);
  const std::optional<AcquiredAmount> Acquired = Holder.tryAcquire("e", 3);
  ASSERT_TRUE(Acquired);
  Now += Duration(5000);
  Round(); // The first window of 5 s saw a use of 3.
  EXPECT_EQ(Holder.usable("e"), 4);

  Ledger.ensureCapacity(Pool, {{"e", 2}});
  Round();
  Round();
  EXPECT_EQ(Holder.usable("e"), 2); // 3 are still in use.
  EXPECT_EQ(Ledger.read(Pool)->Grants.at("a@1").at("e"), 3);
  Holder.release(*Acquired);
  Round();
  EXPECT_EQ(Ledger.read(Pool)->Grants.at("a@1").at("e"), 2);
  Now += Duration(10000);
  Round();
  Now += Duration(10000);
  Round();
  EXPECT_TRUE(Ledger.read(Pool)->Grants.empty());
}

// Guards against an instance that never gets a slot while the other instances
// use all of them.
TEST_F(GrantTest, BusyHolderYieldsToAWaitingHolder) {
  GrantHolder Busy;
  GrantHolder Waiting;
  const TimePoint Now{Duration(1000)};
  const auto Round = [&](GrantHolder &Holder, const std::string &Name) {
    Holder.endRound(Ledger.adjust(Pool, Name, Holder.beginRound(Now)));
  };
  Ledger.ensureCapacity(Pool, {{"e", 8}});
  Busy.noteDemand("e", 8);
  Round(Busy, "a@1");
  std::optional<AcquiredAmount> Acquired = Busy.tryAcquire("e", 4);
  const std::optional<AcquiredAmount> Other = Busy.tryAcquire("e", 4);
  ASSERT_TRUE(Acquired && Other);
  Waiting.noteDemand("e", 8);
  Round(Waiting, "b@2");
  EXPECT_EQ(Waiting.usable("e"), 0);

  Round(Busy, "a@1");
  Busy.release(*Acquired);
  EXPECT_FALSE(
      Busy.tryAcquire("e", 1)); // The released amount is left to the other.
  Round(Busy, "a@1");
  Waiting.noteDemand("e", 8);
  Round(Waiting, "b@2");
  EXPECT_EQ(Waiting.usable("e"), 4);
  EXPECT_EQ(Busy.usable("e"), 4);

  Ledger.ensureCapacity(Pool, {{"e", 4}});
  Ledger.releaseAll(Pool, "b@2");
  GrantHolder Resigned;
  Resigned.noteDemand("e", 1);
  Round(Resigned, "c@3");
  ASSERT_TRUE(Ledger.read(Pool)->Grants.contains("c@3"));
  Round(Resigned, "c@3"); // The holder no longer waits.
  EXPECT_FALSE(Ledger.read(Pool)->Grants.contains("c@3"));
}

// Guards against racks that are split among shards, and shards without workers
// of some zone.
TEST(ShardMapTest, AssignsWholeRacksRoundRobinPerZone) {
  std::vector<ListedWorker> Workers;
  for (int Index = 0; Index < 48; ++Index) {
    ListedWorker Worker;
    Worker.Id = "w" + std::to_string(Index);
    Worker.Zone = "z" + std::to_string(Index % 3);
    Worker.Rack = "r" + std::to_string(Index / 3 / 4);
    Workers.push_back(Worker);
  }
  const auto Shards = assignWorkers(Workers, 2);
  for (int Index = 0; Index < 48; ++Index)
    EXPECT_EQ(Shards.at("w" + std::to_string(Index)),
              Index / 3 / 4 % 2 == 0 ? "s0" : "s1");
  // Removing another instance does not move a shard.
  const InstanceId Best = rendezvousOwner("s1", {"a", "b", "c"});
  const InstanceId Other = Best == "a" ? "b" : "a";
  EXPECT_EQ(rendezvousOwner("s1", {Best, Other}), Best);
}

// Guards against timers that fire twice after a pause or after cancellation.
TEST(TimerServiceTest, SkipsMissedPeriodsAndCancelledTimers) {
  TimerService Timers;
  std::vector<std::string> Fired;
  const auto At = [](int Ms) { return TimePoint(Duration(Ms)); };
  Timers.every(Duration(100), At(100),
               [&](TimePoint) { Fired.emplace_back("period"); });
  const TimerId Victim =
      Timers.at(At(350), [&](TimePoint) { Fired.emplace_back("victim"); });
  Timers.at(At(320), [&](TimePoint) {
    Fired.emplace_back("once");
    Timers.cancel(Victim);
  });
  EXPECT_EQ(Timers.advance(At(99)), 0U);
  EXPECT_EQ(Timers.advance(At(355)), 2U);
  EXPECT_EQ(Fired, (std::vector<std::string>{"period", "once"}));
  EXPECT_EQ(Timers.nextDeadline(), At(400));
}

} // namespace
} // namespace apricotwing
