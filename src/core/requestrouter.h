/// \file
/// Decisions for interactive requests: admission, queueing, choice of the
/// executor, and what follows from the end of a send.
#ifndef APRICOTWING_CORE_REQUESTROUTER_H
#define APRICOTWING_CORE_REQUESTROUTER_H

#include "core/config.h"
#include "core/error.h"
#include "core/platform.h"
#include "core/retrybudget.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace apricotwing {

struct RouterOptions {
  InstanceId Instance; ///< Spreads the wishes of instances over executors.
  std::string Zone;    ///< Own availability zone, preferred on ties.
  std::size_t QueuePerTeam = 64;
  /// Requests waiting in all queues; one team has at most half of it.
  std::size_t QueueTotal = 1024;
  /// Longest time from submission to the deadline. Slots of an instance that
  /// has died are reclaimed only after this time.
  Duration MaxDeadline = std::chrono::seconds(10);
};

/// What the router has to know of an interactive request; the daemon keeps
/// the body.
struct RequestMetadata {
  std::string Id; ///< Unique in the cell.
  TeamName Team;
  /// Hash of the key that came with the request. A queued request is refused
  /// when this key is withdrawn. Empty: not checked.
  std::string KeySha256;
  std::string Upstream;
  bool Idempotent = false;
  TimePoint Deadline;
};

/// One send that the daemon has to perform now.
struct RequestSend {
  std::string Id;
  std::uint32_t Attempt = 0; ///< Sends of one request count from 1.
  std::string Executor;
  std::string Address; ///< "ip:port".
  bool Idempotent = false;
  Duration Timeout{0}; ///< Positive; ends at the deadline or before it.
  TimePoint Deadline;  ///< Of the request.
};

/// How a send ended.
struct SendReport {
  std::string Id;
  std::uint32_t Attempt = 0;
  SendResult Result = SendResult::InDoubt;
  int Status = 0;       ///< HTTP status of an answer.
  bool Leaving = false; ///< The executor said that it is leaving.
  Duration Latency{0};  ///< From the start of the send to its end.
  std::string Detail;   ///< Why there is no answer.
  /// maySend() was false, so nothing was sent and the executor is not at fault.
  bool Withheld = false;
};

/// The final result of a request that was not answered.
struct RequestFailure {
  std::string Id;
  Error Reason; ///< Its outcome is NotRun or Unknown.
};

enum class CompletionAction {
  Deliver, ///< Hand the executor's answer to the caller.
  Retry,   ///< Nothing: the request waits for another send.
  Fail,    ///< Hand Failure to the caller.
  Ignore,  ///< The request already has its final result.
};

/// "deliver", "retry", "fail" or "ignore". Thread-safe.
std::string_view completionActionName(CompletionAction Value);

struct CompletionResult {
  CompletionAction Action = CompletionAction::Ignore;
  std::optional<Error> Failure; ///< Set if Action is Fail.
};

struct DispatchResult {
  std::vector<RequestSend> Sends;
  std::vector<RequestFailure> Failures;
};

struct RouterStats {
  std::uint64_t Submitted = 0; ///< Accepted into a queue.
  std::uint64_t Delivered = 0;
  std::uint64_t FailedNotRun = 0;  ///< After they were queued.
  std::uint64_t FailedUnknown = 0; ///< After they were queued.
  std::uint64_t Retries = 0;
  std::uint64_t RetriesDenied = 0; ///< The retry budget was used up.
  std::uint64_t Ejections = 0;
  std::map<ErrorKind, std::uint64_t> Refused; ///< Never queued.
  std::size_t Queued = 0;
  std::size_t InFlight = 0;     ///< Sends not yet completed.
  std::size_t SlotsTaken = 0;   ///< In flight or in doubt.
  std::size_t SlotsGranted = 0; ///< On executors that take requests.
  std::map<TeamName, std::size_t> QueuedByTeam;
  std::map<TeamName, std::size_t> TakenByTeam; ///< In flight or in doubt.
};

/// The state machine for interactive requests of one entry instance. It is
/// owned by the daemon, which drives it under one mutex and performs the sends
/// that dispatch() returns. A request holds one slot of its executor and one
/// unit of its team's grant from dispatch() until its answer arrives, or, if
/// the outcome of the send is in doubt, until MaxDeadline after the wait for it
/// has ended.
///
/// No method is thread-safe. Times passed in must not go backwards.
class RequestRouter {
public:
  /// Amounts of a grant by unit: by executor or by team.
  using Amounts = std::map<std::string, std::int64_t>;

