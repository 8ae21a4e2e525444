/// \file
/// The scheduler thread: takes over shards, runs their ticks, commits them.
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

/// What a state dump and the operators' lists show of an owned shard.
struct ShardStatus {
  ShardId Shard;
  Epoch ShardEpoch = 0;
  std::uint64_t NextSequence = 0;
  bool CommitPending = false;
  ShardStats Stats;
  std::map<TeamName, Resources> Grants;
  std::vector<WorkerStatus> Workers;
};

/// Owns the schedulers of the shards that this instance holds. A tick is
/// committed to the table service before any of its commands is sent. Owned
/// by the Daemon; runs on a thread of its own. Public methods are thread-safe
/// unless they say otherwise.
class ShardRunner {
public:
  ShardRunner(DaemonContext &Context, const InstanceListService &List);
  ~ShardRunner();

  /// New rows wait in an inbox: the next tick reads it.
  void notify();

  /// The session was lost: gives up all shards before anything else is done.
  void handleSessionLost();

  /// Calls \p Done on the scheduler thread with the live view of a run; empty
  /// if this instance does not schedule it. False if the mailbox is full.
  bool queryRun(const RunId &Run,
                std::function<void(std::optional<RunView>)> Done);

  /// The shards as of the last second.
  std::vector<ShardStatus> status() const;

  /// Ends the thread and releases the shards. Call once, at shutdown.
  void finish();

private:
  struct HeldShard {
    std::unique_ptr<ShardScheduler> Scheduler;
    std::shared_ptr<WorkerFleet> Fleet;
    std::unique_ptr<TaskGrants> Grants;
    std::optional<Decisions> Uncommitted;
    std::set<RunId> Admitted; ///< Inbox rows that were read.
    std::uint64_t EntriesSinceSnapshot = 0;
    std::uint64_t SeenConfig = 0;
    std::shared_ptr<const InstanceSnapshot> SeenList;
    TimePoint LastScan = TimePoint::min();

    HeldShard() = default;
    HeldShard(HeldShard &&) = default;
    HeldShard &operator=(HeldShard &&) = default;
    ~HeldShard();
  };

  void round();
  void drainMailbox();
  bool mayTry(const ShardId &Shard, TimePoint Now);
  void acquireShards(TimePoint Now);
  void takeOver(const ShardId &Shard, TimePoint Now);
  void drop(const ShardId &Shard, const std::string &Why);
  void runShard(const ShardId &Shard, HeldShard &Held, TimePoint Now);
  void refreshWorkers(const ShardId &Shard, HeldShard &Held);
  void readInbox(const ShardId &Shard, HeldShard &Held, TimePoint Now);
  void tick(const ShardId &Shard, HeldShard &Held, TimePoint Now);
  void settle(const ShardId &Shard, HeldShard &Held);
  void concludeCommit(const ShardId &Shard, HeldShard &Held, TickResult Result);
  void noteDecisions(const Decisions &Committed);
  void saveSnapshotIfDue(const ShardId &Shard, HeldShard &Held);
  void publishStatus(TimePoint Now);
  std::vector<WorkerStatus>
  workerStatus(const ShardId &Shard, const HeldShard &Held,
               const std::vector<WorkerId> &Quarantined, TimePoint Now) const;

  DaemonContext &Context;
  const InstanceListService &List;
  const std::vector<ShardId> AllShards;
  ShardOwnership Ownership;
  BoundedQueue<std::function<void()>> Mailbox;
  ThreadPool Calls; ///< After Mailbox, to which its last calls still post.
  std::atomic<bool> SessionLost{false};
  std::atomic<bool> InboxHint{false};
  bool HasInboxHint = false; ///< Of the present tick.
  TimePoint LastTick = TimePoint::min();
  std::map<ShardId, HeldShard> Shards;
  std::map<ShardId, TimePoint> LastTry; ///< To acquire a shard.
  TimePoint LastStatus = TimePoint::min();
  mutable std::mutex StatusMutex; ///< Guards Status.
  std::vector<ShardStatus> Status;
  PeriodicThread Thread;
};

} // namespace apricotwing

#endif
