/// \file
/// Communication between an owned shard and its workers: lease renewals, task
/// reports and commands.
#ifndef APRICOTWING_DAEMON_WORKERFLEET_H
#define APRICOTWING_DAEMON_WORKERFLEET_H

#include "core/shardscheduler.h"
#include "core/workerlease.h"
#include "daemon/context.h"
#include "daemon/threadpool.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace apricotwing {

/// Communicates with the workers of a shard while this process owns the shard.
/// Blocking calls run on a thread pool and post their results back to the
/// scheduler thread. Owned by ShardRunner::HeldShard. All methods must be
/// called on the scheduler thread.
class WorkerFleet : public std::enable_shared_from_this<WorkerFleet> {
public:
  /// Queues a function to be called on the scheduler thread. Returns false if
  /// the queue is full.
  using PostFunction = std::function<bool(std::function<void()>)>;

  /// \p MayHaveTasks is false if the shard never had an owner before, so that
  /// no worker can be running tasks of it.
  WorkerFleet(DaemonContext &Context, ThreadPool &CallPool, PostFunction Post,
              ShardScheduler &Scheduler, Epoch ShardEpoch, bool MayHaveTasks);

  /// Must be called before the scheduler is destroyed. Results of pending calls
  /// are dropped afterwards.
  void detach() { Scheduler = nullptr; }

  /// Updates the addresses of the shard's workers.
  void setWorkers(const std::vector<ListedWorker> &Workers);

  /// Renews the leases that are due and reports workers with expired leases to
  /// the scheduler. Without \p HasAuthority, leases are only renewed until the
  /// keepalive time since the last successful renewal round has elapsed.
  void advance(TimePoint Now, bool HasAuthority);

  /// Sends the commands of a committed tick. Precondition: this process
  /// currently owns the shard.
  void sendCommands(const Decisions &Committed);

  /// Number of workers that have not responded within two renewal periods, for
  /// metrics and the state dump.
  std::size_t silentWorkers(TimePoint Now) const;

  /// Time since the worker's last response; empty if there was none.
  std::optional<Duration> timeSinceResponse(const WorkerId &Worker,
                                            TimePoint Now) const;

private:
  struct WorkerState {
    explicit WorkerState(const WorkerLease &Lease) : Lease(Lease) {}

    std::string Address;
    WorkerLease Lease;
    std::optional<TimePoint> LastRenewalStart;
    /// Expires once the renewal has ended and its result has been handled or
    /// dropped.
    std::weak_ptr<void> RenewalInFlight;
    bool SilenceLogged = false;
    bool ExpiryReported = false;
    std::set<AttemptId> Acknowledgements;
  };

  WorkerState &workerState(const WorkerId &Worker);
  void renew(const WorkerId &Worker, WorkerState &State, TimePoint Now);
  void handleRenewalResponse(const WorkerId &Worker, TimePoint SentAt,
                             TimePoint ReceivedAt, const LeaseAnswer &Answer,
                             const LeaseRenewal &Renewal);
  void handleRenewalFailure(const WorkerId &Worker, const Error &Failure);
  void sendStart(const StartCommand &Command);
  void sendStop(const StopCommand &Command);

  DaemonContext &Context;
  ThreadPool &CallPool;
  PostFunction Post;
  ShardScheduler *Scheduler;
  const ShardId Shard;
  const Epoch ShardEpoch;
  const bool MayHaveTasks;
  const WorkerLeaseSettings LeaseSettings;
  const TimePoint TakeoverTime;
  std::map<WorkerId, WorkerState> Workers;
};

} // namespace apricotwing

#endif
