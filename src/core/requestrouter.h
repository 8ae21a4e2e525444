/// \file
/// Routing of interactive requests: admission, queueing, selection of the
/// executor, and handling of the result of a send.
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
  InstanceId Instance; ///< Hashed to spread instances over executors.
  std::string Zone; ///< This instance's availability zone, preferred on ties.
  std::size_t QueuePerTeam = 64;
  /// Maximum number of requests in all queues. A team may use at most half of
  /// it.
  std::size_t QueueTotal = 1024;
  /// Longest permitted time from submission to the deadline. Slots of an
  /// instance that has failed are reclaimed only after this time.
  Duration MaxDeadline = std::chrono::seconds(10);
};

/// Metadata of an interactive request that the router needs. The daemon keeps
/// the body.
struct RequestMetadata {
  std::string Id; ///< Unique in the cell.
  TeamName Team;
  /// Hash of the key sent with the request. A queued request fails if the key
  /// is revoked. If empty, the key is not checked.
  std::string KeySha256;
  std::string Upstream;
  bool Idempotent = false;
  TimePoint Deadline;
};

/// A send that the daemon has to perform now.
struct RequestSend {
  std::string Id;
  std::uint32_t Attempt = 0; ///< Number of the send of this request, from 1.
  std::string Executor;
  std::string Address; ///< "ip:port".
  bool Idempotent = false;
  Duration Timeout{0}; ///< Positive; ends at or before the deadline.
  TimePoint Deadline;  ///< Deadline of the request.
};

/// Result of a send, reported to the router.
struct SendReport {
  std::string Id;
  std::uint32_t Attempt = 0;
  SendResult Result = SendResult::InDoubt;
  int Status = 0;       ///< HTTP status of a response.
  bool Leaving = false; ///< The executor reported that it is leaving.
  Duration Latency{0};  ///< From the start of the send to its end.
  std::string Detail;   ///< Reason for a missing response.
  /// maySend() returned false, so nothing was sent and the executor is not at
  /// fault.
  bool Withheld = false;
};

/// Final result of a request without a response.
struct RequestFailure {
  std::string Id;
  Error Reason; ///< With outcome NotRun or Unknown.
};

enum class CompletionAction {
  Deliver, ///< Deliver the executor's response to the caller.
  Retry,   ///< Do nothing; the request is queued for another send.
  Fail,    ///< Deliver Failure to the caller.
  Ignore,  ///< Do nothing; the request already has its final result.
};

/// Returns "deliver", "retry", "fail" or "ignore". Thread-safe.
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
  std::uint64_t FailedNotRun = 0;  ///< Queued requests that did not run.
  std::uint64_t FailedUnknown = 0; ///< Queued requests that may have run.
  std::uint64_t Retries = 0;
  std::uint64_t RetriesDenied = 0; ///< Because the retry budget was used up.
  std::uint64_t Ejections = 0;
  std::map<ErrorKind, std::uint64_t> Refused; ///< Rejected by submit().
  std::size_t Queued = 0;
  std::size_t InFlight = 0;     ///< Sends that are not completed.
  std::size_t SlotsTaken = 0;   ///< In flight or in doubt.
  std::size_t SlotsGranted = 0; ///< On executors that accept requests.
  std::map<TeamName, std::size_t> QueuedByTeam;
  std::map<TeamName, std::size_t> TakenByTeam; ///< In flight or in doubt.
};

/// State machine for the interactive requests of one instance. Owned by the
/// daemon, which calls it under one mutex and performs the sends that
/// dispatch() returns. A request holds one slot of its executor and one unit of
/// its team's grant from dispatch() until its response arrives. If the send is
/// in doubt, it holds them until MaxDeadline after the router stopped waiting
/// for the response. No method is thread-safe. Times passed in must not
/// decrease.
class RequestRouter {
public:
  /// Granted amounts by unit, that is by executor or by team.
  using Amounts = std::map<std::string, std::int64_t>;

  explicit RequestRouter(RouterOptions Options);
  ~RequestRouter();
  RequestRouter(const RequestRouter &) = delete;
  RequestRouter &operator=(const RequestRouter &) = delete;

