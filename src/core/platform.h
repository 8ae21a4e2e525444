/// \file
/// Ports to the outside: the platform's object store, its list of instances,
/// the workers, the upstreams, and the other instances (peers).
#ifndef APRICOTWING_CORE_PLATFORM_H
#define APRICOTWING_CORE_PLATFORM_H

#include "core/run.h"
#include "core/time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace apricotwing {

/// The object store. Implementations are thread-safe and block for at most
/// the configured timeout.
class ObjectStore {
public:
  virtual ~ObjectStore() = default;

  /// Writes a whole object. Throws Error(StoreUnavailable). Thread-safe.
  virtual void put(const std::string &Name, const std::string &Content) = 0;

  /// Reads a whole object; returns no value if it does not exist. Throws
  /// Error(StoreUnavailable). Thread-safe.
  virtual std::optional<std::string> read(const std::string &Name) = 0;

  /// Deletes an object if it exists. Throws Error(StoreUnavailable).
  /// Thread-safe.
  virtual void remove(const std::string &Name) = 0;
};

enum class ListedState { Live, Leaving };

std::string_view listedStateName(ListedState Value);
ListedState parseListedState(std::string_view Name);

struct ListedInstance {
  InstanceId Id;
  std::string Address;     ///< "ip:port" for callers.
  std::string PeerAddress; ///< "ip:port" for other instances.
  std::string Zone;
  ListedState State = ListedState::Live;
};

struct ListedWorker {
  WorkerId Id;
  std::string Address;
  std::string Zone;
  std::string Rack;
  Resources Capacity;
  Labels ListedLabels;
  ListedState State = ListedState::Live;
};

struct ListedExecutor {
  std::string Id;
  std::string Upstream;
  std::string Address;
  std::string Zone;
  ListedState State = ListedState::Live;
};

/// The platform's list of live and leaving processes. It may be out of date.
struct InstanceSnapshot {
  std::vector<ListedInstance> Instances;
  std::vector<ListedWorker> Workers;
  std::vector<ListedExecutor> Executors;
  /// Number of entries of workers and executors that could not be read. They
  /// are left out of the lists.
  std::size_t SkippedEntries = 0;
};

/// The platform's instance list. Implementations are thread-safe.
class InstanceList {
public:
  virtual ~InstanceList() = default;

  /// Reads the whole list. Throws Error(StoreUnavailable). Thread-safe.
  virtual InstanceSnapshot read() = 0;
};

/// State of a task attempt as reported by its worker.
struct TaskReport {
  AttemptId Id;
  TaskState State = TaskState::Running; ///< Running or a final state.
  std::int32_t ExitCode = 0;
  Resources Used; ///< Measured a while ago; may lag behind the current usage.
};

/// Command of a shard's owner to a worker to start a task attempt.
struct TaskStart {
  ShardId Shard;
  Epoch ShardEpoch = 0;
  AttemptId Id;
  Resources Reserved;
  std::string Payload;
  bool FromCheckpoint = false;
  /// Latest time, on the worker's clock, at which the worker may accept the
  /// command. It rejects a later one, because the shard may have declared the
  /// attempt ended by then and started another one on a different worker.
  std::int64_t DeadlineMs = 0;
};

enum class StopMode { Stop, Checkpoint, Throttle };

std::string_view stopModeName(StopMode Value);
StopMode parseStopMode(std::string_view Name);

struct TaskStop {
  ShardId Shard;
  Epoch ShardEpoch = 0;
  AttemptId Id;
  StopMode Mode = StopMode::Stop;
};

/// Renews the lease that covers all tasks of a shard on one worker.
struct LeaseRenewal {
  ShardId Shard;
  Epoch ShardEpoch = 0;
  std::int64_t DeadlineMs =
      0; ///< End of the lease on the worker's clock; 0 only reads the reports.
  std::vector<AttemptId>
      Acknowledged; ///< Ended attempts whose reports the worker may discard.
};

struct LeaseAnswer {
  std::int64_t NowMs = 0; ///< Current time on the worker's clock.
  std::vector<TaskReport> Tasks;
};

/// Client for calls to workers. Implementations are thread-safe and block for
/// at most the configured timeout. Every call throws Error(StaleEpoch) if the
/// worker has seen a higher shard epoch. Other failures throw
/// Error(UpstreamFailed), with outcome NotRun if the worker certainly did not
/// act on the call and with outcome Unknown otherwise.
class WorkerClient {
public:
  virtual ~WorkerClient() = default;

  /// Renews the lease and returns the task reports. Thread-safe.
  virtual LeaseAnswer renew(const std::string &Address,
                            const LeaseRenewal &Renewal) = 0;

  /// Starts an attempt. The command is idempotent: the same attempt may be sent
  /// again. Throws Error(LimitReached) if the worker has too little free
  /// capacity. Thread-safe.
  virtual void start(const std::string &Address, const TaskStart &Start) = 0;

  /// Stops, checkpoints or throttles an attempt. Thread-safe.
  virtual void stop(const std::string &Address, const TaskStop &Stop) = 0;
};

/// An interactive request to send to an executor.
struct UpstreamRequest {
  std::string Address;   ///< "ip:port" of the executor.
  std::string RequestId; ///< Echoed by the executor.
  std::string Body;
  std::string ContentType;
  bool Idempotent = false;
  Duration Timeout{0};
  /// Called once the connection is open, immediately before the first byte is
  /// written. If it returns false, the send ends with NotSent. It must not
  /// block; an empty function permits the send.
  std::function<bool()> MaySend;
};

/// Result of one send to an executor.
enum class SendResult {
  Answered, ///< A complete response to this request was received.
  NotSent,  ///< No byte of the request reached the executor.
  Refused,  ///< The executor reported that it did not run the request.
  InDoubt,  ///< The request may have run, but there is no usable response.
};

struct UpstreamAnswer {
  SendResult Result = SendResult::InDoubt;
  int Status = 0;
  std::string Body;
  std::string ContentType;
  bool Leaving = false; ///< The executor reported that it is leaving.
  std::string Detail;   ///< Reason for a missing response, for logs and errors.
};

/// Sends requests to executors. Implementations are thread-safe and must send
/// a request at most once per call.
class UpstreamClient {
public:
  virtual ~UpstreamClient() = default;

  /// Sends the request once and waits up to Timeout for the complete response.
  /// Does not throw; the result describes every failure. Thread-safe.
  virtual UpstreamAnswer send(const UpstreamRequest &Request) = 0;
};

/// A peer's response to a promise request. During an outage of the table
/// service an instance may extend its lease if every other instance promises
/// not to fence it and not to change the configuration for a while.
struct PeerPromise {
  bool StoreReachable = true;
  Duration PromisedFor{0}; ///< Zero if the peer gave no promise.
  std::uint64_t ConfigVersion = 0;
};

/// Client for calls to other instances. Implementations are thread-safe.
class PeerClient {
public:
  virtual ~PeerClient() = default;

  /// Requests a promise; returns no value if the peer cannot be reached.
  /// Thread-safe.
  virtual std::optional<PeerPromise>
  requestPromise(const std::string &PeerAddress, const InstanceId &From,
                 Epoch SessionEpoch) = 0;

  /// Notifies the owner of \p Shard that its inbox has new rows. The call may
  /// be lost, since the owner also polls for them. Thread-safe.
  virtual void notify(const std::string &PeerAddress, const ShardId &Shard) = 0;
};

} // namespace apricotwing

#endif
