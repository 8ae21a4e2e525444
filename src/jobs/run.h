/// \file
/// Runs of tasks on workers: what workers report and what they are sent.
#ifndef APRICOTWING_JOBS_RUN_H
#define APRICOTWING_JOBS_RUN_H

#include "core/nametable.h"
#include "core/resources.h"
#include "core/time.h"

#include <array>
#include <cstdint>
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

/// Description of a worker from the platform's registry.
struct WorkerInfo {
  WorkerIncarnation Incarnation;
  std::string Address; ///< host:port.
  std::string Zone;
  std::string Upstream;
  std::vector<std::string> Labels;
  Resources Capacity;
  bool Draining = false;
  Duration Remaining{0}; ///< Minimum time left while it is draining.

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
};

inline constexpr NameTable<StopCause, 4> StopCauseNames = {{
    {StopCause::JobEnded, "job_ended"},
    {StopCause::GangIncomplete, "gang_incomplete"},
    {StopCause::NotPlaced, "not_placed"},
    {StopCause::TaskDone, "task_done"},
}};

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
