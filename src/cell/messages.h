/// \file
/// Messages between the instances of a cell, and stored records.
#ifndef APRICOTWING_CELL_MESSAGES_H
#define APRICOTWING_CELL_MESSAGES_H

#include "cell/workertransfer.h"
#include "jobs/job.h"
#include "jobs/jobscheduler.h"
#include "jobs/jobspec.h"
#include "jobs/run.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace apricotwing::cell {

/// Description that an entry instance sends of itself.
struct InstanceInfo {
  std::string Name;
  std::string Address; ///< host:port for messages from peers.
  std::string Zone;
  double CpuShare = 1; ///< Fraction of a core that it may use.
};

/// A time on the clock that the leaders of a shard share. Each leader continues
/// that of the former one from the last time that the former one stored, so the
/// clock stands still between terms and never runs ahead.
struct ShardTime {
  /// Term in which the clock was started. Times of different epochs can't be
  /// compared.
  std::int64_t Epoch = 0;
  std::int64_t Ms = 0; ///< Since the start of the epoch.

  bool operator==(const ShardTime &) const = default;
};

/// Stored past use of the accounts of a shard; see jobs::UsageHistory.
struct StoredUsage {
  ShardTime Time; ///< At which the shares were valid.
  std::map<std::string, double> Shares;
};

/// Stored record that names the current leader. Rewritten by each commit of the
/// leader.
struct LeaderRecord {
  std::int64_t Term = 0;     ///< Incremented by each change of the leader.
  std::int64_t Sequence = 0; ///< Number of the commit within the term.
  std::string Process; ///< Identifies the leader's process among all processes
                       ///< of the instance.
  InstanceInfo Instance; ///< Empty name: the last leader has stepped down.
  /// Preferred next leader after a step-down; may be empty.
  std::string Successor;
  /// Largest CPU share of any member; 0 if unknown.
  double LargestCpuShare = 0;
  /// Number of members; in the first record of a term, that of the last term. 0
  /// if unknown.
  int Members = 0;
  ShardLoad Load;
  /// Not later than the commit. Epoch 0: stored by an earlier version.
  ShardTime Time;
};

/// A run whose start no process of its worker is known to have confirmed, so
/// its next process may have carried out the order.
struct UnconfirmedStart {
  std::string Task;
  std::int64_t Run = 0;
  /// When the order was sent last, or the latest time at which it may have
  /// been, in ms: before now in messages, of the time of the shard in stored
  /// records. May be negative.
  std::int64_t SentMs = 0;

  bool operator==(const UnconfirmedStart &) const = default;
};

/// Stored record of a worker that may have active runs.
struct RosterEntry {
  jobs::WorkerIncarnation Incarnation;
  std::string Address;
  std::string Zone;
  /// If set, no lease of the worker ends later, and none is extended before a
  /// commit has removed this time.
  std::optional<ShardTime> LeaseEnd;
  /// Latest end of a lease that calls to a former process of the worker may
  /// have set. Empty: stored by an earlier version.
  std::optional<ShardTime> FormerLeaseEnd;
  /// Starts that a next process may have carried out, as known when the row was
  /// stored, in the epoch of its other times. Empty: not known.
  std::optional<std::vector<UnconfirmedStart>> UnconfirmedStarts = std::nullopt;
};

/// Stored progress of some tasks of a job that has several such rows.
struct ProgressPart {
  int FirstStep = 0; ///< Index of the step that the first entry belongs to.
  std::vector<jobs::StepProgress> Steps;

  friend bool operator==(const ProgressPart &, const ProgressPart &) = default;
};

/// A job that a caller submitted.
struct Submission {
  /// Correlation id that the sender chooses; echoed in the answer.
  std::uint64_t Tag = 0;
  jobs::JobSpec Job;
};

enum class SubmitResult {
  Accepted,
  Malformed,
  Busy,
  UnknownQueue, ///< Not accepted: the policies of both instances differ.
};

struct SubmitAnswer {
  std::uint64_t Tag = 0;
  SubmitResult Result = SubmitResult::Accepted;
  std::int64_t RetryAfterMs = 0; ///< If Busy.
};

