/// \file
/// Runs of tasks on workers: what workers report and what they are sent.
#ifndef APRICOTWING_JOBS_RUN_H
#define APRICOTWING_JOBS_RUN_H

#include "core/nametable.h"
#include "core/resources.h"
#include "core/time.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace apricotwing::jobs {

/// How a run ended.
enum class EndKind {
  Done,    ///< Succeeded.
  Failed,  ///< Failed because of the task or of its worker.
  Stopped, ///< Stopped on request.
  Lapsed,  ///< The lease of its worker expired.
  Broken,  ///< Another member of its gang ended.
  Alone,   ///< The other gang members did not start in time.
};

inline constexpr NameTable<EndKind, 6> EndKindNames = {{
    {EndKind::Done, "done"},
    {EndKind::Failed, "failed"},
    {EndKind::Stopped, "stopped"},
    {EndKind::Lapsed, "lapsed"},
    {EndKind::Broken, "broken"},
    {EndKind::Alone, "alone"},
}};

/// A run that a worker reports as running.
struct ActiveRun {
  std::string Task;
  std::int64_t Run = 0;
  std::string Checkpoint; ///< The last saved one; empty if there is none.
  int Percent = 0;        ///< Progress of the task, 0 to 100.
};

/// A run that a worker reports as ended, until the report is acknowledged.
struct EndedRun {
  std::int64_t Number = 0; ///< Sequence number of ended runs on one worker
                           ///< incarnation, from 1.
  std::string Task;
  std::int64_t Run = 0;
  EndKind Kind = EndKind::Done;
  std::string Checkpoint;
};

/// One incarnation of a worker. A worker that restarts under the same id is a
/// different incarnation.
struct WorkerIncarnation {
  std::string Id;
  std::int64_t StartedUnixMs = 0; ///< Unix time of its start, in ms.

  // The name that clang-tidy reports belongs to the generated comparison.
  // NOLINTBEGIN(readability-identifier-naming)
  friend auto operator<=>(const WorkerIncarnation &,
                          const WorkerIncarnation &) = default;
  // NOLINTEND(readability-identifier-naming)
};

/// Why the runs of a worker ended without a report of their ends.
enum class WorkerLoss {
  ProcessEnded, ///< Its process ended without notice.
  LeaseExpired, ///< It did not respond; its process may still exist.
  Gone,         ///< It never responded again and is no longer in the registry.
  Announced,    ///< Its process ended after it had announced that.
  Transferred,  ///< Another shard uses it; it had no runs.
  Refused,      ///< Like LeaseExpired, but its machine refused connections, or
                ///< another worker answered there, so its process has probably
                ///< ended.
};

inline constexpr NameTable<WorkerLoss, 6> WorkerLossNames = {{
    {WorkerLoss::ProcessEnded, "process_ended"},
    {WorkerLoss::LeaseExpired, "lease_expired"},
    {WorkerLoss::Gone, "gone"},
    {WorkerLoss::Announced, "announced"},
    {WorkerLoss::Transferred, "transferred"},
    {WorkerLoss::Refused, "refused"},
}};

/// What shows that the runs of a lost worker have ended.
enum class LossEvidence {
  Unknown,
  LeaseEnded,         ///< Its lease has ended on its own clock.
  LaterStartAnswered, ///< It answered and named a later start.
  NoRuns,             ///< It had none.
  NotInRoster,        ///< At a takeover: the stored roster has no such process.
};

inline constexpr NameTable<LossEvidence, 5> LossEvidenceNames = {{
    {LossEvidence::Unknown, "unknown"},
    {LossEvidence::LeaseEnded, "lease_ended"},
    {LossEvidence::LaterStartAnswered, "later_start_answered"},
    {LossEvidence::NoRuns, "no_runs"},
    {LossEvidence::NotInRoster, "not_in_roster"},
}};

/// What the end of a worker's lease was determined by.
enum class LeaseBasis {
  Unknown,
  Assumed, ///< What earlier sessions, or calls to a former process, may have
           ///< granted.
  Granted, ///< The calls of the session itself.
};

inline constexpr NameTable<LeaseBasis, 3> LeaseBasisNames = {{
    {LeaseBasis::Unknown, "unknown"},
    {LeaseBasis::Assumed, "assumed"},
    {LeaseBasis::Granted, "granted"},
}};

/// On what the loss of a worker's runs rests.
struct LossProof {
  LossEvidence Evidence = LossEvidence::Unknown;
  LeaseBasis Basis = LeaseBasis::Unknown; ///< If LeaseEnded.
  /// Time since the session sent its last call that may extend the lease, in
  /// ms; -1: none, or unknown.
  std::int64_t GrantAgeMs = -1;
  /// Time since the worker's last answer, in ms; -1: none, or unknown.
  std::int64_t AnswerAgeMs = -1;

  friend bool operator==(const LossProof &, const LossProof &) = default;
};

/// How a run ended, as far as the scheduler knows.
enum class RunOutcome {
  Unknown, ///< Only an earlier leader may know.
  Done,
  Failed,
  Stopped,
  Lapsed,
  Broken,
  Alone,
  Refused,   ///< It was not started.
  NotListed, ///< The complete lists of its worker do not have it.
  Lost,      ///< It was given up together with its worker.
};

inline constexpr NameTable<RunOutcome, 10> RunOutcomeNames = {{
    {RunOutcome::Unknown, "unknown"},
    {RunOutcome::Done, "done"},
    {RunOutcome::Failed, "failed"},
    {RunOutcome::Stopped, "stopped"},
    {RunOutcome::Lapsed, "lapsed"},
    {RunOutcome::Broken, "broken"},
    {RunOutcome::Alone, "alone"},
    {RunOutcome::Refused, "refused"},
    {RunOutcome::NotListed, "not_listed"},
    {RunOutcome::Lost, "lost"},
}};

