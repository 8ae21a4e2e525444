/// \file
/// The part of an entry instance that serves callers and supervises workers.
#ifndef APRICOTWING_CELL_MEMBER_H
#define APRICOTWING_CELL_MEMBER_H

#include "cell/callbackguard.h"
#include "cell/clientcall.h"
#include "cell/messagelink.h"
#include "cell/messages.h"
#include "cell/ports.h"
#include "cell/timing.h"
#include "cell/workersession.h"
#include "jobs/clusterpolicy.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace apricotwing::cell {

/// Counters of a member, for metrics and the state dump.
struct MemberCounts {
  std::map<ClientStatus, std::uint64_t> Answers;
  std::uint64_t Starts = 0;
  std::uint64_t EndedRuns = 0;
  std::uint64_t AdviceCalls = 0;
  std::uint64_t LinksLost = 0;
};

/// Checks client calls against the policy, forwards them to the leader and
/// executes the leader's orders at the workers that it supervises. Holds no
/// state that must survive the process. Owned by the Node and used on its
/// thread only.
class Member {
public:
  /// Interfaces and settings that a member uses; all must outlive it.
  struct Ports {
    WorkerClient &Workers;
    AdviceClient &Advice;
    PeerTransport &Peers;
    const Clock &Time;
    const WallClock &WallTime;
    EventLog &Log;
    const Timing &Times;
  };

  /// \p Process identifies this process among all processes that the instance
  /// ever runs.
  Member(const Ports &Deps, InstanceInfo Instance, std::string Process);

  /// Applies a policy if it is newer than the current one.
  void setPolicy(const jobs::ClusterPolicy &NewPolicy);
  const jobs::ClusterPolicy &policy() const { return Policy; }

  /// Handles a client call; \p Respond is called exactly once.
  void serve(ClientCall Call, ClientResponder Respond);

  /// Opens a link to a leader unless it is already open.
  void connect(const LeaderRecord &Leader);

  /// True if there is a link and it is not broken.
  bool isConnected() const;

  /// True if the leader has acknowledged messages recently and a policy is
  /// known.
  bool isServing() const;

  /// Time since the newest acknowledged message was sent. Precondition:
  /// isConnected().
  Duration timeSinceAck() const {
    return Deps.Time.now() - Sender->lastAckedSend();
  }

  /// Term of the leader that the member last connected to; 0: none.
  std::int64_t leaderTerm() const { return Leader ? Leader->Term : 0; }

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

  /// Answers all open calls immediately, before the process ends.
  void failOpenCalls();

  /// Asks the leader to reassign this member's workers before a shutdown.
  void leave() { Leaving = true; }

  /// Number of calls without an answer.
  std::size_t openCalls() const { return Open.size(); }
  const MemberCounts &counts() const { return Counts; }
  std::size_t workerSessionCount() const { return Sessions.size(); }

private:
  /// A client call that waits for the leader's answer.
  struct OpenCall {
    std::optional<Submission> SubmitRequest;
    std::optional<Query> QueryRequest;
    ClientResponder Respond;
    TimePoint ArrivedAt;
    TimePoint Deadline;
    Duration AllowedTime{0};   ///< Time that a submitted job may take.
    bool SentToLeader = false; ///< Forwarded to a leader at least once.
  };

  void open(OpenCall Call);
  void answer(std::uint64_t Tag, ClientAnswer Answer);
  void finish(OpenCall &Call, ClientAnswer Answer);
  void expireCalls();
  void closeLink();
  std::string composeMessage(std::int64_t Sequence);
  bool canExtendLeases() const;
  void handle(const LeaderMessage &Message);
  void assign(const Assignment &NewAssignment);
  void requestAdvice(const jobs::AdviceRequest &Request);

  const Ports Deps;
  const InstanceInfo Instance;
  const std::string Process;
  jobs::ClusterPolicy Policy;
  std::optional<LeaderRecord> Leader;
  std::string Session;
  std::uint64_t LastSession = 0;
  std::unique_ptr<MessageSender> Sender;
  MessageReceiver Receiver;
  MemberMessage Outgoing;
  std::uint64_t LastTag = 0;
  std::map<std::uint64_t, OpenCall> Open;
  std::map<std::string, std::unique_ptr<WorkerSession>> Sessions;
  bool Leaving = false;
  bool LeavingSent = false;
  std::optional<TimePoint> LastStoreResponse;
  std::int64_t ResignedTerm = 0;
  MemberCounts Counts;
  CallbackGuard Guard;
};

} // namespace apricotwing::cell

#endif
