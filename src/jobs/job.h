/// \file
/// The state of an accepted job: its steps, their tasks and what must outlive
/// the process that schedules it.
#ifndef APRICOTWING_JOBS_JOB_H
#define APRICOTWING_JOBS_JOB_H

#include "core/nametable.h"
#include "core/time.h"
#include "jobs/jobspec.h"
#include "jobs/run.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace apricotwing::jobs {

/// Where a job stands as a whole.
enum class JobPhase { Active, Completed, Failed, Cancelled };

inline constexpr NameTable<JobPhase, 4> JobPhaseNames = {{
    {JobPhase::Active, "active"},
    {JobPhase::Completed, "completed"},
    {JobPhase::Failed, "failed"},
    {JobPhase::Cancelled, "cancelled"},
}};

/// Where a task stands.
enum class TaskPhase {
  Ready,  ///< It runs nowhere.
  Placed, ///< It was decided to run on a worker and may run there.
  Done,
};

/// A run that may be active, and where.
struct PlacedRun {
  WorkerIncarnation Worker;
  std::int64_t Run = 0;

  friend bool operator==(const PlacedRun &, const PlacedRun &) = default;
};

/// The part of a step's state that is stored, because a repeated run or a
/// forgotten failure would break a promise. Placements are stored before
/// their starts are sent, so a new leader knows where to look for each task.
struct StepProgress {
  std::vector<int> Done;                  ///< Indices of finished tasks.
  std::map<int, PlacedRun> Placed;        ///< By task.
  std::map<int, int> Failures;            ///< Failed runs by task.
  int GangFailures = 0;                   ///< Failed runs of the whole gang.
  std::int64_t LastFailedRun = 0;         ///< Of the gang; counted once.
  std::map<int, std::string> Checkpoints; ///< Of tasks that wait to resume.

  friend bool operator==(const StepProgress &, const StepProgress &) = default;
};

/// The part of a job's state that is stored.
struct JobProgress {
  JobPhase Phase = JobPhase::Active;
  std::string Queue;
  std::vector<StepProgress> Steps;

  friend bool operator==(const JobProgress &, const JobProgress &) = default;
};

/// Tier of jobs whose completion has no value any more.
inline constexpr int UselessTier = 2;

/// Order in which waiting steps are served; see JobScheduler.
struct WaitRank {
  int Tier = 0;     ///< 0: can end in time; 1: late; 2: of no use any more.
  int Priority = 0; ///< Of the queue; 0 comes first.
  TimePoint Due;
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

/// What the advice service has said about one worker for one step.
struct AdviceEntry {
  WorkerIncarnation Worker;
  bool Approved = false;
  std::string Ticket;
  TimePoint Expires; ///< Of the ticket; the approval itself stays.
};

struct TaskState {
  TaskPhase Phase = TaskPhase::Ready;
  WorkerIncarnation Worker; ///< If Placed.
  std::int64_t Run = 0;     ///< The last run known; 0: none.
  TimePoint PlacedAt;       ///< If Placed.
  std::string Checkpoint;
  int Failures = 0;
  std::set<std::string> FailedOn; ///< Ids of workers where a run failed.
};

struct StepState {
  std::vector<TaskState> Tasks;
  int DoneCount = 0;
  int ReadyCount = 0;
  bool CountsAsWork = true; ///< In the waiting work; see JobScheduler.
  int GangFailures = 0;
  std::int64_t LastFailedRun = 0; ///< Of the gang, so it counts once.
  std::map<std::string, AdviceEntry> Advice; ///< By worker id.
  bool AdviceInFlight = false;
  std::set<std::string> Claimed; ///< Ids of workers with claims of the gang.
  std::optional<WaitRank> Rank;  ///< Set while the step waits.
};

/// One accepted job. Owned by a JobScheduler and used on its thread only.
struct Job {
  JobSpec Spec;
  JobPhase Phase = JobPhase::Active;
  JobPhase StoredPhase = JobPhase::Active; ///< What callers may be told.
  bool Started = false;                    ///< Some task is placed or has run.
  bool Ran = false;                        ///< A worker has listed a run of it.
  bool BeyondShare = false;      ///< Served after those within their share.
  Duration RemainingEstimate{0}; ///< Time that the unfinished part takes.
  TimePoint AcceptedAt;
  TimePoint Due;     ///< Later completion is late.
  TimePoint Useless; ///< Later completion has no value.
  TimePoint EndedAt; ///< Once the phase is final.
  std::uint64_t Sequence = 0;
  std::vector<StepState> Steps;

  /// True if all steps that \p Step waits for are done.
  bool isUnblocked(int Step) const;

  /// True if every task of \p Step is done.
  bool isStepDone(int Step) const;

  /// True if every task is done.
  bool isDone() const;

  /// Computes RemainingEstimate again, after a step has ended.
  void updateEstimate();

  /// What has to be stored.
  JobProgress progress() const;

  /// Sets the tasks up from \p Stored.
  void restore(const JobProgress &Stored);
};

} // namespace apricotwing::jobs

#endif
