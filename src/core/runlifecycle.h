/// \file
/// Lifecycle of runs and their tasks, from admission to retirement.
#ifndef APRICOTWING_CORE_RUNLIFECYCLE_H
#define APRICOTWING_CORE_RUNLIFECYCLE_H

#include "core/schedulerdata.h"

#include <deque>
#include <queue>
#include <string>
#include <unordered_set>
#include <vector>

namespace apricotwing {

/// Performs the state changes of runs: admission, start, stop, end, retry,
/// completion and retirement. Records every change as a journal event and keeps
/// the queues consistent with it. Owned by the shard's scheduler; not
/// thread-safe.
class RunLifecycle {
public:
  /// \p Data must outlive this object.
  explicit RunLifecycle(SchedulerData &Data) : Data(Data) {}

  /// Rebuilds the queues from a restored or replayed state.
  void rebuild(TimePoint Now);

  void admit(const RunRecord &Record, TimePoint Now);

  /// Ends a run as cancelled; later calls of continueStops() stop its active
  /// tasks. Takes constant time.
  void cancel(RunEntry &Run, TimePoint Now);

  /// Removes a waiting run from its queue and marks it as unschedulable.
  void markUnschedulable(RunEntry &Run, const std::string &Reason,
                         TimePoint Now);

  /// Puts an unschedulable run back into its queue.
  void markSchedulable(RunEntry &Run, TimePoint Now);

  /// Starts the run's next ready task on \p Worker.
  void start(RunEntry &Run, WorkerIndex Worker, const Resources &Reserved,
             TimePoint Now);

  /// Stops an attempt; for a gang, the other members are stopped as well.
  /// Returns false if the attempt is already being stopped or the tick's budget
  /// of stops is used up.
  bool stop(const TaskRef &Task, StopReason Reason, TimePoint Now);

  /// Records the certain end of an attempt, then retries the task or ends the
  /// run as needed.
  void end(const TaskRef &Task, TaskState Outcome, std::int32_t ExitCode,
           TimePoint Now);

  /// Makes tasks ready whose retry delay has passed.
  void releaseDelayed(TimePoint Now);

  /// Continues to stop the tasks of ending runs and of incomplete gangs.
  void continueStops(TimePoint Now);

  /// Retires the runs that have ended.
  void retire(TimePoint Now);

  /// Adds the runs whose rows must be updated to the decisions.
  void collectChanged();

  /// True if the run was retired recently.
  bool wasRetired(const RunId &Run) const { return RetiredSet.contains(Run); }

  /// The run as callers see it; its state is final only once no attempt can be
  /// running.
  static RunRecord publicRecord(const RunEntry &Run);

  /// How to stop attempts of the run.
  static StopMode stopMode(const RunEntry &Run);

private:
  struct DelayedTask {
    TimePoint Due;
    RunId Run;
    std::uint32_t Index = 0;

    friend bool operator>(const DelayedTask &Left, const DelayedTask &Right) {
      return Left.Due > Right.Due;
    }
  };
  struct PendingStop {
    RunId Run;
    std::uint32_t NextTask = 0;
  };

  void record(JournalEvent Event, TimePoint Now);
  void change(RunEntry &Run, RunState State, const std::string &Reason,
              TimePoint Now);
  void finishRun(RunEntry &Run, RunState State, const std::string &Reason,
                 TimePoint Now);
  void prepare(RunEntry &Run, TimePoint Now);
  void markChanged(RunEntry &Run);
  void updateHasWork(TeamIndex Team);
  void updateStatistics(const TaskRef &Task, TaskState Outcome, TimePoint Now);
  void requeue(const TaskRef &Task, TaskState Outcome, Duration Elapsed,
               TimePoint Now);
  Duration retryDelay(const TaskRef &Task, TaskState Outcome,
                      Duration Elapsed) const;
  void concludeEnd(RunEntry &Run, TaskState Outcome, TimePoint Now);
  void queueStops(RunEntry &Run);
  bool stopOne(const TaskRef &Task, StopReason Reason, TimePoint Now);
  bool continueStop(PendingStop &Stop, TimePoint Now);
  static bool hasInactiveTask(const RunEntry &Run);

  SchedulerData &Data;
  std::priority_queue<DelayedTask, std::vector<DelayedTask>, std::greater<>>
      Delayed;
  std::deque<PendingStop> PendingStops;
  std::vector<RunId> EndedRuns;
  std::vector<RunId> ChangedRuns;
  std::deque<RunId> RetiredOrder;
  std::unordered_set<RunId> RetiredSet;
};

} // namespace apricotwing

#endif
