/// \file
/// Calls at one instance while queues and keys are replaced amid faults.
/// APRICOTWING_SOAK_SEEDS=FIRST-LAST selects the seeds of a longer run.
#include "emulator/emulatedcell.h"
#include "emulator/faultends.h"
#include "emulator/soakseeds.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace apricotwing::emulator {
namespace {

using namespace std::chrono_literals;
using cell::ClientStatus;

/// Time after a call that shows a version of the policy from which on no call
/// may be decided by an older one. The platform counts it from the time at
/// which the first call was sent.
constexpr Duration RollbackSlack{250};

/// Number of versions that contain a queue or a key.
constexpr int VersionsOfAQueue = 3;
constexpr int VersionsOfAKey = 4;

enum class Fault {
  KillInstance,
  KillLeader,
  CutInstance,
  SilenceConnections,
  StoreRefusesInstance,
  StoreCutFromInstance,
  SlowStore,
  DropHistory,
  DelayMessages,
};
constexpr int FaultKinds = int(Fault::DelayMessages) + 1;

/// Each version of the policy adds a queue and a key that no version had before
/// and drops the oldest ones, so the answer to a call tells between which
/// versions it was decided.
class PolicyOrderSoak {
public:
  explicit PolicyOrderSoak(std::uint64_t Seed)
      : Cell(Seed, std::vector<double>(4, 1.0), 4, equalAccounts(4),
             twoShards()),
        Random(Seed) {
    FaultInterval = Duration(between(300, 3000));
    ChangeInterval = Duration(between(150, 2500));
  }

  /// Returns the descriptions of all violations.
  std::vector<std::string> play() {
    BaseQueues = Cell.queues();
    publish();
    Cell.run(3s);
    const TimePoint Until = now() + 40s;
    while (now() < Until) {
      Ends.endDue(now());
      if (happens(FaultInterval))
        begin(Fault(between(0, FaultKinds - 1)));
      if (happens(ChangeInterval))
        publish();
      callAnyInstance();
      Cell.run(Step);
    }
    Ends.clear();
    Cell.endFaults();
    Cell.run(5s);
    checkOrder();
    return Violations;
  }

  /// Number of calls whose answer showed a version.
  int shown() const { return Shown; }

private:
  static constexpr Duration Step{20};

  struct Call {
    std::string Lifetime; ///< Instance and number of its start.
    int Queue = 0;
    int Key = 0;
    TimePoint SentAt;
    std::optional<ClientStatus> Answer;
    int LatestVersion = 0; ///< When it was answered.
  };
  struct Versions {
    int First = 0;
    int Last = std::numeric_limits<int>::max();
  };

  TimePoint now() { return Cell.time().now(); }
  int between(int Low, int High) {
    return std::uniform_int_distribution<int>(Low, High)(Random);
  }
  bool happens(Duration MeanInterval) {
    return std::uniform_real_distribution<double>(0, 1)(Random) <
           double(Step.count()) / double(MeanInterval.count());
  }
  std::string anyInstance() { return "n" + std::to_string(between(0, 3)); }
  static std::string prefixOf(int Queue) {
    return "/q" + std::to_string(Queue) + "/";
  }
  static std::string keyOf(int Key) { return "key " + std::to_string(Key); }

  void publish() {
    ++Version;
    std::vector<jobs::Queue> Queues = BaseQueues;
    for (int Queue = Version - VersionsOfAQueue + 1; Queue <= Version;
         ++Queue) {
      Queues.push_back(BaseQueues.front());
      Queues.back().Name = prefixOf(Queue);
      Queues.back().PathPrefix = prefixOf(Queue);
    }
    std::vector<std::string> Keys;
    for (int Key = Version - VersionsOfAKey + 1; Key <= Version; ++Key)
      Keys.push_back(keyOf(Key));
    Cell.putQueuesAndKeys(std::move(Queues), std::move(Keys), Version);
  }

  void callAnyInstance() {
    const std::string Name = anyInstance();
    if (!Cell.isRunning(Name))
      return;
    const auto Open = std::make_shared<Call>();
    Open->Lifetime = Name + "#" + std::to_string(Starts[Name]);
    Open->Queue = std::max(Version - between(0, VersionsOfAQueue), 1);
    Open->Key = std::max(Version - between(0, VersionsOfAKey), 1);
    Open->SentAt = now();
    Calls.push_back(Open);
    cell::ClientCall Request;
    Request.Host = "cell.example";
    Request.Path = prefixOf(Open->Queue) + "00000000000000ff";
    Request.Key = keyOf(Open->Key);
    if (between(0, 1) == 0) {
      Request.Verb = cell::ClientVerb::Submit;
      Request.Job.emplace().Steps = {stepOf(1, 100ms)};
      Request.Path.replace(Request.Path.size() - 8, 8,
                           std::to_string(10'000'000 + ++LastJob));
    }
    Cell.node(Name).serve(std::move(Request),
                          [this, Open](const cell::ClientAnswer &Answer) {
                            Open->Answer = Answer.Status;
                            Open->LatestVersion = Version;
                          });
  }

