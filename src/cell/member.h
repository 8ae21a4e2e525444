/// \file
/// The part of an entry instance that supervises workers for a leader.
#ifndef APRICOTWING_CELL_MEMBER_H
#define APRICOTWING_CELL_MEMBER_H

#include "cell/callbackguard.h"
#include "cell/messagelink.h"
#include "cell/messages.h"
#include "cell/ports.h"
#include "cell/timing.h"
#include "cell/workersession.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace apricotwing::cell {

/// Counters of a member, for metrics and the state dump.
struct MemberCounts {
  std::uint64_t Starts = 0;
  std::uint64_t EndedRuns = 0;
  std::uint64_t AdviceCalls = 0;
  std::uint64_t LinksLost = 0;

  MemberCounts &operator+=(const MemberCounts &Other) {
    Starts += Other.Starts;
    EndedRuns += Other.EndedRuns;
    AdviceCalls += Other.AdviceCalls;
    LinksLost += Other.LinksLost;
    return *this;
  }
};

/// Executes the orders of a shard's leader: supervises workers and calls the
/// advice service. Holds no state that must survive the process. Owned by a
/// ShardAgent and used on its thread only.
class Member {
public:
  /// Interfaces and settings that a member uses; all must outlive it.
  struct Ports {
    WorkerClient &Workers;
    AdviceClient &Advice;
    PeerTransport &Peers;
    const Clock &Time;
    EventLog &Log;
    const Timing &Times;
  };

  /// \p Process identifies this process among all processes that the instance
  /// ever runs.
  Member(const Ports &Deps, int Shard, InstanceInfo Instance,
         std::string Process);

  /// Opens a link to a leader unless it is already open. A guest belongs to
  /// another shard and may be rejected.
  void connect(const LeaderRecord &Leader, bool Guest);

  /// Closes the link and all worker sessions.
  void disconnect();

  /// True if there is a link and it is not broken.
  bool isConnected() const;

  /// True if the leader has acknowledged messages recently.
  bool isEstablished() const {
    return isConnected() && Sender->isEstablished();
  }

  /// Returns whether the last leader that this instance offered itself to as a
  /// guest needs no more guests, and forgets it.
  bool takeGuestRejection() { return std::exchange(RejectedAsGuest, false); }

  /// Largest CPU share of any member, as the leader tells it; 0: unknown.
  double largestCpuShare() const {
    return Sender ? Sender->largestCpuShare() : 0;
  }

  /// Time for which a message to the leader has had no reply; zero if none is
  /// being sent. Precondition: isConnected().
  Duration unansweredFor() const { return Sender->unansweredFor(); }

  /// Term of the leader that the member last connected to; 0: none.
  std::int64_t leaderTerm() const { return Leader ? Leader->Term : 0; }

  /// The leader that the member last connected to.
  const std::optional<LeaderRecord> &leaderRecord() const { return Leader; }

  /// Addresses of instances that probably know the leader, as the last leader
  /// named them.
  const std::vector<std::string> &contacts() const { return Contacts; }

  /// Handles a message from the leader.
  EnvelopeReply receive(const Envelope &Message);

  /// Performs all work that is due. Must be called frequently.
  void pump();

  /// Sets the time of the last store response, which is reported to the leader;
  /// empty if the last call failed.
  void setLastStoreResponse(std::optional<TimePoint> At) {
    LastStoreResponse = At;
  }

  /// Last term whose leader replied that it has resigned.
  std::int64_t resignedTerm() const { return ResignedTerm; }

  /// Sets the number of other shards that this instance leads, which is
  /// reported to the leader.
  void setOtherShardsLed(int Count) { OtherShardsLed = Count; }

  /// Sets the version of the policy in force, which is reported to the leader.
  void setPolicyVersion(std::int64_t Version) { PolicyVersion = Version; }

  /// Asks the leader to reassign this member's workers before a shutdown.
  void leave() { Leaving = true; }

  const MemberCounts &counts() const { return Counts; }
  std::size_t workerSessionCount() const { return Sessions.size(); }

private:
  void closeLink();
  std::string composeMessage(std::int64_t Sequence);
  bool canExtendLeases() const;
  void handle(const LeaderMessage &Message);
  void logStart(const jobs::StartCommand &Order);
  void assign(const Assignment &NewAssignment);
  void requestAdvice(const jobs::AdviceRequest &Request);

  const Ports Deps;
  const int Shard;
  const InstanceInfo Instance;
  const std::string Process;
  std::optional<LeaderRecord> Leader;
  std::vector<std::string> Contacts;
  std::string Session;
  std::uint64_t LastSession = 0;
  std::unique_ptr<MessageSender> Sender;
  MessageReceiver Receiver;
  MemberMessage Outgoing;
  std::map<std::string, std::unique_ptr<WorkerSession>> Sessions;
  bool Leaving = false;
  bool LeavingSent = false;
  bool Guest = false;
  bool RejectedAsGuest = false;
  int OtherShardsLed = 0;
  std::int64_t PolicyVersion = 0;
  std::optional<TimePoint> LastStoreResponse;
  std::int64_t ResignedTerm = 0;
  MemberCounts Counts;
  CallbackGuard Guard;
};

} // namespace apricotwing::cell

#endif
