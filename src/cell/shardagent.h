/// \file
/// The part of an entry instance that takes part in one shard.
#ifndef APRICOTWING_CELL_SHARDAGENT_H
#define APRICOTWING_CELL_SHARDAGENT_H

#include "cell/callbackguard.h"
#include "cell/leader.h"
#include "cell/leaderchannel.h"
#include "cell/leaderlookup.h"
#include "cell/member.h"
#include "cell/ports.h"
#include "cell/shardlayout.h"
#include "cell/timing.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace apricotwing::cell {

/// Finds the leader of a shard and sends it the calls of callers. In the home
/// shard of its instance, and as a guest in others, it is also a member and may
/// become the leader. Owned by the Node and used on its thread only.
class ShardAgent {
public:
  struct Ports {
    MetadataStore &Store;
    const PlatformRecords &Records;
    WorkerClient &Workers;
    AdviceClient &Advice;
    PeerTransport &Peers;
    const Clock &Time;
    const WallClock &WallTime;
    EventLog &Log;
    const Timing &Times;
  };
  /// Callbacks to the node.
  struct Callbacks {
    std::function<void(const ShardLayout &)> LayoutDecided;
    LeaderChannel::Receivers Answers;
  };
  /// What the other shards of the instance look like.
  struct Surroundings {
    int ShardsLed = 0;          ///< Other shards that this instance leads.
    int LowerShardsLed = 0;     ///< Those with a lower number.
    double LargestCpuShare = 0; ///< Of any instance, as far as known.
    std::optional<TimePoint> LastStoreResponse; ///< Empty if the last call
                                                ///< failed.
    /// For which the operators' rows are known.
    TimePoint OperatorRowsKnownUntil;
    /// Addresses of the instances to ask for the leader; null if none is known.
    const std::vector<std::string> *Contacts = nullptr;
  };

  /// \p Process identifies this process among all processes that the instance
  /// ever runs.
  ShardAgent(const Ports &Deps, int Shard, InstanceInfo Instance,
             std::string Process, Callbacks Owner);

  /// Sets the layout. Until then shard 0 is the home of each instance.
  void setLayout(const ShardLayout &NewLayout);

  /// Applies a policy to the leader, if there is one.
  void setPolicy(const jobs::ClusterPolicy &NewPolicy);

  /// Sets the evacuated zones.
  void setEvacuatedZones(const std::set<std::string> &Zones);

  /// Handles a message of the link of a member.
  std::optional<EnvelopeReply> receive(const Envelope &Message);

  /// Answers calls that another instance has sent; \p Respond is called exactly
  /// once.
  void serveCalls(const CallBatch &Batch, BatchResponder Respond);

  /// Performs all work that is due. Must be called frequently.
  void pump(const Surroundings &Others);

  /// The leader that has answered this instance recently; empty if there is
  /// none.
  std::optional<LeaderRecord> knownLeader() const;

  /// True if this instance is a member of the shard in good standing. Always
  /// true in other shards than the home shard.
  bool isServing() const { return !Home || LocalMember.isEstablished(); }

  /// Hands over leadership and workers before a planned shutdown.
  void leave();

  /// Largest CPU share of any member; 0: unknown.
  double largestCpuShare() const;

  LeaderChannel &channel() { return Channel; }
  const Member &member() const { return LocalMember; }

  /// The leader; null while this instance does not lead the shard.
  const Leader *leader() const { return LocalLeader.get(); }

private:
  bool isLinked(const Surroundings &Others) const;
  void resignIfStoreUnreachable();
  void findLeader(const Surroundings &Others);
  void askForLeader(const Surroundings &Others);
  void onLeaderRecord(const ReadResult &Result, const Surroundings &Others);
  void follow(const LeaderRecord &Record, const Surroundings &Others);
  Duration electionDelay(const Surroundings &Others) const;
  /// Replaces the record \p Former, which was read with the version \p Version.
  void acquireLeadership(std::int64_t Version, const LeaderRecord &Former);
  void becomeLeader(const LeaderRecord &Record, std::int64_t Version,
                    TimePoint SentAt);

  const Ports Deps;
  const int Shard;
  const InstanceInfo Instance;
  const std::string Process;
  const Callbacks Owner;
  std::optional<ShardLayout> Layout;
  jobs::ClusterPolicy Policy;
  std::set<std::string> EvacuatedZones;
  LeaderChannel Channel;
  LeaderLookup Lookup;
  Member LocalMember;
  std::unique_ptr<Leader> LocalLeader;
  bool Home;
  bool Leaving = false;
  /// When the instance may offer itself as a guest again.
  TimePoint NextGuestOffer;
  double RecordedCpuShare = 0; ///< Largest one in the leader record.
  int RecordedMembers = 0;     ///< Their number in the leader record.

  /// A read or write of the leader record is in flight.
  bool StoreCallInFlight = false;
  TimePoint StoreCallSentAt;
  bool LeaderReadFailed = false; ///< The last read of the leader record failed.
  TimePoint NextLeaderRead;
  TimePoint NextLookup;
  /// Of the leader record; -1: not read yet.
  std::int64_t ObservedVersion = -1;
  TimePoint ObservedSince;
  /// Last term whose leader is known to have stepped down or resigned, and
  /// when this instance learned of it.
  std::int64_t VacantTerm = 0;
  TimePoint VacantSince;
  /// Last term that this instance resigned from.
  std::int64_t ResignedTerm = 0;
  CallbackGuard Guard;
};

} // namespace apricotwing::cell

#endif
