/// \file
/// State of one shard that is recorded in its journal.
#ifndef APRICOTWING_CORE_SHARDSTATE_H
#define APRICOTWING_CORE_SHARDSTATE_H

#include "core/fairshare.h"
#include "core/journal.h"
#include "core/memorybudget.h"
#include "core/placementindex.h"
#include "core/runschedulingstate.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace apricotwing {

/// One task of a run that the shard is responsible for.
struct TaskEntry {
  TaskState State = TaskState::Pending;
  StopReason Stop = StopReason::Cancelled; ///< Valid while Stopping.
  bool HasCheckpoint = false;
  bool Confirmed = false; ///< A worker has reported this attempt.
  bool Inherited = false; ///< An earlier owner started this attempt.
  std::uint8_t Sends = 0; ///< Start commands sent for this attempt, up to 255.
  std::uint32_t Attempt = 0;
  std::uint32_t Failures = 0;
  WorkerIndex Worker = NoWorker;
  std::uint32_t ReportNumber = 0; ///< Last report that contained the attempt.
  /// Consecutive ends of a service task soon after its start.
  std::uint32_t EarlyEnds = 0;
  Resources Reserved;           ///< Set while an attempt may be running.
  Resources Excess;             ///< Observed use in excess of Reserved.
  TimePoint Since;              ///< When it became ready or was started.
  std::uint64_t StartOrder = 0; ///< Increases with each start in the shard.

  /// Resources that the attempt occupies on its worker.
  Resources occupied() const { return Reserved + Excess; }

  /// True if an attempt may be running.
  bool isActive() const {
    return State == TaskState::Starting || State == TaskState::Running ||
           State == TaskState::Stopping;
  }
};

/// A run that the shard is responsible for.
struct RunEntry {
  RunRecord Record; ///< State is Pending until final or Unschedulable.
  std::vector<TaskEntry> Tasks;
  TeamIndex Team = 0;
  std::uint64_t Order = 0; ///< Order of admission.
  std::uint32_t Active = 0;
  std::uint32_t Ended = 0; ///< Tasks in a final state.

  RunSchedulingState Scheduling; ///< Kept by the scheduler; not durable.

  /// True once no further task of the run is started.
  bool isEnding() const { return isFinal(Record.State); }
};

/// Estimated bytes that a run takes in memory until it is retired. Thread-safe.
std::size_t runBytes(const RunRecord &Record);

/// Reference to one task of a run.
struct TaskRef {
  RunEntry *Run = nullptr;
  std::uint32_t Index = 0;

  TaskEntry &task() const { return Run->Tasks[Index]; }
  AttemptId attempt() const {
    return {{Run->Record.Id, Index}, task().Attempt};
  }
  friend bool operator==(const TaskRef &, const TaskRef &) = default;
};

/// Runs, tasks and attempts of a shard. The durable state changes only through
/// apply(), both live and in replay, so that both give the same state. Keeps
/// the allocations of workers and teams up to date. Owned by the shard's
/// scheduler; not thread-safe.
class ShardState {
public:
  /// \p Index and \p Shares must outlive this object.
  ShardState(PlacementIndex &Index, FairShare &Shares);

  /// Restores a snapshot. Throws Error(Internal) if there already are runs.
  void restore(const ShardSnapshot &Snapshot, TimePoint Now);

  /// Applies one event. Throws Error(Internal) if it is inconsistent with the
  /// state.
  void apply(const JournalEvent &Event, TimePoint Now);

  /// The durable state. A running attempt is written as starting, because the
  /// journal does not record that a worker has confirmed it.
  ShardSnapshot snapshot(std::uint64_t Sequence) const;

  /// The run with the id; null if it is unknown or retired.
  RunEntry *find(const RunId &Run) const;

  /// The task if exactly this attempt may be running; otherwise a reference
  /// with a null run.
  TaskRef findActive(const AttemptId &Id) const;

  /// Tasks with an attempt that may be running on the worker.
  const std::vector<TaskRef> &tasksOn(WorkerIndex Worker) const;

  /// Runs in order of admission.
  const std::map<std::uint64_t, RunEntry *> &runs() const { return ByOrder; }

  /// Index of the team; added on first use.
  TeamIndex team(const TeamName &Name);

  const std::vector<TeamName> &teamNames() const { return TeamNames; }

  /// Memory of the runs by team, which the owner adds queued runs to.
  MemoryBudget &memory() { return Memory; }
  const MemoryBudget &memory() const { return Memory; }

  /// Number of tasks with an attempt that may be running.
  std::uint64_t activeTasks() const { return ActiveTasks; }

  /// Sets by how much the observed use of a running task exceeds its
  /// reservation. Not durable.
  void setExcess(const TaskRef &Task, const Resources &Excess);

private:
  void applyOne(const RunAdmitted &Event, TimePoint Now);
  void applyOne(const TaskStarted &Event, TimePoint Now);
  void applyOne(const TaskStopping &Event, TimePoint Now);
  void applyOne(const TaskEnded &Event, TimePoint Now);
  void applyOne(const RunChanged &Event, TimePoint Now);
  void applyOne(const RunRetired &Event, TimePoint Now);

  RunEntry &insert(const RunRecord &Record);
  RunEntry &requireRun(const RunId &Run) const;
  TaskRef requireActive(const AttemptId &Id) const;
  void allocate(const TaskRef &Task);
  void release(const TaskRef &Task);
  static void applyOutcome(RunEntry &Run, TaskEntry &Task,
                           const TaskEnded &Event);
  static void finish(RunEntry &Run, TaskEntry &Task, TaskState Final);

  PlacementIndex &Index;
  FairShare &Shares;
  std::unordered_map<RunId, std::unique_ptr<RunEntry>> Runs;
  std::map<std::uint64_t, RunEntry *> ByOrder;
  std::vector<std::vector<TaskRef>> ByWorker;
  std::map<TeamName, TeamIndex> Teams;
  std::vector<TeamName> TeamNames;
  std::uint64_t NextOrder = 1;
  std::uint64_t NextStart = 1;
  std::uint64_t ActiveTasks = 0;
  /// Fits the least memory of an instance, of 120 MB, beside its clients.
  MemoryBudget Memory{std::size_t(32) << 20};
};

} // namespace apricotwing

#endif
