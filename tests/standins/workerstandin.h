/// \file
/// Stand-in for a worker of the platform.
#ifndef APRICOTWING_STANDINS_WORKERSTANDIN_H
#define APRICOTWING_STANDINS_WORKERSTANDIN_H

#include "core/platform.h"
#include "standins/counts.h"
#include "standins/standinserver.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace apricotwing::standins {

/// A worker whose tasks do nothing but wait. The payload may be a JSON object:
/// "run_ms" (default 100; -1: for ever), "exit" (default 0), and the actual
/// usage "cpu_millis" and "memory_mib" (default: what was reserved). Its clock
/// has an offset of its own. While it is paused its tasks make no progress.
/// When it resumes, it kills the tasks whose lease has expired before it reads
/// a request.
class WorkerStandin final : public StandinServer {
public:
  WorkerStandin(TimerQueue &Timers, Counts &Counters, ListedWorker Identity,
                std::int64_t ClockOffsetMs);

  /// Returns the worker's entry for the instance list, with its state.
  /// Thread-safe.
  ListedWorker listed() const;

protected:
  void handle(const HttpRequest &Request, const Responder &Reply) override;
  void handleWhileDown(const HttpRequest &Request,
                       const Responder &Reply) override;
  void onPausedChanged(bool IsPaused) override;

private:
  struct Lease {
    Epoch HighestEpoch = 0;
    std::int64_t DeadlineMs = 0;
  };

  struct RunningTask {
    ShardId Shard;
    Resources Reserved;
    Resources Usage;
    std::int64_t StartMs = 0;
    std::int64_t EndMs = 0;
    std::int32_t ExitCode = 0;
  };

  std::int64_t nowMs() const { return steadyMs() + ClockOffsetMs; }

  /// Ends the tasks that have finished by now and those whose lease has
  /// expired.
  void endDueTasks();
  void endDueTasksAt(std::int64_t WhenMs);
  void finish(const AttemptId &Id, TaskState State, std::int32_t ExitCode);
  /// Throws Error(StaleEpoch) if a newer epoch of the shard has been seen.
  void checkEpoch(const ShardId &Shard, Epoch Value);
  void beginTask(const TaskStart &Start);
  bool hasCapacityFor(const Resources &Requested) const;

  HttpResponse renew(const std::string &Body);
  HttpResponse start(const std::string &Body);
  HttpResponse stop(const std::string &Body);

  Counts &Counters;
  const ListedWorker Identity;
  const std::int64_t ClockOffsetMs;
  std::map<ShardId, Lease> Leases;
  std::map<AttemptId, RunningTask> RunningTasks;
  std::map<AttemptId, TaskReport>
      UnacknowledgedReports;         ///< Not yet acknowledged.
  std::set<AttemptId> KnownAttempts; ///< Started or stopped; never start again.
  Resources InUse;
  std::int64_t PausedAtMs = 0;
};

} // namespace apricotwing::standins

#endif
