/// \file
/// A complete cell on the emulated platform, in virtual time.
#ifndef APRICOTWING_TESTS_EMULATOR_EMULATEDCELL_H
#define APRICOTWING_TESTS_EMULATOR_EMULATEDCELL_H

#include "cell/node.h"
#include "emulatedstore.h"
#include "emulatedworkers.h"
#include "virtualtime.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace apricotwing::emulator {

/// Payloads of jobs of which all tasks, or the first one, end the process of
/// their worker.
inline constexpr const char *CrashingJob = "crashes workers";
inline constexpr const char *JobWithOneCrashingTask =
    "first task crashes workers";

/// State of one job as the callers of a cell see it.
struct JobRecord {
  jobs::JobSpec Spec;
  bool Accepted = false; ///< Some call was answered with Accepted.
  int Attempts = 0;      ///< Submissions, and those of them that were refused.
  int Refused = 0;
  /// Some attempt was neither accepted nor refused, so the job may run. An
  /// instance that has just started may refuse a job that an earlier attempt at
  /// a lost instance has handed in.
  bool Unresolved = false;
  /// A cancellation was acknowledged, or answered that there is no such job.
  bool Cancelled = false;
  TimePoint CancelledAt; ///< Time of the first acknowledgement.
  jobs::JobView View = jobs::JobView::Unknown; ///< From the last answer.
  TimePoint ViewedAt; ///< Time of the last answer to a read.
};

/// Entry instances that run the real Node code on an emulated store, workers,
/// advice service and network. Tests start, kill, freeze and disconnect
/// instances while callers submit jobs. Not thread-safe.
class EmulatedCell {
public:
  explicit EmulatedCell(std::uint64_t Seed, int Instances = 3,
                        int WorkerCount = 6);

  /// Creates instances with the given CPU shares, named "n" plus their index in
  /// the list.
  EmulatedCell(std::uint64_t Seed, const std::vector<double> &CpuShares,
               int WorkerCount);

  /// The same with the client accounts \p Accounts, to which the jobs belong in
  /// turn, with the layout \p Layout stored before the first start, and with
  /// the options \p Options of the schedulers.
  EmulatedCell(std::uint64_t Seed, const std::vector<double> &CpuShares,
               int WorkerCount, std::vector<jobs::ClientAccount> Accounts,
               const std::optional<cell::ShardLayout> &Layout = {},
               const jobs::SchedulerOptions &Options = {});
  ~EmulatedCell();

  VirtualTime &time() { return Time; }
  EmulatedStore &store() { return Store; }
  EmulatedWorkers &workers() { return Workers; }

  /// Advances the virtual time by \p Length.
  void run(Duration Length);

  /// Starts the process of an instance; does nothing if it is already running.
  void start(const std::string &Name);

  /// Ends the process of an instance without a graceful shutdown.
  void kill(const std::string &Name);

  /// Suspends and resumes an instance. While suspended, it does not run pump()
  /// and receives neither messages nor calls.
  void freeze(const std::string &Name);
  void thaw(const std::string &Name);

  /// Disconnects an instance from all others, or reconnects it.
  void cut(const std::string &Name) { CutInstances.insert(Name); }
  void heal(const std::string &Name) { CutInstances.erase(Name); }

  /// Ends all faults and starts the instances and workers that are down.
  void endFaults();

  /// True if an instance is down, frozen or disconnected, or if messages, the
  /// store, orders or heartbeats are disturbed.
  bool hasFaults() const;

  /// Number of shards.
  int shardCount() const { return Shards; }

  /// True if each shard has a leader.
  bool isLed() const;

  /// Names of all instances.
  std::vector<std::string> names() const;

  /// Name of the instance that leads a shard; empty if none or more than one
  /// instance considers itself its leader.
  std::string leader(int Shard = 0) const;

  /// Name of the account that a job belongs to.
  const std::string &accountOf(const std::string &Id) const;

  /// True if a job's queue requires placement advice.
  bool isAdvised(const std::string &Id) const;
  /// Path of the queue that a job was submitted to.
  const std::string &queueOf(const std::string &Id) const {
    return QueueOf.at(Id);
  }

  /// Number of messages that an instance has received from others.
  int messagesReceived(const std::string &Name) const {
    const auto Found = Messages.find(Name);
    return Found == Messages.end() ? 0 : Found->second;
  }

  /// True if the process of an instance is running and not frozen.
  bool isRunning(const std::string &Name) const {
    return Instances.at(Name).Node && !Instances.at(Name).Frozen;
  }

  /// The node of a running instance.
  cell::Node &node(const std::string &Name) { return *Instances.at(Name).Node; }

  /// Fraction of the messages between instances that arrive DelayTime late, and
  /// of those whose reply is lost.
  double DelayedMessages = 0;
  double LostReplies = 0;
  static constexpr Duration DelayTime{2500};

  /// How much longer each message between two instances, and each reply, takes.
  Duration LinkDelay{0};

  /// By how much the wall clocks of all instances differ from the time.
  Duration WallClockStep{0};

  /// What the advice service does with the calls of an instance.
  AdviceLink &adviceLink(const std::string &Name) { return AdviceLinks[Name]; }

