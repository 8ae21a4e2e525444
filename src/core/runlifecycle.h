/// \file
/// Life of runs and their tasks from admission to the end.
#ifndef APRICOTWING_CORE_RUNLIFECYCLE_H
#define APRICOTWING_CORE_RUNLIFECYCLE_H

#include "core/schedulerdata.h"

#include <deque>
#include <queue>
#include <string>
#include <unordered_set>
#include <vector>

namespace apricotwing {

/// Records every change as a journal event and keeps the queues in step:
/// admission, start, stop, end, retry, completion and retirement. Owned by
/// the shard's scheduler; not thread-safe.
class RunLifecycle {
public:
  /// \p Data must outlive this object.
  explicit RunLifecycle(SchedulerData &Data) : Data(Data) {}

  /// Fills the queues from a state that was restored or replayed.
  void rebuild(TimePoint Now);

  void admit(const RunRecord &Record, TimePoint Now);

  /// Ends a run as cancelled; its active tasks are stopped by later calls of
  /// continueStops(). Constant cost.
  void cancel(RunEntry &Run, TimePoint Now);

  /// Sets a waiting run aside as unschedulable.
  void setAside(RunEntry &Run, const std::string &Reason, TimePoint Now);

  /// Puts a run that was set aside back into its queue.
  void bringBack(RunEntry &Run, TimePoint Now);

  /// Starts the run's next ready task.
  void start(RunEntry &Run, WorkerIndex Worker, const Resources &Reserved,
             TimePoint Now);

  /// Decides to stop an attempt; the rest of a gang follows. Returns false if
  /// it is being stopped already or the tick's budget is used up.
  bool stop(const TaskRef &Task, StopReason Reason, TimePoint Now);

  /// Records the certain end of an attempt and decides what follows.
  void end(const TaskRef &Task, TaskState Outcome, std::int32_t ExitCode,
           TimePoint Now);

  /// Makes tasks ready whose retry is due.
  void releaseDelayed(TimePoint Now);

  /// Goes on stopping the tasks of ending runs and of incomplete gangs.
  void continueStops(TimePoint Now);

  /// Retires the runs that are over.
  void retire(TimePoint Now);

  /// Adds the runs whose rows must change to the decisions.
  void collectChanged();

  /// True if the run was retired lately.
  bool wasRetired(const RunId &Run) const { return RetiredSet.contains(Run); }

  /// The run as callers see it: final only once no attempt can be running.
  static RunRecord shown(const RunEntry &Run);

  /// How the attempt is to be stopped.
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
  struct StopJob {
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
  void updateWorking(TeamIndex Team);
  void learn(const TaskRef &Task, TaskState Outcome, TimePoint Now);
  void requeue(const TaskRef &Task, TaskState Outcome, Duration Lasted,
               TimePoint Now);
  Duration retryDelay(const TaskRef &Task, TaskState Outcome,
                      Duration Lasted) const;
  void concludeEnd(RunEntry &Run, TaskState Outcome, TimePoint Now);
  void queueStops(RunEntry &Run);
  bool stopOne(const TaskRef &Task, StopReason Reason, TimePoint Now);
  bool continueStop(StopJob &Job, TimePoint Now);
  static bool hasGap(const RunEntry &Run);

  SchedulerData &Data;
  std::priority_queue<DelayedTask, std::vector<DelayedTask>, std::greater<>>
      Delayed;
  std::deque<StopJob> StopJobs;
  std::vector<RunId> Over;
  std::vector<RunId> ChangedRuns;
  std::deque<RunId> RetiredOrder;
  std::unordered_set<RunId> RetiredSet;
};

} // namespace apricotwing

#endif
