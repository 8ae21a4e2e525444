/// \file
/// The state of an accepted job: its steps, their tasks, and the part that is
/// stored so that it survives the process that schedules the job.
#ifndef APRICOTWING_JOBS_JOB_H
#define APRICOTWING_JOBS_JOB_H

#include "core/nametable.h"
#include "core/time.h"
#include "jobs/crashhistory.h"
#include "jobs/jobspec.h"
#include "jobs/run.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace apricotwing::jobs {

/// State of a job as a whole.
enum class JobPhase {
  Active,
  Completed,
  Failed,
  Cancelled,
  Withdrawn, ///< Cancelled before it was submitted; unknown to callers.
};

inline constexpr NameTable<JobPhase, 5> JobPhaseNames = {{
    {JobPhase::Active, "active"},
    {JobPhase::Completed, "completed"},
    {JobPhase::Failed, "failed"},
    {JobPhase::Cancelled, "cancelled"},
    {JobPhase::Withdrawn, "withdrawn"},
}};

/// State of a task.
enum class TaskPhase {
  Ready,  ///< Not assigned to a worker.
  Placed, ///< Assigned to a worker; it may be running there.
  Done,
};

/// A run that may be active, with its worker.
struct PlacedRun {
  WorkerIncarnation Worker;
  std::int64_t Run = 0;
  /// The worker has confirmed the run. If not, its next process may begin it.
  bool Confirmed = false;

  friend bool operator==(const PlacedRun &, const PlacedRun &) = default;
};

/// The stored part of a step's state. It prevents that a finished task runs
/// again or that a failure is not counted after a change of leader. Placements
/// are stored before their start commands are sent, so a new leader knows on
/// which worker each task may be running.
struct StepProgress {
  std::vector<int> Done;           ///< Indices of finished tasks.
  std::map<int, PlacedRun> Placed; ///< By task index.
  std::map<int, int> Failures;     ///< Number of failed runs by task index.
  /// A worker has begun the step. Not set if a task is done, which shows that.
  bool Begun = false;
  int GangFailures = 0;           ///< Number of failed runs of the gang.
  std::int64_t LastFailedRun = 0; ///< Of the gang; counts as one failure.
  std::map<int, std::string> Checkpoints; ///< By index of unfinished tasks.
  /// Workers lost under unfinished tasks, by task index.
  std::map<int, std::vector<CrashRecord>> Crashes;

  friend bool operator==(const StepProgress &, const StepProgress &) = default;
};

/// The stored part of a job's state.
struct JobProgress {
  JobPhase Phase = JobPhase::Active;
  std::string Queue;
  std::vector<StepProgress> Steps;

  friend bool operator==(const JobProgress &, const JobProgress &) = default;
};

/// Tier of jobs that are past their firm deadline.
inline constexpr int ExpiredTier = 2;

/// Sort key of the waiting steps; see JobScheduler.
struct WaitRank {
  int Tier = 0;     ///< 0: on time, 1: late, 2: past its firm deadline.
  int Priority = 0; ///< Of the queue; 0 is the most urgent.
  TimePoint Due;    ///< Of the job, plus the step's UsageDelay.
  std::uint64_t Sequence = 0; ///< Order of acceptance.
  int Step = 0;

  friend bool operator<(const WaitRank &Left, const WaitRank &Right) {
    return Left.key() < Right.key();
  }

private:
  std::tuple<int, int, TimePoint, std::uint64_t, int> key() const {
    return {Tier, Priority, Due, Sequence, Step};
  }
};

/// Answer of the advice service about one worker for one step.
struct WorkerAdvice {
  WorkerIncarnation Worker;
  bool Approved = false;
  std::string Ticket;
  TimePoint Expires; ///< Expiry of the ticket; the approval remains valid.
};

/// State of one task, kept in memory.
struct TaskState {
  TaskPhase Phase = TaskPhase::Ready;
  WorkerIncarnation Worker; ///< Valid if the phase is Placed.
  std::int64_t Run = 0; ///< Number of the last known run; 0 if there is none.
  TimePoint PlacedAt;   ///< Valid if the phase is Placed.
  /// Its worker has confirmed the run; valid if the phase is Placed.
  bool Confirmed = false;
  TimePoint ReadySince; ///< When this leader learned that its last run is over.
  TimePoint LostRunAt; ///< Start of the last run that was lost with its worker.
  std::string Checkpoint;
  int Percent = 0;     ///< Last reported progress of the run; 0: none.
  TimePoint PercentAt; ///< When it was reported first.
  int Failures = 0;
  std::set<std::string> FailedOn; ///< Ids of workers on which a run failed.
  CrashHistory Crashes; ///< Of a gang's member: on which it was placed.
  /// How its last run ended; null while it has its first one, and once it is
  /// done.
  std::shared_ptr<const PreviousRun> Previous;

  /// True if it is placed on \p Host as the run \p Number.
  bool isPlacedAs(const WorkerIncarnation &Host, std::int64_t Number) const {
    return Phase == TaskPhase::Placed && Run == Number && Worker == Host;
  }
};

/// What kept a waiting step from being started when a round last considered it.
enum class WaitCause {
  NotConsidered, ///< No round has compared it with the workers yet.
  AccountLimit,  ///< Its account may not use more resources.
  RunActive,     ///< A run that is not placed must end first.
  MembersActive, ///< Members of the last run of its gang have not ended.
  Suspect,       ///< It may crash workers: a probe runs, or a pause lasts.
  AdvicePending, ///< Its call for advice has not been answered.
  AdviceBudget,  ///< The calls of other steps leave none for it.
  ResourcesDue,  ///< The free resources are planned for steps before it.
  NoSlots,       ///< The workers that may run it have too few free slots.
};

