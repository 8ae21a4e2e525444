/// \file
/// What the instances of a cell tell each other, and what they store.
#ifndef APRICOTWING_CELL_MESSAGES_H
#define APRICOTWING_CELL_MESSAGES_H

#include "jobs/job.h"
#include "jobs/jobscheduler.h"
#include "jobs/jobspec.h"
#include "jobs/run.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace apricotwing::cell {

/// An entry instance, as it introduces itself.
struct InstanceInfo {
  std::string Name;
  std::string Address; ///< host:port for mail from peers.
  std::string Zone;
  double CpuShare = 1; ///< Part of a core that it may use.
};

/// The stored record of who leads. Rewritten by each commit of the leader.
struct LeaderRecord {
  std::int64_t Term = 0;     ///< Grows with each change of the leader.
  std::int64_t Sequence = 0; ///< Counts the commits of a term.
  std::string Process;       ///< Which process of the instance it is.
  InstanceInfo Instance;     ///< Empty name: the last leader has stepped down.
  std::string Successor;     ///< Instance that a leader steps down for.
  double LargestShare = 0;   ///< Of a core, among the members; 0: not known.
};

/// The stored record of workers that may be running something.
struct RosterEntry {
  jobs::WorkerIncarnation Life;
  std::string Address;
  std::string Zone;
};

/// A job handed in at a member.
struct Submission {
  std::uint64_t Tag = 0; ///< Chosen by the member; returned with the answer.
  jobs::JobSpec Job;
};

enum class SubmitResult { Accepted, Malformed, Busy };

struct SubmitAnswer {
  std::uint64_t Tag = 0;
  SubmitResult Result = SubmitResult::Accepted;
  std::int64_t RetryAfterMs = 0; ///< If Busy.
};

enum class QueryKind { State, Cancel, Pending };

struct Query {
  std::uint64_t Tag = 0;
  QueryKind Kind = QueryKind::State;
  std::string Subject; ///< A job's id, or a queue's name if Pending.
};

struct QueryAnswer {
  std::uint64_t Tag = 0;
  jobs::JobView View = jobs::JobView::Unknown;
  int Count = 0; ///< If Pending.
};

/// What a member reports of a worker in its care.
enum class WorkerEvent {
  Synced, ///< Complete lists, read with the present token.
  Ended,  ///< New ends.
  Reachable,
  Unreachable,
  Lapsed,    ///< Its lease has run out for certain.
  Fenced,    ///< Another holder has a higher token.
  LifeEnded, ///< Its process has ended; it may have been started again.
};

struct WorkerReport {
  WorkerEvent Event = WorkerEvent::Ended;
  jobs::WorkerIncarnation Life;
  std::int64_t Token = 0;
  std::vector<jobs::ActiveRun> Running;
  std::vector<jobs::EndedRun> Ended;
};

/// A start that did not happen and never will.
struct RefusedStart {
  jobs::WorkerIncarnation Life;
  std::string Task;
  std::int64_t Run = 0;
  jobs::StartRefusal Reason = jobs::StartRefusal::Expired;
};

struct AdviceAnswer {
  std::string Step;
  std::vector<std::string> Asked;
  bool Answered = false;
  std::vector<jobs::Approval> Approved;
};

/// Mail from a member to its leader.
struct MemberMail {
  std::vector<Submission> Submissions;
  std::vector<Query> Queries;
  std::vector<WorkerReport> Workers;
  std::vector<RefusedStart> Refused;
  std::vector<AdviceAnswer> Advice;
  bool Leaving = false; ///< The member is about to stop.
  /// Time since the store last answered the member; negative: its last call
  /// failed, or there was none.
  std::int64_t StoreAnswerAgeMs = -1;

  bool isEmpty() const {
    return Submissions.empty() && Queries.empty() && Workers.empty() &&
           Refused.empty() && Advice.empty();
  }
};

/// A worker that a member has to look after.
struct Assignment {
  jobs::WorkerIncarnation Life;
  std::string Address;
  std::int64_t Token = 0;
  std::int64_t AssumedLeaseMs = 0; ///< Longest lease that an earlier holder
                                   ///< may have given it, from now on.
};

/// Ends that are stored and may be forgotten by their worker.
struct EndAck {
  jobs::WorkerIncarnation Life;
  std::int64_t UpTo = 0;
};

/// Mail from the leader to a member.
struct LeaderMail {
  std::vector<SubmitAnswer> Submitted;
  std::vector<QueryAnswer> Answers;
  std::vector<Assignment> Assigned;
  std::vector<jobs::WorkerIncarnation> Dismissed;
  std::vector<jobs::StartCommand> Starts;
  std::vector<jobs::StopCommand> Stops;
  std::vector<EndAck> Acks;
  std::vector<jobs::AdviceRequest> Advice;
  std::int64_t MailGapMs = 0; ///< Least time between two mails of the member;
                              ///< 0: as before.

  bool isEmpty() const {
    return Submitted.empty() && Answers.empty() && Assigned.empty() &&
           Dismissed.empty() && Starts.empty() && Stops.empty() &&
           Acks.empty() && Advice.empty();
  }
};

/// The frame of each mail on a link.
struct Envelope {
  std::string Session;       ///< Chosen by the member for each link.
  std::int64_t Sequence = 0; ///< Counts the mails of one direction from 1.
  std::int64_t Term = 0;     ///< Of the leader that sends or is meant.
  bool FromLeader = false;
  InstanceInfo From;
  std::optional<MemberMail> ToLeader;
  std::optional<LeaderMail> ToMember;
};

/// The reply to an envelope.
struct Receipt {
  bool Accepted = false; ///< False: the session is not known (any more).
  bool Resigned = false; ///< The leader of that term decides nothing any more.
};

} // namespace apricotwing::cell

#endif
