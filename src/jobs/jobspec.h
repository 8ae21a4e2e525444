/// \file
/// A job as a caller submits it: steps with a number of tasks each.
#ifndef APRICOTWING_JOBS_JOBSPEC_H
#define APRICOTWING_JOBS_JOBSPEC_H

#include "core/resources.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace apricotwing::jobs {

/// One step of a job. All tasks of a step are identical. A value type.
struct StepSpec {
  int Count = 1;          ///< Number of tasks, at least 1.
  Resources Request;      ///< Resources that one task takes on its worker.
  Duration Estimate{0};   ///< Estimated run time of one task.
  std::vector<int> After; ///< Indices of earlier steps that must finish first.
  bool Gang = false;      ///< All tasks run at the same time or none does.
  bool SameRack = false;  ///< Runs slower if spread over several racks.
  bool Checkpointing = false; ///< Tasks save checkpoints.
  bool Speculative = false;   ///< Several copies of a task may run in parallel.
  bool LongRunning = false;   ///< Runs until the job is cancelled.
  bool BestEffort = false;   ///< Uses only processors that others leave unused.
  std::string RequiredLabel; ///< Label that a worker must have.
  std::string
      PreferredRack;     ///< Rack with the data; tasks run slower elsewhere.
  int MaxPerWorker = 0;  ///< Maximum number of tasks on one worker; 0: any.
  std::string Image;     ///< Image that the tasks run.
  int TailTargetMs = 0;  ///< Tail latency target of a long-running task.
  int MissTolerance = 0; ///< Tasks that may be down at the same time.

  friend bool operator==(const StepSpec &, const StepSpec &) = default;
};

/// A job as it was accepted. A value type.
struct JobSpec {
  std::string Id;
  std::string Queue;   ///< Name of the queue in the policy.
  std::string Account; ///< Name of the client account; may be empty.
  std::string Payload; ///< Passed to each task unchanged.
  std::vector<StepSpec> Steps;
  std::int64_t AcceptedUnixMs = 0; ///< Unix time of the acceptance, in ms.

  friend bool operator==(const JobSpec &, const JobSpec &) = default;
};

/// Identifies one task of one occurrence of a job. A value type.
struct TaskId {
  std::string Job;
  int Occurrence = 0;
  int Step = 0;
  int Index = 0;

  /// "job.occurrence.step.index". Thread-safe.
  std::string text() const;

  /// Parses the form that text() returns; empty if \p Text does not have that
  /// form. Thread-safe.
  static std::optional<TaskId> parse(std::string_view Text);

  friend bool operator==(const TaskId &, const TaskId &) = default;
};

/// "job.occurrence.step", the name of a step in requests for placement advice.
/// Thread-safe.
std::string stepName(const std::string &Job, int Step);

/// Limits of a well-formed job. They are far above what a cell can run; without
/// them a single job could use up the memory of each instance that reads it.
inline constexpr int MaxTasksPerJob = 20'000;
inline constexpr std::size_t MaxStepsPerJob = 256;
inline constexpr std::size_t MaxPayloadBytes = 32'000;
inline constexpr std::size_t MaxNameBytes = 256; ///< Of a label or an image.
inline constexpr std::int64_t MaxAmountPerTask = 1'000'000'000'000;
inline constexpr Duration MaxEstimate{std::chrono::hours(24 * 365)};

/// Returns what is wrong with \p Spec, or nothing if it is well-formed: it has
/// at least one step, every task count is positive, no resource or estimate is
/// negative, nothing is beyond the limits above, and steps depend only on
/// earlier steps.
/// All other functions for jobs require a well-formed one. Thread-safe.
std::optional<std::string> validationError(const JobSpec &Spec);

/// Length of the critical path: the estimated run time of the longest chain of
/// dependent steps. Thread-safe.
Duration criticalPath(const JobSpec &Spec);

} // namespace apricotwing::jobs

#endif