inline constexpr NameTable<WaitCause, 9> WaitCauseNames = {{
    {WaitCause::NotConsidered, "not_considered"},
    {WaitCause::AccountLimit, "account_limit"},
    {WaitCause::RunActive, "run_active"},
    {WaitCause::MembersActive, "members_active"},
    {WaitCause::Suspect, "suspect"},
    {WaitCause::AdvicePending, "advice_pending"},
    {WaitCause::AdviceBudget, "advice_budget"},
    {WaitCause::ResourcesDue, "resources_due"},
    {WaitCause::NoSlots, "no_slots"},
}};

/// State of one step, kept in memory.
struct StepState {
  std::vector<TaskState> Tasks;
  int DoneCount = 0;
  int ReadyCount = 0;
  /// A worker has begun a task, or workers have begun all members of the gang.
  bool HasBegun = false;
  /// True if its tasks add to the waiting work; see JobScheduler.
  bool CountsAsWaitingWork = true;
  int GangFailures = 0;
  std::int64_t LastFailedRun = 0; ///< Of the gang; counts as one failure.
  std::map<std::string, WorkerAdvice> Advice; ///< By worker id.
  bool AdviceInFlight = false;
  int FailedAdviceCalls = 0;           ///< Since the last answer.
  std::optional<TimePoint> LastCallAt; ///< When it last asked for advice.
  /// When the gang may next ask about a few workers although it cannot start.
  TimePoint NextFewWorkersCall;
  Duration FewWorkersPause{0}; ///< The last pause between two such calls.
  /// Number of slots that the gang claims, by worker id.
  std::map<std::string, int> Claimed;
  std::optional<WaitRank> Rank; ///< Set while the step is waiting.
  /// By which the past use of its account moves it back; valid with Rank.
  Duration UsageDelay{0};
  TimePoint QueuedAt;                         ///< When it began to wait.
  WaitCause Cause = WaitCause::NotConsidered; ///< Valid while it is waiting.
  /// When a round last compared it with the workers while it was waiting.
  std::optional<TimePoint> ComparedAt;
  /// When the step was first considered since its last start.
  std::optional<TimePoint> WaitingSince;
  /// A worker was lost under one of the tasks.
  bool HasCrashes = false;
  /// A suspect task has succeeded, so the step as a whole is not the cause.
  bool SuspectSucceeded = false;

  /// Since when a waiting step has waited for its next call for advice.
  TimePoint waitsForCallSince() const;

  /// True if the gang claims a slot for each of its tasks, so that it starts as
  /// soon as its tickets are valid.
  bool hasAllClaims() const;

  /// True if all tasks are placed and workers have confirmed their runs.
  bool isWholeConfirmed() const;

  /// The losses of workers under the gang of which the tasks are the members.
  CrashHistory gangCrashes() const;

  /// The losses by which \p Task is judged: those of the whole gang if it is a
  /// member of one.
  CrashHistory crashesOf(const TaskState &Task, bool Gang) const {
    return Gang ? gangCrashes() : Task.Crashes;
  }

  /// True if workers are likely to crash because of the step: at least two were
  /// lost under its unfinished tasks, and no suspect has succeeded since, or
  /// run for CrashHistory::DangerTime. One suspect is then started alone, as a
  /// probe for all of them.
  bool needsProbe(TimePoint Now) const;

  /// True if a suspect task is placed.
  bool isSuspectPlaced() const;

  /// Index of the suspect to start as the probe; -1 if none is ready.
  int nextProbe() const;
};

/// An accepted job. Owned by a JobScheduler and used on its thread only.
struct Job {
  JobSpec Spec;
  JobPhase Phase = JobPhase::Active;
  JobPhase StoredPhase = JobPhase::Active; ///< The phase that callers may see.
  bool HasBegun = false;                   ///< Workers have begun a step.
  bool Restored = false;                   ///< Accepted by an earlier leader.
  bool BeyondShare = false;      ///< Scheduled after jobs within their share.
  Duration RemainingEstimate{0}; ///< Critical path of the unfinished steps.
  TimePoint AcceptedAt;
  TimePoint Due;             ///< Completion after this time is late.
  TimePoint FirmDeadline;    ///< Completion after this time has no value.
  TimePoint EndedAt;         ///< Valid once the phase is final.
  std::string FailureReason; ///< For the log; set if the phase is Failed.
  std::uint64_t Sequence = 0;
  std::vector<StepState> Steps; ///< Empty if the tasks were released.
  std::size_t HeldBytes = 0;    ///< Of the MemoryBudget.

  /// True if all steps that \p Step depends on are done.
  bool isUnblocked(int Step) const;

  /// True if every task of \p Step is done.
  bool isStepDone(int Step) const;

  /// True if every task is done.
  bool isDone() const;

  /// True if a task is assigned to a worker.
  bool hasPlacedTask() const;

  /// Recomputes RemainingEstimate after a step has finished.
  void updateEstimate();

  /// The state to store.
  JobProgress progress() const;

  /// Initializes the steps and tasks from \p Stored.
  void restore(const JobProgress &Stored);
};

} // namespace apricotwing::jobs

#endif
