/// \file
/// Runs and tasks: what callers submit and what workers execute.
#ifndef APRICOTWING_CORE_RUN_H
#define APRICOTWING_CORE_RUN_H

#include "core/resources.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace apricotwing {

using InstanceId = std::string;
using WorkerId = std::string;
using TeamName = std::string;
using RunId = std::string;
using ShardId = std::string;
using Epoch = std::uint64_t;
using Labels = std::map<std::string, std::string>;

enum class RunKind { Batch, Gang, Service };
enum class Priority { Normal, Urgent };

/// What happens to a task whose attempt ended without a known outcome.
enum class LostPolicy { Restart, Fail };

enum class RunState {
  Accepted,
  Pending,
  Running,
  Succeeded,
  Failed,
  Cancelled,
  Unschedulable,
};

enum class TaskState {
  Pending,
  Starting,
  Running,
  Stopping,
  Succeeded,
  Failed,
  Cancelled,
  Lost,
};

/// Conversion to and from the names used in JSON and in logs. All functions are
/// thread-safe. The parse functions throw Error(BadRequest) for an unknown
/// name.
std::string_view runKindName(RunKind Value);
RunKind parseRunKind(std::string_view Name);
std::string_view priorityName(Priority Value);
Priority parsePriority(std::string_view Name);
std::string_view lostPolicyName(LostPolicy Value);
LostPolicy parseLostPolicy(std::string_view Name);
std::string_view runStateName(RunState Value);
RunState parseRunState(std::string_view Name);
std::string_view taskStateName(TaskState Value);
TaskState parseTaskState(std::string_view Name);

/// True if a run never leaves \p State.
bool isFinal(RunState State);

/// True if a task never leaves \p State.
bool isFinal(TaskState State);

/// Description of a run as a caller submits it.
struct RunSpec {
  RunKind Kind = RunKind::Batch;
  Priority Urgency = Priority::Normal;
  std::uint32_t Tasks = 1;
  Resources PerTask;
  std::uint32_t EstimateSeconds = 60; ///< Declared run time of one task.
  Labels Selector;                    ///< Labels that a worker must have.
  std::uint32_t MaxAttempts = 3;      ///< Per task.
  LostPolicy OnLost = LostPolicy::Restart;
  bool Checkpointable = false;
  std::string IdempotencyKey;
  std::string Payload; ///< Passed to the worker unchanged.

  friend bool operator==(const RunSpec &, const RunSpec &) = default;
};

/// Throws Error(BadRequest) if \p Spec violates a rule that applies in every
/// cell: task count 1..100000, non-negative sizes within the limits below, at
/// least one non-zero size, attempts 1..100, an idempotency key of 1..128
/// characters. Thread-safe.
void validate(const RunSpec &Spec);

constexpr std::uint32_t MaxTasksPerRun = 100000;
constexpr std::int64_t MaxCpuMillisPerTask = 1'000'000;  // 1,000 cores
constexpr std::int64_t MaxMemoryMibPerTask = 64LL << 20; // 64 TiB
constexpr std::int64_t MaxAcceleratorsPerTask = 1024;
constexpr std::uint32_t MaxEstimateSeconds = 366U * 86400U; // one year

/// A run as it is stored in the table service.
struct RunRecord {
  RunId Id;
  TeamName Team;
  ShardId Shard;
  RunSpec Spec;
  RunState State = RunState::Accepted;
  std::uint32_t Running = 0;
  std::uint32_t Succeeded = 0;
  std::uint32_t Failed = 0;
  std::string Reason; ///< Why the run waits, failed or is unschedulable.
};

/// Identifies one task of a run.
struct TaskId {
  RunId Run;
  std::uint32_t Index = 0;

  // The name that clang-tidy reports belongs to the generated comparison.
  // NOLINTNEXTLINE(readability-identifier-naming)
  friend auto operator<=>(const TaskId &, const TaskId &) = default;
};

/// Identifies one execution of a task. Attempt numbers of a task start at 1 and
/// increase.
struct AttemptId {
  TaskId Task;
  std::uint32_t Attempt = 0;

  // The name that clang-tidy reports belongs to the generated comparison.
  // NOLINTNEXTLINE(readability-identifier-naming)
  friend auto operator<=>(const AttemptId &, const AttemptId &) = default;
};

/// "<run>/<index>". Thread-safe.
std::string toString(const TaskId &Id);

/// "<run>/<index>#<attempt>". Thread-safe.
std::string toString(const AttemptId &Id);

/// Parses "<run>/<index>"; throws Error(BadRequest). Thread-safe.
TaskId parseTaskId(std::string_view Text);

} // namespace apricotwing

#endif
