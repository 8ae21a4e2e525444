/// \file
/// Leases, reports and commands between one owned shard and its workers.
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

/// Talks to the workers of one shard for as long as this process owns it.
/// Calls block on a thread pool; their results come back to the scheduler
/// thread through the mailbox. Owned by the shard's ShardRunner entry; all
/// methods belong to the scheduler thread.
class WorkerFleet : public std::enable_shared_from_this<WorkerFleet> {
public:
  /// Runs a function on the scheduler thread; false if the mailbox is full.
  using Mailbox = std::function<bool(std::function<void()>)>;

  /// \p MayHaveTasks is false if the shard never had an owner before.
  WorkerFleet(DaemonContext &Context, ThreadPool &Calls, Mailbox Post,
              ShardScheduler &Scheduler, Epoch ShardEpoch, bool MayHaveTasks);

  /// The scheduler is gone; results that are still under way are dropped.
  void detach() { Scheduler = nullptr; }

  /// Takes over the addresses of the shard's workers.
  void setWorkers(const std::vector<ListedWorker> &Workers);

  /// Renews the leases that are due and reports silent and expired workers to
  /// the scheduler. \p HasAuthority false: only existing leases are kept
  /// alive, for the keepalive time.
  void advance(TimePoint Now, bool HasAuthority);

  /// Sends the commands of a committed tick. Precondition: this process owns
  /// the shard at this moment.
  void carryOut(const Decisions &Committed);

  /// Workers that have not answered for two renewals, for metrics and dumps.
  std::size_t silentWorkers(TimePoint Now) const;

  /// Time since the worker last answered; empty if it never did.
  std::optional<Duration> silence(const WorkerId &Worker, TimePoint Now) const;

private:
  struct Entry {
    explicit Entry(const WorkerLease &Lease) : Lease(Lease) {}

    std::string Address;
    WorkerLease Lease;
    std::optional<TimePoint> LastCall; ///< Start of the last renewal.
    bool RenewalUnderWay = false;
    bool SilentNoted = false;
    bool ExpiryNoted = false;
    std::set<AttemptId> Acknowledgements;
  };

  Entry &entry(const WorkerId &Worker);
  void renew(const WorkerId &Worker, Entry &Target, TimePoint Now);
  void handleAnswer(const WorkerId &Worker, TimePoint SentAt,
                    TimePoint ReceivedAt, const LeaseAnswer &Answer,
                    const LeaseRenewal &Renewal);
  void handleRenewalFailure(const WorkerId &Worker, const Error &Failure);
  void sendStart(const StartCommand &Command);
  void sendStop(const StopCommand &Command);

  DaemonContext &Context;
  ThreadPool &Calls;
  Mailbox Post;
  ShardScheduler *Scheduler;
  const ShardId Shard;
  const Epoch ShardEpoch;
  const bool MayHaveTasks;
  const WorkerLeaseSettings LeaseSettings;
  const TimePoint TakeoverAt;
  std::map<WorkerId, Entry> Workers;
};

} // namespace apricotwing

#endif
