/// \file
/// The durable state of one shard.
#ifndef APRICOTWING_CORE_SHARDSTATE_H
#define APRICOTWING_CORE_SHARDSTATE_H

#include "core/fairshare.h"
#include "core/journal.h"
#include "core/placementindex.h"
#include "core/runwork.h"
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
  bool Confirmed = false; ///< A worker has listed this attempt.
  bool Inherited = false; ///< The attempt was started by an earlier owner.
  std::uint8_t Sends = 0; ///< Starts sent of this attempt, up to 255.
  std::uint32_t Attempt = 0;
  std::uint32_t Failures = 0;
  WorkerIndex Worker = NoWorker;
  std::uint32_t ReportMark = 0; ///< Number of the last report that listed it.
  std::uint32_t QuickEnds = 0;  ///< Ends of a service soon after its start.
  Resources Reserved;           ///< While an attempt may be running.
  Resources Excess;             ///< Observed use above Reserved.
  TimePoint Since;              ///< When it became ready or was started.
  std::uint64_t StartOrder = 0; ///< Grows with each start in the shard.

  /// Room that the attempt takes on its worker.
  Resources occupied() const { return Reserved + Excess; }

  /// True if an attempt may be running.
  bool isActive() const {
    return State == TaskState::Starting || State == TaskState::Running ||
           State == TaskState::Stopping;
  }
};

/// A run that the shard is responsible for.
struct RunEntry {
  RunRecord Record; ///< State is Pending until it is final or set aside.
  std::vector<TaskEntry> Tasks;
  TeamIndex Team = 0;
  std::uint64_t Order = 0; ///< Order of admission.
  std::uint32_t Active = 0;
  std::uint32_t Ended = 0; ///< Tasks in a final state.

  RunWork Work; ///< Kept by the scheduler, not durable.

  /// True once the run takes no further start.
  bool isEnding() const { return isFinal(Record.State); }
};

/// One task by its place.
struct TaskRef {
  RunEntry *Run = nullptr;
  std::uint32_t Index = 0;

  TaskEntry &task() const { return Run->Tasks[Index]; }
  AttemptId attempt() const {
    return {{Run->Record.Id, Index}, task().Attempt};
  }
  friend bool operator==(const TaskRef &, const TaskRef &) = default;
};

/// Runs, tasks and attempts of a shard. Changes only through apply(), live as
/// in replay, so both give the same state; keeps the use of workers and teams
/// in step. Owned by the shard's scheduler; not thread-safe.
class ShardState {
public:
  /// \p Index and \p Shares must outlive this object.
  ShardState(PlacementIndex &Index, FairShare &Shares);

  /// Takes over a snapshot. Throws Error(Internal) if this is not empty.
  void restore(const ShardSnapshot &Snapshot, TimePoint Now);

  /// Applies one event. Throws Error(Internal) if it does not follow from the
  /// state.
  void apply(const JournalEvent &Event, TimePoint Now);

  /// The durable state. An attempt that a worker confirmed is written as
  /// starting, because the journal does not record confirmations.
  ShardSnapshot snapshot(std::uint64_t Sequence) const;

  /// The run; null if it is unknown or retired.
  RunEntry *find(const RunId &Run) const;

  /// The task if this very attempt may be running; else a null run.
  TaskRef findActive(const AttemptId &Id) const;

  /// Tasks with an attempt that may be running on the worker.
  const std::vector<TaskRef> &tasksOn(WorkerIndex Worker) const;

  /// Runs in order of admission.
  const std::map<std::uint64_t, RunEntry *> &runs() const { return ByOrder; }

  /// Number of the team; teams are added as they appear.
  TeamIndex team(const TeamName &Name);

  const std::vector<TeamName> &teamNames() const { return TeamNames; }

  /// Tasks with an attempt that may be running.
  std::uint64_t activeTasks() const { return ActiveTasks; }

  /// Raises the use of a running task above its reservation, or lowers it
  /// again. Not durable.
  void setExcess(const TaskRef &Task, const Resources &Excess);

private:
  void applyOne(const RunAdmitted &Event, TimePoint Now);
  void applyOne(const TaskStarted &Event, TimePoint Now);
  void applyOne(const TaskStopping &Event, TimePoint Now);
  void applyOne(const TaskEnded &Event, TimePoint Now);
  void applyOne(const RunChanged &Event, TimePoint Now);
  void applyOne(const RunRetired &Event, TimePoint Now);

  RunEntry &insert(const RunRecord &Record);
  RunEntry &known(const RunId &Run) const;
  TaskRef active(const AttemptId &Id) const;
  void occupy(const TaskRef &Task);
  void vacate(const TaskRef &Task);
  static void settle(RunEntry &Run, TaskEntry &Task, const TaskEnded &Event);
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
};

} // namespace apricotwing

#endif
