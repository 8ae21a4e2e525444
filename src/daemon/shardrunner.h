/// \file
/// The scheduler thread: takes over shards, runs their ticks and commits the
/// decisions.
#ifndef APRICOTWING_DAEMON_SHARDRUNNER_H
#define APRICOTWING_DAEMON_SHARDRUNNER_H

#include "core/shardownership.h"
#include "core/shardscheduler.h"
#include "core/taskgrants.h"
#include "daemon/boundedqueue.h"
#include "daemon/context.h"
#include "daemon/instancelistservice.h"
#include "daemon/periodicthread.h"
#include "daemon/threadpool.h"
#include "daemon/workerfleet.h"
#include "wire/instancecodec.h"
#include "wire/runcodec.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace apricotwing {

/// Status of an owned shard, for the state dump and the lists for operators.
struct ShardStatus {
  ShardId Shard;
  Epoch ShardEpoch = 0;
  std::uint64_t NextSequence = 0;
  bool CommitPending = false;
  ShardStats Stats;
  std::map<TeamName, Resources> Grants;
  std::vector<WorkerStatus> Workers;
};

/// Owns the schedulers of the shards that this instance holds. The decisions of
/// a tick are committed to the table service before any of the resulting
/// commands is sent. Owned by the Daemon; runs on a thread of its own. Public
/// methods are thread-safe unless documented otherwise.
class ShardRunner {
public:
  ShardRunner(DaemonContext &Context, const InstanceListService &Instances);
  ~ShardRunner();

  /// Announces new rows in the inbox of a shard; the next tick reads all
  /// inboxes.
  void notify();

  /// Drops all shards because the session was lost. The scheduler thread does
  /// so before any other work.
  void handleSessionLost();

  /// Calls \p OnResult on the scheduler thread with the current view of a run,
  /// or with an empty value if this instance does not schedule the run. Returns
  /// false, without a call, if the callback queue is full.
  bool queryRun(const RunId &Run,
                std::function<void(std::optional<RunView>)> OnResult);

  /// Status of the owned shards; updated once per second.
  std::vector<ShardStatus> status() const;

  /// Stops the thread and releases the shards. Call once, at shutdown.
  void finish();

private:
  struct HeldShard {
    std::unique_ptr<ShardScheduler> Scheduler;
    std::shared_ptr<WorkerFleet> Fleet;
    std::unique_ptr<TaskGrants> Grants;
    /// Decisions of a tick whose commit has not been confirmed yet.
    std::optional<Decisions> PendingDecisions;
    /// Runs that were read from the inbox and whose inbox row still exists.
    std::set<RunId> AdmittedRuns;
    std::uint64_t EntriesSinceSnapshot = 0;
    std::uint64_t LastConfigVersion = 0;
    std::shared_ptr<const InstanceSnapshot> LastInstances;
    TimePoint LastScan = TimePoint::min();

    HeldShard() = default;
    HeldShard(HeldShard &&) = default;
    HeldShard &operator=(HeldShard &&) = default;
    ~HeldShard();
  };

  void round();
  void runPostedCallbacks();
  bool isAcquireDue(const ShardId &Shard, TimePoint Now);
  void acquireShards(TimePoint Now);
  void takeOver(const ShardId &Shard, TimePoint Now);
  void abandonShard(const ShardId &Shard, const std::string &Reason);
  void runShard(const ShardId &Shard, HeldShard &Held, TimePoint Now);
  void refreshWorkers(const ShardId &Shard, HeldShard &Held);
  void readInbox(const ShardId &Shard, HeldShard &Held, TimePoint Now);
  bool readInboxRow(HeldShard &Held, const TeamName &Team, const RunId &Run);
  void readCancellation(HeldShard &Held, const TeamName &Team,
                        const RunId &Run);
  void tick(const ShardId &Shard, HeldShard &Held, TimePoint Now);
  void resolvePendingCommit(const ShardId &Shard, HeldShard &Held);
  void finishCommit(const ShardId &Shard, HeldShard &Held, TickResult Result);
  void recordDecisions(const Decisions &Committed);
  void saveSnapshotIfDue(const ShardId &Shard, HeldShard &Held);
  void publishStatus(TimePoint Now);
  std::vector<WorkerStatus>
  workerStatus(const ShardId &Shard, const HeldShard &Held,
               const std::vector<WorkerId> &Quarantined, TimePoint Now) const;

  DaemonContext &Context;
  const InstanceListService &Instances;
  const std::vector<ShardId> AllShards;
  ShardOwnership Ownership;
  BoundedQueue<std::function<void()>> PostedCallbacks;
  /// Declared after Mailbox, because the last calls still post callbacks to it
  /// while the pool is destroyed.
  ThreadPool WorkerCallPool;
  std::atomic<bool> SessionLost{false};
  std::atomic<bool> InboxNotified{false};
  bool ScanInboxNow = false; ///< InboxNotified as of the start of this tick.
  TimePoint LastTick = TimePoint::min();
  std::map<ShardId, HeldShard> Shards;
  std::map<ShardId, TimePoint> LastAcquireAttempt;
  TimePoint LastStatus = TimePoint::min();
  mutable std::mutex StatusMutex; ///< Guards Status.
  std::vector<ShardStatus> Status;
  PeriodicThread Thread;
};

} // namespace apricotwing

#endif