/// The outcome of a run whose end was reported as \p Kind. Thread-safe.
constexpr RunOutcome outcomeOf(EndKind Kind) {
  switch (Kind) {
  case EndKind::Done:
    return RunOutcome::Done;
  case EndKind::Failed:
    return RunOutcome::Failed;
  case EndKind::Stopped:
    return RunOutcome::Stopped;
  case EndKind::Lapsed:
    return RunOutcome::Lapsed;
  case EndKind::Broken:
    return RunOutcome::Broken;
  case EndKind::Alone:
    return RunOutcome::Alone;
  }
  return RunOutcome::Unknown;
}

/// The last run of a task that runs again, for the log.
struct PreviousRun {
  std::int64_t Run = 0; ///< 0: unknown.
  std::string Worker;   ///< Id; empty: unknown.
  RunOutcome Outcome = RunOutcome::Unknown;
  /// When the next run was placed: time since the scheduler learned the
  /// outcome, or since it restored the job.
  Duration Age{0};
  WorkerLoss Cause = WorkerLoss::ProcessEnded; ///< If Lost.
  LossProof Proof = {};                        ///< If Lost.

  friend bool operator==(const PreviousRun &, const PreviousRun &) = default;
};

/// The reported end of a run that was taken for ended before, or that another
/// run of its task has replaced.
struct GivenUpEnd {
  std::string Task;
  std::int64_t Run = 0;
  WorkerIncarnation Worker;
  EndKind Kind = EndKind::Done;
  RunOutcome Believed = RunOutcome::Unknown; ///< What it was taken for.
  std::int64_t NewestRun = 0;                ///< Of its task; 0: none is known.
  std::string NewestWorker; ///< On which that is placed; empty: on none.
  bool Counts = false;      ///< The task is done by this end.
};

/// Description of a worker from the platform's registry.
struct WorkerInfo {
  WorkerIncarnation Incarnation;
  std::string Address; ///< host:port.
  std::string Zone;
  std::string Upstream;
  std::vector<std::string> Labels;
  Resources Capacity;
  bool Draining = false;
  /// Minimum time left while it is draining; zero: unknown.
  Duration Remaining{0};
  /// Draining is the conclusion of the leader; the worker announced nothing.
  bool DrainAssumed = false;
  Duration ColdRemaining{0}; ///< How much longer its runs are slow.

  friend bool operator==(const WorkerInfo &, const WorkerInfo &) = default;
};

/// A run that was lost together with its worker.
struct LostRun {
  std::string Task;
  std::int64_t Run = 0;
  WorkerIncarnation Worker;
  WorkerLoss Cause = WorkerLoss::ProcessEnded;
  Duration Age{0};       ///< Time since it was placed.
  int Losses = 0;        ///< Of workers under its task that count so far.
  bool Restored = false; ///< The leader knew it only from the stored state.
  LossProof Proof = {};
};

/// Command to start a run of a task.
struct StartCommand {
  WorkerIncarnation Worker;
  std::string Task;
  std::int64_t Run = 0;
  std::string Payload;
  std::string Ticket; ///< From the placement advice; empty if none is needed.
  std::string
      Checkpoint; ///< To resume from; empty to start from the beginning.
  /// The run before; empty if this is the first one, or if the leader is of an
  /// earlier version.
  std::optional<PreviousRun> Previous = std::nullopt;
};

/// Command to stop a run of a task.
struct StopCommand {
  WorkerIncarnation Worker;
  std::string Task;
  std::int64_t Run = 0;

  // NOLINTBEGIN(readability-identifier-naming)
  friend auto operator<=>(const StopCommand &, const StopCommand &) = default;
  // NOLINTEND(readability-identifier-naming)
};

/// Why a run has to end.
enum class StopCause {
  JobEnded,       ///< Its job was cancelled or has failed.
  GangIncomplete, ///< Another member of its gang does not run.
  NotPlaced,      ///< It is not placed on the worker that runs it.
  TaskDone,       ///< A former run of its task has succeeded.
  WorkerLeaving,  ///< It cannot end before a worker leaves.
};

inline constexpr NameTable<StopCause, 5> StopCauseNames = {{
    {StopCause::JobEnded, "job_ended"},
    {StopCause::GangIncomplete, "gang_incomplete"},
    {StopCause::NotPlaced, "not_placed"},
    {StopCause::TaskDone, "task_done"},
    {StopCause::WorkerLeaving, "worker_leaving"},
}};

/// A run, or a gang, that is stopped because a worker leaves.
struct Migration {
  StopCommand Run; ///< On the worker that leaves.
  Duration TimeLeft{0};
  Duration ExpectedRemaining{0}; ///< -1 ms: it runs until it is stopped.
  int Tasks = 1;                 ///< Runs that are stopped with it.
};

/// What is known of a run that has to end.
struct StopProgress {
  StopCause Cause = StopCause::JobEnded;
  TimePoint Since;     ///< When it was decided that the run has to end.
  TimePoint NextOrder; ///< Earliest time of the next order.
  int Orders = 0;      ///< Orders given so far.
};

/// Request to the advice service: which of the named workers may run a step.
struct AdviceRequest {
  std::string Step;
  std::vector<std::string> Workers;
  double CostMs = 0; ///< Expected duration of the call.
};

/// Approval of one worker by the advice service.
struct Approval {
  std::string Worker;
  std::string Ticket;
};

} // namespace apricotwing::jobs

#endif
