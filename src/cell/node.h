/// \file
/// An entry instance: its member, and the leader while it is in office.
#ifndef APRICOTWING_CELL_NODE_H
#define APRICOTWING_CELL_NODE_H

#include "cell/clientcall.h"
#include "cell/leader.h"
#include "cell/lifetime.h"
#include "cell/member.h"
#include "cell/ports.h"
#include "cell/tablefollower.h"
#include "cell/timing.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace apricotwing::cell {

/// Follows the policy, finds the leader and becomes it when there is none. All
/// methods run on the control thread, which calls pump() after each event and
/// at least every PumpPeriod.
class Node {
public:
  struct Ports {
    MetadataStore &Store;
    const PlatformRecords &Records;
    WorkerClient &Workers;
    AdviceClient &Advice;
    PeerTransport &Peers;
    const Clock &Time;
    const WallClock &Calendar;
    EventLog &Log;
  };

  /// Longest time between two calls of pump().
  static constexpr Duration PumpPeriod{20};

  /// \p Process names this process among all that the instance ever runs.
  Node(const Ports &Use, const Timing &Times, InstanceInfo Own,
       std::string Process);

  /// Serves one call of a caller; \p Respond is called once.
  void serve(ClientCall Call, ClientResponder Respond);

  /// Takes a peer's mail; returns the reply, empty if there is none to give.
  std::optional<std::string> receive(const std::string &Body);

  /// Does what is due.
  void pump();

  /// True if callers should be sent here.
  bool isReady() const;

  /// Hands over the office and the workers, for a planned stop. Calls are
  /// still served.
  void leave();

  /// Answers all open calls at once, for the end of the process.
  void failOpenCalls() { Self.failOpenCalls(); }

  /// True once the office is handed over and no call is open.
  bool isIdle() const;

  const Member &member() const { return Self; }
  const Leader *leader() const { return Office.get(); }

private:
  /// Delivers mail to this instance itself without the network.
  class LocalDelivery final : public PeerTransport {
  public:
    LocalDelivery(Node &Owner, PeerTransport &Remote)
        : Owner(Owner), Remote(Remote) {}
    void post(const std::string &Address, std::string Body, Duration Timeout,
              std::function<void(std::optional<std::string>)> Then) override;

  private:
    Node &Owner;
    PeerTransport &Remote;
  };

  void policyRows(const std::vector<StoredRow> &Rows);
  void seekLeader();
  void recordRead(const ReadResult &Result);
  void contend(std::int64_t Version, std::int64_t Term);
  void resignIfCutOff();
  void takeOffice(const LeaderRecord &Record, std::int64_t Version,
                  TimePoint SentAt);

  const Ports Use;
  const Timing Times;
  const InstanceInfo Own;
  const std::string Process;
  LocalDelivery Peers;
  std::deque<std::function<void()>> Later;
  TableFollower Policy;
  Member Self;
  std::unique_ptr<Leader> Office;
  bool Leaving = false;

  bool Seeking = false; ///< A call about the leader record is under way.
  TimePoint NextSeek;
  std::int64_t SeenVersion = -1; ///< Of the leader record; -1: not read yet.
  TimePoint SeenSince;
  std::int64_t ResignedTerm = 0; ///< Last term that this instance gave up.
  Lifetime Life;
};

} // namespace apricotwing::cell

#endif