enum class QueryKind { State, Cancel, Pending };

struct Query {
  std::uint64_t Tag = 0;
  QueryKind Kind = QueryKind::State;
  std::string Subject; ///< Job id; the queue name if Pending.
};

struct QueryAnswer {
  std::uint64_t Tag = 0;
  jobs::JobView View = jobs::JobView::Unknown;
  int Count = 0; ///< If Pending.
  /// If Cancel: too many cancellations of unknown jobs are remembered, so this
  /// one was not carried out.
  bool Refused = false;
};

/// Calls of callers that an instance sends to the leader of a shard.
struct CallBatch {
  int Shard = 0;
  std::int64_t Term = 0;          ///< Term of the leader that is addressed.
  std::string Process;            ///< Identifies the sending process.
  std::int64_t PolicyVersion = 0; ///< In force at the sender.
  std::vector<Submission> Submissions;
  std::vector<Query> Queries;
};

enum class BatchOutcome {
  Answered,
  NotLeader, ///< The receiver does not lead the shard in that term.
};

/// The reply to a batch of calls. Calls without an answer may be sent again.
struct CallBatchReply {
  BatchOutcome Outcome = BatchOutcome::Answered;
  std::vector<SubmitAnswer> Submitted;
  std::vector<QueryAnswer> Answers;
};

/// Kind of a report about a worker that a member supervises.
enum class WorkerEvent {
  Synced, ///< Complete lists of runs, read with the current fencing token.
  Ended,  ///< Newly ended runs.
  Reachable,
  Unreachable,
  LeaseExpired, ///< Its lease has definitely expired. Running has the runs that
                ///< its next process may have, if there is one.
  Fenced, ///< The session is over: another one has a higher fencing token, or
          ///< the worker runs what no session should have started.
  ProcessEnded, ///< Its process has ended and has been restarted. Ended has
                ///< what the next one carried out of the orders to the former
                ///< one.
  LeaseFrozen,  ///< The session does not extend the lease before it gets a
                ///< LeaseRelease.
};

struct WorkerReport {
  WorkerEvent Event = WorkerEvent::Ended;
  jobs::WorkerIncarnation Incarnation;
  std::int64_t Token = 0;
  std::vector<jobs::ActiveRun> Running;
  std::vector<jobs::EndedRun> Ended;
  /// If LeaseExpired: the last call was refused a connection or answered by
  /// another worker.
  bool ProcessAbsent = false;
  /// Age of the worker's last response at the time of the report; -1: none has
  /// arrived in this session.
  std::int64_t AnswerAgeMs = -1;
  /// If LeaseExpired: what the end of the lease was determined by, and the time
  /// since the last call that may extend it was sent; -1: none. Instances of
  /// earlier versions do not send them.
  jobs::LeaseBasis Basis = jobs::LeaseBasis::Unknown;
  std::int64_t GrantAgeMs = -1;
  /// If ProcessEnded: start time that the next process has named.
  std::int64_t AnsweredStartUnixMs = 0;
  /// If LeaseFrozen: time until the latest end of the lease.
  std::int64_t RemainingLeaseMs = 0;
  /// If LeaseFrozen: the starts that are not confirmed. Empty: the member is of
  /// an earlier version and does not tell.
  std::optional<std::vector<UnconfirmedStart>> UnconfirmedStarts = std::nullopt;
};

/// A start order that the process of the worker has carried out.
struct ConfirmedStart {
  jobs::WorkerIncarnation Incarnation;
  std::string Task;
  std::int64_t Run = 0;
};

/// A start order that was not executed and never will be.
struct RefusedStart {
  jobs::WorkerIncarnation Incarnation;
  std::string Task;
  std::int64_t Run = 0;
  jobs::StartRefusal Reason = jobs::StartRefusal::Expired;
};

struct AdviceAnswer {
  std::string Step;
  std::vector<std::string> RequestedWorkers;
  bool Answered = false;
  std::vector<jobs::Approval> Approved;
  /// How long the member's call took; negative if unknown.
  std::int64_t CallMs = -1;
};

