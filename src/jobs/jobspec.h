/// \file
/// What a caller hands in: a job of steps, each with a number of tasks.
#ifndef APRICOTWING_JOBS_JOBSPEC_H
#define APRICOTWING_JOBS_JOBSPEC_H

#include "core/resources.h"
#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace apricotwing::jobs {

/// A value type: one step of a job. All tasks of a step are alike.
struct StepSpec {
  int Count = 1;              ///< Number of tasks, at least 1.
  Resources Request;          ///< What one task takes of its worker.
  Duration Estimate{0};       ///< Rough run time of one task.
  std::vector<int> After;     ///< Earlier steps that must be done first.
  bool Gang = false;          ///< All tasks run together or not at all.
  bool SameRack = false;      ///< Slower if spread over racks.
  bool Checkpointing = false; ///< Tasks save their progress.
  bool Speculative = false;   ///< Copies of a task may run in parallel.
  bool LongRunning = false;   ///< Runs until the job is cancelled.
  bool BestEffort = false;    ///< Uses only processors left unused.
  std::string RequiredLabel;  ///< Label that a worker must have.
  std::string PreferredRack;  ///< Rack of the data; slower elsewhere.
  int MaxPerWorker = 0;       ///< Largest number on one worker; 0: any.
  std::string Image;          ///< What the tasks run.
  int TailTargetMs = 0;       ///< Target of a long-running task's users.
  int MissTolerance = 0;      ///< Tasks that may be away at one time.

  friend bool operator==(const StepSpec &, const StepSpec &) = default;
};

/// A value type: a job as it was accepted.
struct JobSpec {
  std::string Id;
  std::string Queue;   ///< Name of the queue in the policy.
  std::string Account; ///< Name of the client account; may be empty.
  std::string Payload; ///< Passed to each task unchanged.
  std::vector<StepSpec> Steps;
  std::int64_t AcceptedUnixMs = 0; ///< Time of day of the acceptance.

  friend bool operator==(const JobSpec &, const JobSpec &) = default;
};

/// A value type: the name of one task of one occurrence of a job.
struct TaskId {
  std::string Job;
  int Occurrence = 0;
  int Step = 0;
  int Index = 0;

  /// "job.occurrence.step.index". Thread-safe.
  std::string text() const;

  /// The task named \p Text; empty if it is not such a name. Thread-safe.
  static std::optional<TaskId> parse(std::string_view Text);

  friend bool operator==(const TaskId &, const TaskId &) = default;
};

/// "job.occurrence.step", the name under which placement advice is asked for.
/// Thread-safe.
std::string stepName(const std::string &Job, int Step);

/// Why \p Spec cannot be a job; empty if it is well-formed: at least one step,
/// every count positive and steps that depend only on earlier ones.
/// Thread-safe.
std::optional<std::string> validationError(const JobSpec &Spec);

/// Estimated run time of the longest chain of steps. Thread-safe.
Duration longestChain(const JobSpec &Spec);

} // namespace apricotwing::jobs

#endif
