/// \file
/// Ports: the platform's object store, instance list and workers, the
/// upstreams, and the peers of this instance.
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

  /// Reads a whole object; empty if absent. Throws Error(StoreUnavailable).
  /// Thread-safe.
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
  std::string PeerAddress; ///< "ip:port" for other entry instances.
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

/// The platform's list of live and leaving instances; it lags.
struct InstanceSnapshot {
  std::vector<ListedInstance> Instances;
  std::vector<ListedWorker> Workers;
  std::vector<ListedExecutor> Executors;
};

/// The instance list. Implementations are thread-safe.
class InstanceList {
public:
  virtual ~InstanceList() = default;

  /// Reads the whole list. Throws Error(StoreUnavailable). Thread-safe.
  virtual InstanceSnapshot read() = 0;
};

/// A task as a worker reports it.
struct TaskReport {
  AttemptId Id;
  TaskState State = TaskState::Running; ///< Running or a final state.
  std::int32_t ExitCode = 0;
  Resources Used; ///< Lags behind the real use.
};

/// A start that the owner of a shard asks a worker for.
struct TaskStart {
  ShardId Shard;
  Epoch ShardEpoch = 0;
  AttemptId Id;
  Resources Reserved;
  std::string Payload;
  bool FromCheckpoint = false;
  /// On the worker's own clock. A worker refuses a start that it reads later:
  /// by then the attempt may count as ended and run elsewhere.
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

/// Renewal of the one lease that covers all tasks of a shard on a worker.
struct LeaseRenewal {
  ShardId Shard;
  Epoch ShardEpoch = 0;
  std::int64_t DeadlineMs = 0; ///< On the worker's own clock; 0: read only.
  std::vector<AttemptId> Acknowledged; ///< Ended attempts to forget.
};

struct LeaseAnswer {
  std::int64_t NowMs = 0; ///< The worker's own clock.
  std::vector<TaskReport> Tasks;
};

/// Calls to workers. Implementations are thread-safe and block for at most
/// the configured timeout. All calls throw Error(StaleEpoch) if the worker
/// has seen a higher epoch, Error(UpstreamFailed) with outcome NotRun if the
/// worker certainly did nothing, and with outcome Unknown otherwise.
class WorkerClient {
public:
  virtual ~WorkerClient() = default;

  /// Renews the lease and collects reports. Thread-safe.
  virtual LeaseAnswer renew(const std::string &Address,
                            const LeaseRenewal &Renewal) = 0;

  /// Starts an attempt; the same attempt may be sent again. Throws
  /// Error(LimitReached) if the worker has no room. Thread-safe.
  virtual void start(const std::string &Address, const TaskStart &Start) = 0;

  /// Stops, checkpoints or throttles an attempt. Thread-safe.
  virtual void stop(const std::string &Address, const TaskStop &Stop) = 0;
};

/// A quick request on its way to an executor.
struct UpstreamRequest {
  std::string Address;   ///< "ip:port" of the executor.
  std::string RequestId; ///< Echoed by the executor.
  std::string Body;
  std::string ContentType;
  bool Idempotent = false;
  Duration Timeout{0};
  /// Asked once the connection is open, right before the first byte is
  /// written; false ends the send as NotSent. Must not block; may be empty.
  std::function<bool()> MaySend;
};

/// How one send to an executor ended.
enum class SendResult {
  Answered, ///< A whole answer that belongs to this request.
  NotSent,  ///< No byte of the request reached the executor.
  Refused,  ///< The executor said that it did not run the request.
  InDoubt,  ///< The request may have run; there is no usable answer.
};

struct UpstreamAnswer {
  SendResult Result = SendResult::InDoubt;
  int Status = 0;
  std::string Body;
  std::string ContentType;
  bool Leaving = false; ///< The executor said that it is leaving.
  std::string Detail;   ///< Why there is no answer; for logs and errors.
};

/// Sends requests to executors. Implementations are thread-safe and must
/// never send a request twice for one call.
class UpstreamClient {
public:
  virtual ~UpstreamClient() = default;

  /// Sends once and waits for the whole answer, at most Timeout. Does not
  /// throw; every failure is in the result. Thread-safe.
  virtual UpstreamAnswer send(const UpstreamRequest &Request) = 0;
};

/// Answer of a peer that is asked for a promise during a store outage.
struct PeerPromise {
  bool StoreReachable = true;
  Duration PromisedFor{0}; ///< Zero: no promise.
  std::uint64_t ConfigVersion = 0;
};

/// Calls to other entry instances. Implementations are thread-safe.
class PeerClient {
public:
  virtual ~PeerClient() = default;

  /// Asks for a promise; empty if the peer cannot be reached. Thread-safe.
  virtual std::optional<PeerPromise>
  requestPromise(const std::string &PeerAddress, const InstanceId &From,
                 Epoch SessionEpoch) = 0;

  /// Tells the owner of \p Shard that there are new rows. A lost call does
  /// no harm. Thread-safe.
  virtual void notify(const std::string &PeerAddress, const ShardId &Shard) = 0;
};

} // namespace apricotwing

#endif
