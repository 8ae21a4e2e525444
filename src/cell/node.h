/// \file
/// An entry instance: its callers, and the shards in which it takes part.
#ifndef APRICOTWING_CELL_NODE_H
#define APRICOTWING_CELL_NODE_H

#include "cell/callbackguard.h"
#include "cell/callrouter.h"
#include "cell/clientcall.h"
#include "cell/policytracker.h"
#include "cell/ports.h"
#include "cell/shardagent.h"
#include "cell/shardlayout.h"
#include "cell/timing.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace apricotwing::cell {

/// Watches the policy, reads the layout of the cell and has an agent for each
/// shard. All methods run on the control thread, which calls pump() after each
/// event and at least every PumpPeriod.
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

  /// Receives the reply to a message; empty if it must not be answered.
  using Responder = std::function<void(std::optional<std::string>)>;

  /// Maximum time between two calls of pump().
  static constexpr Duration PumpPeriod{20};

  /// \p Process identifies this process among all processes that the instance
  /// ever runs.
  Node(const Ports &Deps, const Timing &Times, InstanceInfo Instance,
       std::string Process);

  /// Handles a client call; \p Respond is called exactly once.
  void serve(ClientCall Call, ClientResponder Respond);

  /// Handles a message from a peer; \p Respond is called exactly once, at the
  /// latest when this object is destroyed.
  void receive(const std::string &Body, const Responder &Respond);

  /// Performs all work that is due.
  void pump();

  /// True if this instance can serve callers; used for readiness.
  bool isReady() const;

  /// Hands over the leadership and the supervised workers before a planned
  /// shutdown. Calls are still served.
  void leave();

  /// Answers all open calls immediately, before the process ends.
  void failOpenCalls() { Router.failOpenCalls(); }

  /// True once this instance does not lead and no call is open.
  bool isIdle() const;

  /// Sets the limits of the callers' calls that arrive from now on.
  void setCallLimits(const CallLimits &Limits) { Router.setLimits(Limits); }

  const CallRouter &router() const { return Router; }
  const PolicyTracker &policyTracker() const { return Policy; }

  /// Number of shards; 0 while the layout is not known.
  int shardCount() const { return Layout ? Layout->shardCount() : 0; }

  /// The agents by shard; at least that of shard 0.
  const std::vector<std::unique_ptr<ShardAgent>> &agents() const {
    return Agents;
  }

  /// The leader of a shard; null while this instance does not lead it.
  const Leader *leader(int Shard = 0) const;

private:
  /// Delivers messages from this instance to itself without the network.
  class LoopbackTransport final : public PeerTransport {
  public:
    LoopbackTransport(Node &Owner, PeerTransport &Remote)
        : Owner(Owner), Remote(Remote) {}
    void post(const std::string &Address, std::string Body, Duration Timeout,
              std::function<void(PeerResult)> Callback) override;

  private:
    Node &Owner;
    PeerTransport &Remote;
  };

  void applyPolicy(const jobs::ClusterPolicy &NewPolicy);
  void readLayout();
  void setLayout(const ShardLayout &NewLayout);
  void addAgent(int Shard);
  ShardAgent::Surroundings surroundingsOf(std::size_t Shard) const;

  const Ports Deps;
  const Timing Times;
  const InstanceInfo Instance;
  const std::string Process;
  LoopbackTransport Peers;
  std::deque<std::function<void()>> PendingDeliveries;
  PolicyTracker Policy;
  CallRouter Router;
  std::optional<ShardLayout> Layout;
  /// Set by an agent while the agents are in use; applied afterwards.
  std::optional<ShardLayout> NewLayout;
  bool ReadingLayout = false;
  TimePoint NextLayoutRead;
  bool Leaving = false;
  std::vector<std::unique_ptr<ShardAgent>> Agents;
  CallbackGuard Guard;
};

} // namespace apricotwing::cell

#endif