  /// Applies a configuration: teams with shares and limits, keys, and upstreams
  /// with slots and connections. The next dispatch() returns the queued
  /// requests that are no longer permitted as failures.
  void setConfig(const Config &Value);

  /// Replaces the list of executors. Executors that are leaving or absent
  /// receive no new requests. An executor that reported itself that it is
  /// leaving is excluded until the list no longer shows it as live, or for 10
  /// min.
  void setExecutors(const std::vector<ListedExecutor> &List, TimePoint Now);

  /// Replaces the slots of \p Upstream that are granted to this instance, by
  /// executor. If a grant is lowered, sends in flight keep their slots.
  void setSlotGrants(const std::string &Upstream, const Amounts &ByExecutor);

  /// Replaces the granted numbers of concurrent requests of this instance, by
  /// team.
  void setTeamGrants(const Amounts &ByTeam);

  /// Sets the time, exclusive, until which this instance has the authority to
  /// send. Without authority, no requests are accepted or dispatched.
  void setAuthority(TimePoint ValidUntil);

  /// Queues a request. Throws Error with outcome NotRun and one of the kinds
  /// NoAuthority, Draining, NotFound (unknown upstream), Forbidden (unknown
  /// team), UnknownKey (revoked key), LimitReached, UpstreamFailed (no live
  /// executor), Overloaded (the queue is full, or so long that the deadline
  /// cannot be met), DeadlineExceeded, or BadRequest (the id is in use, or the
  /// deadline is too far in the future).
  void submit(const RequestMetadata &Metadata, TimePoint Now);

  /// Returns the sends to perform now and the requests that have failed:
  /// expired, evicted from a full queue, no longer permitted, or without a
  /// report of their send by the deadline. Must be called after every other
  /// call that changes the state, and at nextWakeup().
  DispatchResult dispatch(TimePoint Now);

  /// Returns true if the send may still start: the authority and the deadline
  /// have not expired, the executor is live, and the configuration still
  /// permits the request. Must be called immediately before the first byte is
  /// written. If it returns false, report SendResult::NotSent with Withheld.
  bool maySend(const RequestSend &Send, TimePoint Now) const;

  /// Processes the result of a send and returns the next action. There must be
  /// exactly one report for each send; a second one is ignored.
  CompletionResult complete(const SendReport &Report, TimePoint Now);

  /// Returns the earliest time at which dispatch() has to be called even if
  /// there is no other call before; empty if there is none.
  std::optional<TimePoint> nextWakeup() const;

  /// Returns the slots of \p Upstream that this instance should hold, by
  /// executor: slots taken now, the recent peak (last 5 s), slots for queued
  /// requests, and a small reserve. Never below usedSlots().
  Amounts desiredSlots(const std::string &Upstream, TimePoint Now) const;

  /// Returns the units that this instance should hold, by team. Never below
  /// usedRequests().
  Amounts desiredRequests(TimePoint Now) const;

  /// Returns the slots taken by sends in flight or in doubt, by executor. A
  /// grant must not be lowered below them.
  Amounts usedSlots(const std::string &Upstream) const;

  /// Returns the units taken by sends in flight or in doubt, by team.
  Amounts usedRequests() const;

  /// Returns the granted slots beyond desiredSlots(), by executor. Before they
  /// are released, the grant must be lowered here with setSlotGrants().
  Amounts releasableSlots(const std::string &Upstream, TimePoint Now) const;

  /// Returns the granted units beyond desiredRequests(), by team. Before they
  /// are released, the grant must be lowered here with setTeamGrants().
  Amounts releasableRequests(TimePoint Now) const;

  /// Rejects all further submissions; accepted requests are still processed.
  void drain();

  /// Fails all queued requests with outcome NotRun.
  std::vector<RequestFailure> failQueued(TimePoint Now);

  /// Returns the number of requests without a final result.
  std::size_t open() const;

  /// Returns the number of queued requests.
  std::size_t queued() const;

  /// Returns the number of sends that are not completed.
  std::size_t inFlight() const;

  /// Returns counters and gauges for metrics and the state dump.
  RouterStats stats() const;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace apricotwing

#endif