  explicit RequestRouter(RouterOptions Options);
  ~RequestRouter();
  RequestRouter(const RequestRouter &) = delete;
  RequestRouter &operator=(const RequestRouter &) = delete;

  /// Puts a configuration in force: teams with shares and limits, keys,
  /// upstreams with slots and connections. Queued requests that it no longer
  /// permits come back from the next dispatch().
  void setConfig(const Config &Value);

  /// Replaces the list of executors. One that is leaving or absent receives
  /// nothing new. One that said itself that it is leaving stays out until the
  /// list has stopped showing it as live, or for 10 min.
  void setExecutors(const std::vector<ListedExecutor> &List, TimePoint Now);

  /// Replaces the slots that this instance holds of \p Upstream, by executor.
  /// Sends under way keep their slots when a grant shrinks.
  void setSlotGrants(const std::string &Upstream, const Amounts &ByExecutor);

  /// Replaces the concurrent requests that this instance may run, by team.
  void setTeamGrants(const Amounts &ByTeam);

  /// Authority to send lasts until \p ValidUntil, exclusively. Without it
  /// nothing is accepted and nothing is dispatched.
  void setAuthority(TimePoint ValidUntil);

  /// Queues a request. Throws Error with outcome NotRun and kind NoAuthority,
  /// Draining, NotFound (upstream), Forbidden (team), UnknownKey (withdrawn),
  /// LimitReached, UpstreamFailed (no live executor), Overloaded (full queue,
  /// or the deadline cannot be met given the queue), DeadlineExceeded, or
  /// BadRequest (the id is already known, or the deadline is too far away).
  void submit(const RequestMetadata &Metadata, TimePoint Now);

  /// Decides what to send now and which requests have failed: expired,
  /// displaced from a full queue, no longer permitted, or without a report of
  /// their send by the deadline. To be called after every other call that
  /// changes something, and at nextWake().
  DispatchResult dispatch(TimePoint Now);

  /// True if the send may still begin: authority, deadline and the executor's
  /// state are as they have to be, and the key is still in force. To be asked
  /// right before the first byte; if it is false, report SendResult::NotSent
  /// with Withheld.
  bool maySend(const RequestSend &Send, TimePoint Now) const;

  /// Takes the end of a send and says what follows. Exactly one report is due
  /// for each send; a second one is ignored.
  CompletionResult complete(const SendReport &Report, TimePoint Now);

  /// The earliest time at which dispatch() has something to do without any
  /// other call; empty if there is none.
  std::optional<TimePoint> nextWakeup() const;

  /// Slots of \p Upstream that this instance would like to hold, by executor:
  /// those taken, those used in the last 5 s, a share of its queue, and a
  /// small reserve. Never below usedSlots().
  Amounts desiredSlots(const std::string &Upstream, TimePoint Now) const;

  /// Units that this instance would like to hold, by team. Never below
  /// usedRequests().
  Amounts desiredRequests(TimePoint Now) const;

  /// Slots taken by sends in flight or in doubt, by executor. Only these have
  /// to be kept when the grant is lowered.
  Amounts usedSlots(const std::string &Upstream) const;

  /// Units taken by sends in flight or in doubt, by team.
  Amounts usedRequests() const;

  /// Slots held beyond desiredSlots(), by executor. Lower the grant here with
  /// setSlotGrants() before it is given back.
  Amounts releasableSlots(const std::string &Upstream, TimePoint Now) const;

  /// Units held beyond desiredRequests(), by team. Lower the grant here with
  /// setTeamGrants() before it is given back.
  Amounts releasableRequests(TimePoint Now) const;

  /// Refuses new submissions from now on; accepted requests go on.
  void drain();

  /// Drops all requests that wait in a queue; they did not run.
  std::vector<RequestFailure> failQueued(TimePoint Now);

  /// Requests that have no final result yet.
  std::size_t open() const;

  /// Requests that wait in a queue.
  std::size_t queued() const;

  /// Sends that have not been completed.
  std::size_t inFlight() const;

  /// Counters and levels for metrics and the state dump.
  RouterStats stats() const;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace apricotwing

#endif