  /// Publishes a policy with the version \p Version in which the accounts have
  /// other keys than callers use.
  void withdrawKeys(std::int64_t Version);

  /// Publishes the policy with the version \p Version.
  void putPolicy(std::int64_t Version);

  /// Replaces the queues of the policy and publishes it with \p Version.
  void putQueues(std::vector<jobs::Queue> Queues, std::int64_t Version);

  /// Replaces the queues of the policy and the keys of its first account and
  /// publishes it with \p Version.
  void putQueuesAndKeys(std::vector<jobs::Queue> Queues,
                        std::vector<std::string> Keys, std::int64_t Version);

  /// The queues of the policy.
  const std::vector<jobs::Queue> &queues() const { return Queues; }

  /// Publishes a policy with the version \p Version that has no accounts.
  void removeAccounts(std::int64_t Version);

  /// Writes or removes the operators' row that evacuates a zone.
  void evacuate(const std::string &Zone);
  void takeBack(const std::string &Zone);

  /// Of the instances that are started from now on.
  cell::Timing Times;

  /// Drops the row of a worker, which goes on and writes it again at its next
  /// update.
  void dropRow(const std::string &Worker);

  /// Overwrites the row of a worker with one that claims another start time,
  /// until the worker writes its own again.
  void putForeignRow(const std::string &Worker, std::int64_t StartedUnixMs);

  /// Submits a job of one step at an instance and returns the job id. All runs
  /// of a job with the payload "fails" fail; see also CrashingJob.
  std::string submit(const std::string &Instance, jobs::StepSpec Step,
                     const std::string &Queue = "/batch/",
                     const std::string &Payload = "");

  /// Submits a known job again.
  void submitAgain(const std::string &Instance, const std::string &Id);

  /// Queries the state of a job, or cancels it.
  void read(const std::string &Instance, const std::string &Id);
  void cancel(const std::string &Instance, const std::string &Id);

  /// Repeats a cancellation until it is acknowledged; returns whether it was
  /// within 15 s.
  bool cancelUntilAcknowledged(const std::string &Instance,
                               const std::string &Id);

  const std::map<std::string, JobRecord> &jobs() const { return Records; }

  /// Names of the tasks that are at work although the cancellation of their job
  /// was acknowledged.
  std::vector<std::string> activeTasksOfCancelledJobs() const;

  /// The log lines of all instances about lost runs.
  const std::vector<std::string> &linesOfLostRuns() const {
    return linesOf("run lost");
  }

  /// The log lines of all instances with the event \p Event. Precondition: it
  /// is one of those that are kept.
  const std::vector<std::string> &linesOf(std::string_view Event) const;

  /// Number of answers by status.
  const std::map<cell::ClientStatus, int> &answers() const { return Answers; }

private:
  class Network;
  class TraceLog;
  struct Instance {
    std::unique_ptr<EmulatedStore::Handle> Store;
    std::unique_ptr<EmulatedWorkers::Handle> Workers;
    std::unique_ptr<EmulatedAdvice> Advice;
    std::unique_ptr<Network> Peers;
    std::unique_ptr<cell::Node> Node;
    double CpuShare = 1;
    bool Frozen = false;
    int Starts = 0;
  };

  bool happens(double Probability);
  void pump(const std::string &Name, int Start);
  void call(const std::string &Instance, const std::string &Id,
            cell::ClientVerb Verb);
  void publishWorkers();

  VirtualTime Time;
  EmulatedStore Store;
  EmulatedWorkers Workers;
  std::vector<jobs::Queue> Queues;
  const std::vector<jobs::ClientAccount> Accounts;
  const int Shards;
  std::vector<jobs::ClientAccount> PolicyAccounts; ///< As the policy has them.
  std::map<std::int64_t, jobs::ClusterPolicy> Policies; ///< By version.
  std::mt19937_64 Random;
  std::unique_ptr<cell::PlatformRecords> RowCodec;
  std::unique_ptr<cell::WallClock> WallTime;
  std::unique_ptr<TraceLog> Log;
  std::map<std::string, AdviceLink> AdviceLinks; ///< By instance.
  std::map<std::string, Instance> Instances;
  std::set<std::string> CutInstances;
  std::map<std::string, JobRecord> Records;
  std::map<std::string, std::string> QueueOf;
  std::map<std::string, std::size_t> AccountIndex; ///< By job id.
  std::map<std::string, int> Messages;             ///< Received, by instance.
  std::map<std::string, TimePoint> PublishedAt;    ///< By worker id.
  std::map<cell::ClientStatus, int> Answers;
  std::uint64_t LastId = 0;
};

/// Returns \p Count client accounts of equal weight, named "a" plus their
/// index.
std::vector<jobs::ClientAccount> equalAccounts(int Count);

/// Returns a layout of two shards of equal size, to which four accounts belong
/// in turn.
cell::ShardLayout twoShards();

/// Returns a step of \p Count tasks that take \p Work each.
jobs::StepSpec stepOf(int Count, Duration Work, bool Gang = false);

} // namespace apricotwing::emulator

#endif
