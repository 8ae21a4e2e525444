/// \file
/// Several instances on one simulated table service in virtual time, and an
/// oracle that checks the invariants of the design.
#ifndef APRICOTWING_TESTS_SIMCELL_H
#define APRICOTWING_TESTS_SIMCELL_H

#include "simcodec.h"
#include "simtable.h"

#include "core/configledger.h"
#include "core/grantholder.h"
#include "core/membership.h"
#include "core/sessionmanager.h"
#include "core/shardownership.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace apricotwing::simulation {

class Cell;

/// A clock that drifts at a constant rate.
class SimClock : public Clock {
public:
  SimClock(const Cell &World, double Rate, std::int64_t OffsetMs)
      : World(World), Rate(Rate), OffsetMs(OffsetMs) {}
  TimePoint now() const override;

  const Cell &World;
  const double Rate;
  const std::int64_t OffsetMs;
};

class SimPeers : public PeerClient {
public:
  SimPeers(Cell &World, std::string Caller)
      : World(World), Caller(std::move(Caller)) {}
  std::optional<PeerPromise> requestPromise(const std::string &Address,
                                            const InstanceId &From,
                                            Epoch SessionEpoch) override;
  void notify(const std::string &, const ShardId &) override {}

private:
  Cell &World;
  const std::string Caller;
};

/// A request in flight, which occupies a slot until its deadline.
struct InFlightRequest {
  std::string Unit;
  SessionId Session;
  std::int64_t EndsMs = 0; ///< On the clock of the simulation.
  std::optional<AcquiredAmount> Acquired;
};

/// One process of an instance.
class Process {
public:
  Process(Cell &World, const std::string &Name, int Start, double Rate);

  /// Runs the actions that are due. Called for processes that are not paused.
  void step();

  bool tickShard(const ShardId &Shard);

  Cell &World;
  const std::string Name;
  SimClock Time;
  SimPort Table;
  SimPeers Peers;
  TransactionIds Ids;
  SessionManager Session;
  Membership Members;
  ShardOwnership Shards;
  GrantLedger Grants;
  GrantHolder Holder;
  ConfigLedger Ledger;
  bool Busy = false; ///< A step is in progress, so no other may start.
  bool Leaving = false;
  bool Removed = false;
  std::uint64_t NewestSeen = 0; ///< Highest configuration version used.
  SessionId GrantSession; ///< Session to which the grants in Holder belong.

private:
  void round();
  void poolRound();
  void tick();
  void shutDown();
  void sendRequests();
  void recover(const ShardId &Shard);
  void recordTickResult(const ShardId &Shard, TickResult Result);

  TimePoint NextRound = TimePoint::min();
  TimePoint NextTick = TimePoint::min();
  /// Events of the owned shards, recovered or committed.
  std::map<ShardId, std::vector<std::string>> Replayed;
  std::map<ShardId, std::string> PendingEvent;
  int Events = 0;
};

/// The simulated cell and its oracle.
class Cell {
public:
  explicit Cell(std::uint32_t Seed = 1);

  /// Starts a process of the instance unless it has one; returns null then.
  Process *start(const std::string &Name);
  void crash(const std::string &Name);

  /// Advances the time in steps and checks the invariants after each.
  void run(Duration Span);

  /// Called by the ports before and after each effect. May advance the time and
  /// let other instances act.
  void injectDelay(const std::string &Caller);

  /// First violation of an invariant; empty if there is none.
  const std::string &violation() const { return Violation; }
  void report(const std::string &What);

  Process *find(const std::string &Name);
  bool isRunning(const std::string &Name) const;
  int random(int Limit) { return int(Source() % std::uint32_t(Limit)); }

  std::int64_t TrueMs = 0;
  AuthoritySettings Settings; ///< Of processes that are started later.
  SimStore Store;
  SimObjects Objects;
  SimCodec Codec;
  std::map<std::string, std::unique_ptr<Process>> Processes;
  std::set<std::string> Paused;
  std::set<std::pair<std::string, std::string>> CutLinks;
  std::map<std::string, int> StallMs; ///< Delay within one of the next calls.
  int SlowMs = 0;                     ///< Delay before and after each effect.
  bool Interleave = false; ///< Others may act while an instance is in a call.
  std::deque<InFlightRequest> InFlight;
  /// Events whose commit was confirmed to the owner of the shard.
  std::map<ShardId, std::set<std::string>> Acknowledged;

  static inline const std::string Pool = keys::executorPool("fit");
  static inline const UnitAmounts Capacity = {{"e1", 4}, {"e2", 3}};
  static inline const std::vector<ShardId> ShardNames = {"s0", "s1"};

private:
  void stepAll();
  void checkCommit(const Transaction &Change);
  void checkConfig(const Row &Written, const Transaction &Change);
  void checkOracle();
  void checkServedConfig(Process &Each);
  void checkGrants();
  void checkOwners();
  std::optional<Row> rowIn(const Transaction &Change, const std::string &Key);

  std::mt19937 Source;
  std::string Violation;
  int Depth = 0;
  int Starts = 0;
  std::map<std::uint64_t, std::int64_t> AcceptedMs; ///< By version.
  std::map<std::uint64_t, std::int64_t> RevokedMs;  ///< By version.
  std::map<ShardId, ShardRecord> LastShard;
  std::map<ShardId, std::uint64_t> LastSequence;
};

/// Initial configuration, which instances write if there is none.
Config initialConfig();

/// SHA-256 of the key that the simulation adds and revokes.
inline const std::string KeyHash(64, 'a');

} // namespace apricotwing::simulation

#endif
