/// \file
/// The part of an entry instance that serves callers and looks after workers.
#ifndef APRICOTWING_CELL_MEMBER_H
#define APRICOTWING_CELL_MEMBER_H

#include "cell/clientcall.h"
#include "cell/lifetime.h"
#include "cell/maillink.h"
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

/// Checks callers' calls against the policy, passes them on to the leader and
/// carries out the leader's orders at the workers in its care. Keeps nothing
/// that would be missed if the process ended. Owned by the Node; used on its
/// thread only.
class Member {
public:
  /// The ports and settings that a member uses; all must outlive it.
  struct Ports {
    WorkerClient &Workers;
    AdviceClient &Advice;
    PeerTransport &Peers;
    const Clock &Time;
    const WallClock &Calendar;
    EventLog &Log;
    const Timing &Times;
  };

  /// \p Process names this process among all that the instance ever runs.
  Member(const Ports &Use, InstanceInfo Own, std::string Process);

  /// Puts a policy in force, unless it is older than the present one.
  void setPolicy(const jobs::ClusterPolicy &Next);
  const jobs::ClusterPolicy &policy() const { return Policy; }

  /// Serves one call; \p Respond is called once.
  void serve(ClientCall Call, ClientResponder Respond);

  /// Opens a link to a leader, unless it is open already.
  void connect(const LeaderRecord &Leader);

  /// True if there is a link and it is not broken.
  bool isLinked() const;

  /// True if the leader has confirmed the link lately.
  bool isServing() const;

  /// Time since the newest confirmation of the link. Precondition: isLinked().
  Duration silence() const { return Use.Time.now() - Sender->lastConfirmed(); }

  /// Term of the leader that the member is linked to; 0: none.
  std::int64_t leaderTerm() const { return Leader ? Leader->Term : 0; }

  /// Takes mail from the leader.
  Receipt receive(const Envelope &Mail);

  /// Does what is due. To be called often.
  void pump();

  /// Notes when the store last answered; empty: the last call failed. The
  /// leader is told.
  void setStoreAnswer(std::optional<TimePoint> At) { StoreAnswer = At; }

  /// The last term whose leader said that it does not lead any more.
  std::int64_t resignedTerm() const { return ResignedTerm; }

  /// Answers all open calls at once, for the end of the process.
  void failOpenCalls();

  /// Tells the leader to hand this member's workers to others.
  void leave() { Leaving = true; }

  /// Number of calls that wait for an answer.
  std::size_t openCalls() const { return Open.size(); }
  const MemberCounts &counts() const { return Counts; }
  std::size_t workerSessionCount() const { return Sessions.size(); }

private:
  /// A call that the leader has to answer.
  struct OpenCall {
    std::optional<Submission> Submitted;
    std::optional<Query> Asked;
    ClientResponder Respond;
    TimePoint ArrivedAt;
    TimePoint GiveUpAt;
    Duration Allowed{0}; ///< Time that a submitted job may take.
    bool Sent = false;   ///< Handed to some leader at least once.
  };

  void open(OpenCall Call);
  void answer(std::uint64_t Tag, ClientAnswer Answer);
  void finish(OpenCall &Call, ClientAnswer Answer);
  void expireCalls();
  void breakLink();
  std::string compose(std::int64_t Sequence);
  bool mayExtendLeases() const;
  void handle(const LeaderMail &Mail);
  void assign(const Assignment &Given);
  void ask(const jobs::AdviceRequest &Request);

  const Ports Use;
  const InstanceInfo Own;
  const std::string Process;
  jobs::ClusterPolicy Policy;
  std::optional<LeaderRecord> Leader;
  std::string Session;
  std::uint64_t LastSession = 0;
  std::unique_ptr<MailSender> Sender;
  MailReceiver Receiver;
  MemberMail Outgoing;
  std::uint64_t LastTag = 0;
  std::map<std::uint64_t, OpenCall> Open;
  std::map<std::string, std::unique_ptr<WorkerSession>> Sessions;
  bool Leaving = false;
  bool LeavingTold = false;
  std::optional<TimePoint> StoreAnswer;
  std::int64_t ResignedTerm = 0;
  MemberCounts Counts;
  Lifetime Life;
};

} // namespace apricotwing::cell

#endif
