/// \file
/// Events of a shard's journal and the snapshot that shortens it. Together
/// they are the durable state of a ShardScheduler.
#ifndef APRICOTWING_CORE_JOURNAL_H
#define APRICOTWING_CORE_JOURNAL_H

#include "core/run.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace apricotwing {

/// The shard took over responsibility for a run.
struct RunAdmitted {
  RunRecord Run;
};

/// An attempt was bound to a worker. Written before the start is sent.
struct TaskStarted {
  AttemptId Id;
  WorkerId Worker;
  Resources Reserved;
  bool FromCheckpoint = false;
};

enum class StopReason { Cancelled, Preempted, Drained, OverLimit };

std::string_view stopReasonName(StopReason Value);
StopReason parseStopReason(std::string_view Name);

/// The owner decided to stop an attempt. Written before the stop is sent.
struct TaskStopping {
  AttemptId Id;
  StopReason Reason = StopReason::Cancelled;
};

/// An attempt ended for certain.
struct TaskEnded {
  AttemptId Id;
  TaskState Outcome = TaskState::Succeeded; ///< Final, or Lost.
  std::int32_t ExitCode = 0;
};

/// A run changed its state.
struct RunChanged {
  RunId Run;
  RunState State = RunState::Pending;
  std::string Reason;
};

/// A run in a final state is forgotten by the shard; its row stays.
struct RunRetired {
  RunId Run;
};

using JournalEvent = std::variant<RunAdmitted, TaskStarted, TaskStopping,
                                  TaskEnded, RunChanged, RunRetired>;

/// State of one task in a snapshot.
struct TaskSnapshot {
  TaskState State = TaskState::Pending;
  std::uint32_t Attempt = 0; ///< Last attempt number used; 0: none.
  std::uint32_t Failures = 0;
  WorkerId Worker; ///< Empty unless an attempt may be running.
  Resources Reserved;
  bool HasCheckpoint = false;
  StopReason Stop = StopReason::Cancelled; ///< Valid if State is Stopping.
};

struct RunSnapshot {
  RunRecord Run;
  std::vector<TaskSnapshot> Tasks;
};

/// Whole state of a shard after the journal entry with number Sequence.
struct ShardSnapshot {
  std::uint64_t Sequence = 0;
  std::vector<RunSnapshot> Runs;
};

} // namespace apricotwing

#endif
