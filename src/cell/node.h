/// \file
/// An entry instance: its member, and the leader while the instance leads.
#ifndef APRICOTWING_CELL_NODE_H
#define APRICOTWING_CELL_NODE_H

#include "cell/callbackguard.h"
#include "cell/clientcall.h"
#include "cell/leader.h"
#include "cell/member.h"
#include "cell/ports.h"
#include "cell/tablewatcher.h"
#include "cell/timing.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace apricotwing::cell {

/// Watches the policy, discovers the leader and takes over leadership when
/// there is none. All methods run on the control thread, which calls pump()
/// after each event and at least every PumpPeriod.
class Node {
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
  };

  /// Maximum time between two calls of pump().
  static constexpr Duration PumpPeriod{20};

  /// \p Process identifies this process among all processes that the instance
  /// ever runs.
  Node(const Ports &Deps, const Timing &Times, InstanceInfo Instance,
       std::string Process);

  /// Handles a client call; \p Respond is called exactly once.
  void serve(ClientCall Call, ClientResponder Respond);

  /// Handles a message from a peer and returns the reply; empty if the message
  /// must not be answered.
  std::optional<std::string> receive(const std::string &Body);

  /// Performs all work that is due.
  void pump();

  /// True if this instance can serve callers; used for readiness.
  bool isReady() const;

  /// Hands over the leadership and the supervised workers before a planned
  /// shutdown. Calls are still served.
  void leave();

  /// Answers all open calls immediately, before the process ends.
  void failOpenCalls() { LocalMember.failOpenCalls(); }

  /// True once this instance does not lead and no call is open.
  bool isIdle() const;

  const Member &member() const { return LocalMember; }
  const Leader *leader() const { return LocalLeader.get(); }

private:
  /// Delivers messages from this instance to itself without the network.
  class LoopbackTransport final : public PeerTransport {
  public:
    LoopbackTransport(Node &Owner, PeerTransport &Remote)
        : Owner(Owner), Remote(Remote) {}
    void
    post(const std::string &Address, std::string Body, Duration Timeout,
         std::function<void(std::optional<std::string>)> Callback) override;

  private:
    Node &Owner;
    PeerTransport &Remote;
  };

  void onPolicyRows(const std::vector<StoredRow> &Rows);
  void readLeaderRecord();
  void onLeaderRecord(const ReadResult &Result);
  void acquireLeadership(std::int64_t Version, std::int64_t Term);
  void resignIfStoreUnreachable();
  void becomeLeader(const LeaderRecord &Record, std::int64_t Version,
                    TimePoint SentAt);

  const Ports Deps;
  const Timing Times;
  const InstanceInfo Instance;
  const std::string Process;
  LoopbackTransport Peers;
  std::deque<std::function<void()>> PendingDeliveries;
  TableWatcher PolicyWatcher;
  Member LocalMember;
  std::unique_ptr<Leader> LocalLeader;
  bool Leaving = false;

  /// A read or write of the leader record is in flight.
  bool StoreCallInFlight = false;
  TimePoint NextLeaderRead;
  /// Of the leader record; -1: not read yet.
  std::int64_t ObservedVersion = -1;
  TimePoint ObservedSince;
  /// Last term that this instance resigned from.
  std::int64_t ResignedTerm = 0;
  CallbackGuard Guard;
};

} // namespace apricotwing::cell

#endif