/// Message from a member to its leader.
struct MemberMessage {
  std::vector<WorkerReport> Workers;
  std::vector<RefusedStart> Refused;
  /// Not urgent, so sent with the next message for another reason.
  std::vector<ConfirmedStart> Confirmed;
  std::vector<AdviceAnswer> Advice;
  bool Leaving = false; ///< The member is shutting down.
  /// Time since the store last responded to the member; negative if the last
  /// call failed or there was no call yet.
  std::int64_t StoreResponseAgeMs = -1;
  /// Number of other shards that the member's instance leads.
  int OtherShardsLed = 0;
  /// The member respects Assignment::LeaseFrozen. Instances of earlier versions
  /// do not send it.
  bool FreezesLeases = false;

  bool isEmpty() const {
    return Workers.empty() && Refused.empty() && Advice.empty();
  }
};

/// Assigns the supervision of a worker to a member.
struct Assignment {
  jobs::WorkerIncarnation Incarnation;
  std::string Address;
  std::int64_t Token = 0;
  std::int64_t AssumedLeaseMs = 0; ///< Longest remaining lease that an earlier
                                   ///< session may have granted, from now.
  /// Whether the lease must not be extended before the session gets a
  /// LeaseRelease. Empty: the leader is of an earlier version and sends none.
  std::optional<bool> LeaseFrozen = false;
  /// No session is known to have had an answer of this process. Until its first
  /// one, it may carry out calls to a former process of the worker.
  bool FirstContact = false;
  /// Starts of earlier sessions. Leaders of earlier versions send none.
  std::vector<UnconfirmedStart> UnconfirmedStarts = {};
};

/// Allows a session to extend a frozen lease again.
struct LeaseRelease {
  jobs::WorkerIncarnation Incarnation;
  std::int64_t Token = 0; ///< Of the session.
};

/// Acknowledges ended runs that are stored, so that the worker may drop them.
struct EndedRunsAck {
  jobs::WorkerIncarnation Incarnation;
  std::int64_t UpTo = 0;
};

/// Asks an instance who leads a shard.
struct LeaderQuery {
  int Shard = 0;
};

struct LeaderAnswer {
  std::optional<LeaderRecord> Leader; ///< Empty: not known.
};

/// Message from the leader to a member.
struct LeaderMessage {
  std::vector<Assignment> Assigned;
  std::vector<jobs::WorkerIncarnation> Revoked;
  std::vector<jobs::StartCommand> Starts;
  std::vector<jobs::StopCommand> Stops;
  std::vector<EndedRunsAck> Acks;
  std::vector<LeaseRelease> Released;
  std::vector<jobs::AdviceRequest> Advice;
  /// Addresses of the instances to ask for the leader while the store does not
  /// answer; empty: unchanged.
  std::vector<std::string> Contacts;

  bool isEmpty() const {
    return Assigned.empty() && Revoked.empty() && Starts.empty() &&
           Stops.empty() && Acks.empty() && Released.empty() &&
           Advice.empty() && Contacts.empty();
  }
};

/// Frame of each message on a link.
struct Envelope {
  int Shard = 0;
  std::string Session; ///< Chosen by the member for each link.
  /// Number of the message in its direction, starting at 1.
  std::int64_t Sequence = 0;
  std::int64_t Term = 0; ///< Term of the leader that sends or is addressed.
  bool FromLeader = false;
  /// The member belongs to another shard and only helps out in this one.
  bool Guest = false;
  InstanceInfo From;
  std::int64_t PolicyVersion = 0; ///< In force at the sender.
  std::optional<MemberMessage> ToLeader;
  std::optional<LeaderMessage> ToMember;
};

/// The reply to an envelope.
struct EnvelopeReply {
  bool Accepted = false; ///< False if the session is unknown or closed.
  bool Resigned = false; ///< The leader of that term has resigned.
  bool Full = false;     ///< The leader needs no more guests.
  /// Largest CPU share of any member; 0: unknown, or not sent by a leader.
  double LargestCpuShare = 0;
};

} // namespace apricotwing::cell

#endif
