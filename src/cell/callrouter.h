/// \file
/// Checks the calls of an instance's callers and routes them to the shards.
#ifndef APRICOTWING_CELL_CALLROUTER_H
#define APRICOTWING_CELL_CALLROUTER_H

#include "cell/clientcall.h"
#include "cell/leaderchannel.h"
#include "cell/messages.h"
#include "cell/policytracker.h"
#include "cell/ports.h"
#include "cell/shardlayout.h"
#include "cell/timing.h"
#include "jobs/clusterpolicy.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace apricotwing::cell {

/// How much the calls of an instance's callers may hold until they are
/// answered.
struct CallLimits {
  std::size_t Calls = 8192; ///< Calls without an answer.
  /// Of the jobs in them, in bytes as jobs::specBytes() estimates them.
  std::size_t JobBytes = std::size_t(32) << 20;
};

/// Checks client calls against the policy, sends each to the leader of the
/// shard that it concerns and answers its caller. A call is refused by the
/// policy only once the store has confirmed that view after the call arrived.
/// No call is decided by a newer policy than one that arrived later. Calls that
/// concern the whole cell are sent to all shards, and their answers are
/// combined. Answers a load of calls that wait, as in an outage of the store:
/// at a limit, the call whose caller would wait longest is answered at once, so
/// that callers who wait for less than others are still served. Holds no state
/// that must survive the process. Owned by the Node and used on its thread
/// only.
class CallRouter {
public:
  struct Ports {
    const Clock &Time;
    const WallClock &WallTime;
    EventLog &Log;
    const Timing &Times;
    PolicyTracker &Tracker;
    /// The channel to the leader of a shard. Precondition: the layout is set
    /// and has the shard.
    std::function<LeaderChannel &(int Shard)> Channel;
  };

  explicit CallRouter(Ports Deps) : Deps(std::move(Deps)) {}

  /// Sets the policy. Precondition: it is newer than the current one.
  void setPolicy(const jobs::ClusterPolicy &NewPolicy);
  const jobs::ClusterPolicy &policy() const { return Policy; }

  /// Sets the layout. Calls that arrived before are sent now.
  void setLayout(const ShardLayout &NewLayout);

  /// Sets the limits of calls that arrive from now on.
  void setLimits(const CallLimits &NewLimits) { Limits = NewLimits; }

  /// Handles a client call; \p Respond is called exactly once.
  void serve(ClientCall Call, ClientResponder Respond);

  /// Number of calls that were answered early because of the limits.
  std::uint64_t callsOverLimit() const { return CallsOverLimit; }

  /// Processes the answer of the leader of \p Shard.
  void onSubmitted(const SubmitAnswer &Result);
  void onAnswered(int Shard, const QueryAnswer &Result);

  /// Answers the calls whose deadline has passed. Must be called frequently.
  void pump();

  /// Answers all open calls immediately, before the process ends.
  void failOpenCalls();

  /// Number of calls without an answer.
  std::size_t openCalls() const {
    return Open.size() + Unconfirmed.size() + Postponed.size();
  }

  /// Number of answers by status, for metrics.
  const std::map<ClientStatus, std::uint64_t> &answers() const {
    return Answers;
  }

private:
  /// What a policy says about a call.
  struct Ruling {
    std::string Queue; ///< Empty: there is none.
    std::string Upstream;
    std::string Account; ///< Of the key; empty: it is unknown.

    bool operator==(const Ruling &) const = default;
  };
  /// A client call without an answer.
  struct OpenCall {
    ClientCall Request; ///< Its job is in SubmitRequest while that is set.
    Ruling FirstRuling; ///< By the policy in force when the call arrived.
    std::optional<Submission> SubmitRequest;
    std::optional<Query> QueryRequest;
    std::string Account; ///< Its shard has the job.
    /// The job may belong to another account's shard, since the queue accepts
    /// calls without a key.
    bool PublicQueue = false;
    std::size_t JobBytes = 0; ///< Counted in OpenJobBytes.
    ClientResponder Respond;
    TimePoint ArrivedAt;
    TimePoint Deadline;
    Duration AllowedTime{0}; ///< Time that a submitted job may take.
    std::set<int> Awaited;   ///< Shards whose answer is missing.
    bool AskedAll = false;
    int Count = 0; ///< Sum of the answers about waiting jobs.
    /// When a submission that the leader refused because of another policy may
    /// be sent again.
    TimePoint NextSend;
  };
  /// A call that the policy allowed.
  struct AllowedCall {
    std::string Host;
    std::string Path;
    std::string Key;
    TimePoint ArrivedAt;
  };
  /// How well the policy in force is known.
  enum class PolicyView {
    Recent,      ///< It was not confirmed for this call.
    Confirmed,   ///< It was still the newest one after the call arrived.
    Unconfirmed, ///< The store could not be asked.
  };

  static Ruling rulingOf(const jobs::ClusterPolicy &Policy,
                         const std::string &Host, const std::string &Path,
                         const std::string &Key);
  bool isOvertaken(const OpenCall &Call) const;
  bool isFull(std::size_t JobBytes) const;
  bool makeRoom(std::size_t JobBytes, TimePoint Deadline);
  void forgetAllowedCalls();
  void route(OpenCall Call, PolicyView View);
  void refuse(OpenCall Call, ClientStatus Status, PolicyView View);
  void confirmAndRoute(OpenCall Call);
  void onConfirmed(std::uint64_t Tag, PolicyView View);
  void onUnknownQueue(OpenCall Call, Duration RetryAfter);
  void open(OpenCall Call);
  void sendToShards(OpenCall &Call);
  void sendTo(int Shard, OpenCall &Call);
  bool wasSent(std::uint64_t Tag, const OpenCall &Call) const;
  ClientAnswer failureOf(std::uint64_t Tag, const OpenCall &Call) const;
  OpenCall takeOpenCall(std::uint64_t Tag);
  void answer(std::uint64_t Tag, ClientAnswer Answer);
  void finish(OpenCall &Call, ClientAnswer Answer);
  void logAnswer(const OpenCall &Call, ClientStatus Status) const;
  void logPolicyDecision(std::string_view Name, const OpenCall &Call,
                         ClientStatus Status) const;

  const Ports Deps;
  jobs::ClusterPolicy Policy;
  std::optional<ShardLayout> Layout;
  std::uint64_t LastTag = 0;
  std::map<std::uint64_t, OpenCall> Open; ///< Sent to leaders, by tag.
  /// Calls that wait until the policy is confirmed, by tag.
  std::map<std::uint64_t, OpenCall> Unconfirmed;
  std::vector<OpenCall> Postponed; ///< Until OpenCall::NextSend.
  /// The calls that arrived while one without a decision was there, or shortly
  /// before.
  std::deque<AllowedCall> Allowed;
  /// Latest arrival of a call that an older policy allowed and the one in force
  /// decides otherwise.
  TimePoint LastOutdatedArrival;
  std::map<ClientStatus, std::uint64_t> Answers;
  CallLimits Limits;
  std::size_t OpenJobBytes = 0; ///< Of the calls without an answer.
  std::uint64_t CallsOverLimit = 0;
};

} // namespace apricotwing::cell

#endif
