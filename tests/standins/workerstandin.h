/// \file
/// Stand-in for a worker of the platform.
#ifndef APRICOTWING_STANDINS_WORKERSTANDIN_H
#define APRICOTWING_STANDINS_WORKERSTANDIN_H

#include "core/platform.h"
#include "standins/counts.h"
#include "standins/site.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace apricotwing::standins {

/// A worker whose tasks only take time. The payload may be a JSON object:
/// "run_ms" (default 100; -1: for ever), "exit" (default 0), and the real use
/// "cpu_millis" and "memory_mib" (default: what was reserved). Its clock has
/// an offset of its own. While it is paused its tasks stand still, and when it
/// goes on it kills those whose lease has ended before it reads a message.
class WorkerStandin final : public Site {
public:
  WorkerStandin(Timeline &Time, Counts &Seen, ListedWorker Identity,
                std::int64_t ClockOffsetMs);

  /// The worker's entry in the instance list, with its state. Thread-safe.
  ListedWorker listed() const;

protected:
  void handle(const HttpRequest &Request, const Responder &Reply) override;
  void handleDown(const HttpRequest &Request, const Responder &Reply) override;
  void pausedChanged(bool IsPaused) override;

private:
  struct Lease {
    Epoch Highest = 0;
    std::int64_t DeadlineMs = 0;
  };

  struct Task {
    ShardId Shard;
    Resources Reserved;
    Resources Used;
    std::int64_t StartMs = 0;
    std::int64_t EndMs = 0;
    std::int32_t ExitCode = 0;
  };

  std::int64_t nowMs() const { return steadyMs() + ClockOffsetMs; }

  /// Ends what has ended by now: tasks that are done and expired leases.
  void advance();
  void advanceAt(std::int64_t WhenMs);
  void finish(const AttemptId &Id, TaskState State, std::int32_t ExitCode);
  void admitEpoch(const ShardId &Shard, Epoch Value);
  void admit(const TaskStart &Start);
  bool hasRoomFor(const Resources &Wanted) const;

  HttpResponse renew(const std::string &Body);
  HttpResponse start(const std::string &Body);
  HttpResponse stop(const std::string &Body);

  Counts &Seen;
  const ListedWorker Identity;
  const std::int64_t ClockOffsetMs;
  std::map<ShardId, Lease> Leases;
  std::map<AttemptId, Task> Live;
  std::map<AttemptId, TaskReport> Ended; ///< Not yet acknowledged.
  std::set<AttemptId> Known;             ///< Attempts that never start again.
  Resources InUse;
  std::int64_t PausedAtMs = 0;
};

} // namespace apricotwing::standins

#endif