  /// The versions that allow the answer to a call; empty if it shows none.
  static std::optional<Versions> versionsOf(const Call &Answered) {
    if (!Answered.Answer)
      return std::nullopt;
    const int Added = std::max(Answered.Queue, Answered.Key);
    const int Dropped = std::min(Answered.Queue + VersionsOfAQueue,
                                 Answered.Key + VersionsOfAKey);
    switch (*Answered.Answer) {
    case ClientStatus::Accepted:
    case ClientStatus::NoSuchJob:
      return Versions{Added, Dropped - 1};
    case ClientStatus::NoSuchQueue:
      return refusedVersions(Answered.Queue, VersionsOfAQueue,
                             Answered.LatestVersion);
    case ClientStatus::UnknownKey:
      return refusedVersions(Answered.Key, VersionsOfAKey,
                             Answered.LatestVersion);
    default:
      return std::nullopt;
    }
  }

  /// The versions that lack a queue or key; empty if these may be older or
  /// newer than those that have it.
  static std::optional<Versions> refusedVersions(int Added, int Count,
                                                 int Latest) {
    if (Latest < Added + Count)
      return Versions{0, Added - 1};
    return std::nullopt;
  }

  void checkOrder() {
    std::map<std::string, std::vector<std::pair<Call, Versions>>> Lifetimes;
    for (const auto &Sent : Calls)
      if (const auto Range = versionsOf(*Sent)) {
        ++Shown;
        Lifetimes[Sent->Lifetime].emplace_back(*Sent, *Range);
      }
    for (const auto &[Name, Answered] : Lifetimes)
      for (std::size_t Later = 0; Later < Answered.size(); ++Later)
        for (std::size_t Earlier = 0; Earlier < Later; ++Earlier)
          check(Answered[Earlier], Answered[Later]);
  }

  void check(const std::pair<Call, Versions> &Earlier,
             const std::pair<Call, Versions> &Later) {
    const auto &[First, NewRange] = Earlier;
    const auto &[Second, OldRange] = Later;
    if (Second.SentAt - First.SentAt <= RollbackSlack ||
        OldRange.Last >= NewRange.First)
      return;
    Violations.push_back(
        Second.Lifetime + " went back from version " +
        std::to_string(NewRange.First) + " or newer to " +
        std::to_string(OldRange.Last) + " or older: calls sent at " +
        std::to_string(First.SentAt.time_since_epoch().count()) + " and " +
        std::to_string(Second.SentAt.time_since_epoch().count()));
  }

  void endLater(std::function<void()> End) {
    Ends.add(now() + Duration(between(200, 6000)), std::move(End));
  }

  void killFor(const std::string &Name) {
    Cell.kill(Name);
    ++Starts[Name];
    endLater([this, Name] { Cell.start(Name); });
  }

  void begin(Fault Kind) {
    EmulatedStore &Store = Cell.store();
    const std::string Name = anyInstance();
    switch (Kind) {
    case Fault::KillInstance:
      killFor(Name);
      return;
    case Fault::KillLeader:
      if (const std::string Leader = Cell.leader(between(0, 1));
          !Leader.empty())
        killFor(Leader);
      return;
    case Fault::CutInstance:
      Cell.cut(Name);
      Store.Cut.insert(Name);
      endLater([this, Name] {
        Cell.heal(Name);
        Cell.store().Cut.erase(Name);
      });
      return;
    case Fault::SilenceConnections:
      Store.silenceConnections(Name, between(0, 3));
      return;
    case Fault::StoreRefusesInstance:
      Store.RefusedCallers.insert(Name);
      endLater([this, Name] { Cell.store().RefusedCallers.erase(Name); });
      return;
    case Fault::StoreCutFromInstance:
      Store.Cut.insert(Name);
      endLater([this, Name] { Cell.store().Cut.erase(Name); });
      return;
    case Fault::SlowStore:
      Store.Latency = Duration(between(100, 450));
      endLater([this] { Cell.store().Latency = EmulatedStore::UsualLatency; });
      return;
    case Fault::DropHistory:
      Store.compact();
      return;
    case Fault::DelayMessages:
      Cell.DelayedMessages = 0.2;
      endLater([this] { Cell.DelayedMessages = 0; });
      return;
    }
  }

  EmulatedCell Cell;
  std::mt19937_64 Random;
  Duration FaultInterval;
  Duration ChangeInterval;
  std::vector<jobs::Queue> BaseQueues;
  int Version = 1;
  int LastJob = 0;
  int Shown = 0;
  std::map<std::string, int> Starts; ///< Number of kills, by instance.
  FaultEnds Ends;
  std::vector<std::shared_ptr<Call>> Calls;
  std::vector<std::string> Violations;
};

void playSeed(std::uint64_t Seed) {
  PolicyOrderSoak Soak{Seed};
  for (const std::string &Violation : Soak.play())
    ADD_FAILURE() << "seed " << Seed << ": " << Violation;
  EXPECT_GT(Soak.shown(), 0) << "seed " << Seed;
}

// Guards against an instance that answers by an older policy than before.
TEST(PolicyOrderTest, GoesBackToNoOlderPolicy) {
  for (const std::uint64_t Seed : soakSeeds(12))
    playSeed(Seed);
}

} // namespace
} // namespace apricotwing::emulator
