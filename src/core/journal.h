/// \file
/// Events of a shard's journal, and the snapshot that replaces older events.
/// Together they are the durable state of a ShardScheduler.
#ifndef APRICOTWING_CORE_JOURNAL_H
#define APRICOTWING_CORE_JOURNAL_H

#include "core/run.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace apricotwing {

/// The shard accepted a run and is now responsible for it.
struct RunAdmitted {
  RunRecord Run;
};

/// An attempt was assigned to a worker. Written before the start command is
/// sent.
struct TaskStarted {
  AttemptId Id;
  WorkerId Worker;
  Resources Reserved;
  bool FromCheckpoint = false;
};

enum class StopReason { Cancelled, Preempted, Drained, OverLimit };

std::string_view stopReasonName(StopReason Value);
StopReason parseStopReason(std::string_view Name);

/// The shard's owner decided to stop an attempt. Written before the stop
/// command is sent.
struct TaskStopping {
  AttemptId Id;
  StopReason Reason = StopReason::Cancelled;
};

/// An attempt has ended for certain.
struct TaskEnded {
  AttemptId Id;
  TaskState Outcome = TaskState::Succeeded; ///< A final state, or Lost.
  std::int32_t ExitCode = 0;
};

/// The state of a run changed.
struct RunChanged {
  RunId Run;
  RunState State = RunState::Pending;
  std::string Reason;
};

/// The shard removed a run in a final state. The run's row in the table service
/// is kept.
struct RunRetired {
  RunId Run;
};

using JournalEvent = std::variant<RunAdmitted, TaskStarted, TaskStopping,
                                  TaskEnded, RunChanged, RunRetired>;

/// State of one task in a snapshot.
struct TaskSnapshot {
  TaskState State = TaskState::Pending;
  std::uint32_t Attempt = 0; ///< Last attempt number used; 0 if none.
  std::uint32_t Failures = 0;
  WorkerId Worker; ///< Set only while an attempt may be running.
  Resources Reserved;
  bool HasCheckpoint = false;
  StopReason Stop = StopReason::Cancelled; ///< Valid if State is Stopping.
};

/// State of one run and its tasks in a snapshot.
struct RunSnapshot {
  RunRecord Run;
  std::vector<TaskSnapshot> Tasks;
};

/// Complete state of a shard after the journal entry with the number Sequence.
struct ShardSnapshot {
  std::uint64_t Sequence = 0;
  std::vector<RunSnapshot> Runs;
};

} // namespace apricotwing

#endif
