/// \file
/// Interfaces through which an entry instance uses the metadata store, workers,
/// the advice service, its peers and the log. Calls that take a callback are
/// asynchronous: the callback runs on the control thread, never before the call
/// has returned.
#ifndef APRICOTWING_CELL_PORTS_H
#define APRICOTWING_CELL_PORTS_H

#include "core/time.h"
#include "jobs/clusterpolicy.h"
#include "jobs/run.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace apricotwing::cell {

/// A row of the metadata store.
struct StoredRow {
  std::string Table;
  std::string Key;
  std::string Value;
  std::int64_t Version = 0;
  bool Deleted = false; ///< Set only in results of a watch.
};

/// A precondition of a transaction: the row has this version; 0 means that it
/// does not exist.
struct RowCondition {
  std::string Table;
  std::string Key;
  std::int64_t Version = 0;
};

/// Maximum size of the value of a row in bytes. The store accepts 65,536, and a
/// packed row also contains the name of the row that was changed.
inline constexpr std::size_t MaxValueBytes = 65'000;

/// Writes a row, or removes it if the value is empty.
struct RowChange {
  std::string Table;
  std::string Key;
  std::optional<std::string> Value;
};

/// Changes that are applied atomically. All rows are in the same partition.
struct Transaction {
  std::string Partition;
  std::vector<RowCondition> Conditions;
  std::vector<RowChange> Changes;
};

/// Result of a call to the store.
enum class StoreOutcome {
  Done,     ///< The transaction was applied or the rows were read.
  Conflict, ///< A condition was not met; nothing was applied.
  Refused,  ///< The store rejected the call, e.g. because it is busy; nothing
            ///< was done.
  Unknown, ///< No response; a transaction may have been applied or may still be
           ///< applied later.
  Invalid, ///< The store will never accept the call, e.g. because a row is too
           ///< large; nothing was done.
  HistoryLost, ///< The store no longer keeps the changes that a watch asked
               ///< for.
};

inline constexpr NameTable<StoreOutcome, 6> StoreOutcomeNames = {{
    {StoreOutcome::Done, "done"},
    {StoreOutcome::Conflict, "conflict"},
    {StoreOutcome::Refused, "refused"},
    {StoreOutcome::Unknown, "unknown"},
    {StoreOutcome::Invalid, "invalid"},
    {StoreOutcome::HistoryLost, "history_lost"},
}};

struct TransactionResult {
  StoreOutcome Outcome = StoreOutcome::Unknown;
  std::int64_t Version = 0; ///< New version of the store, if Done.
  /// If Conflict: the current rows of the conditions.
  std::vector<StoredRow> Present;
};

struct ReadResult {
  StoreOutcome Outcome = StoreOutcome::Unknown;
  std::vector<StoredRow> Rows; ///< Sorted by key.
  bool HasMore = false;
  std::int64_t Version = 0; ///< Version of the store at the time of the read.
  /// Size of the part of the response that has arrived, in bytes, also if the
  /// read failed.
  std::size_t ReceivedBytes = 0;
};

/// The platform's metadata store.
class MetadataStore {
public:
  virtual ~MetadataStore() = default;

  /// Applies \p Changes atomically, or not at all.
  virtual void transact(const Transaction &Changes,
                        std::function<void(TransactionResult)> Callback) = 0;

  /// Reads one page of the rows in a partition of a table, starting at the key
  /// \p From. The page has at most \p MaxRows rows, which must be at least 1,
  /// and may have fewer.
  virtual void read(const std::string &Table, const std::string &Partition,
                    const std::string &From, std::size_t MaxRows,
                    std::function<void(ReadResult)> Callback) = 0;

  /// Waits for up to \p Wait until rows of \p Table have changed since version
  /// \p After, and returns them.
  virtual void watch(const std::string &Table, std::int64_t After,
                     Duration Wait,
                     std::function<void(ReadResult)> Callback) = 0;

  /// Returns the rows of \p Table that have changed since version \p After,
  /// without waiting for a change, or the first page of the rows in its unnamed
  /// partition if \p After is negative. Uses a new connection, so the response
  /// does not depend on open ones that have gone silent.
  virtual void readChanges(const std::string &Table, std::int64_t After,
                           std::function<void(ReadResult)> Callback) = 0;
};

/// Decodes the rows that the platform's operators and workers write.
class PlatformRecords {
public:
  virtual ~PlatformRecords() = default;

  /// Name of the table that contains the policy.
  virtual std::string policyTable() const = 0;

  /// Decodes the policy; empty if \p Row is a different row or is invalid.
  virtual std::optional<jobs::ClusterPolicy>
  decodePolicy(const StoredRow &Row) const = 0;

  /// Returns the availability zone whose evacuation the row of policyTable()
  /// requests, by its key, so that it also decodes removed rows; empty if \p
  /// Row is a different row or names no zone.
  virtual std::optional<std::string>
  decodeEvacuation(const StoredRow &Row) const = 0;

  /// Name of the table that contains one row per worker, with the worker's id
  /// as the key.
  virtual std::string workerTable() const = 0;

  /// Decodes a worker; empty if \p Row describes no usable worker.
  virtual std::optional<jobs::WorkerInfo>
  decodeWorker(const StoredRow &Row) const = 0;
};

/// Result of a call to a worker.
enum class WorkerOutcome {
  Done,
  NoAnswer,  ///< No response; the call may have been or may still be executed.
  NotSent,   ///< No connection; the call was not and will not be executed.
  Fenced,    ///< The worker has seen a higher fencing token.
  Restarted, ///< The worker named a later start, so its process of before has
             ///< ended. The lists of a heartbeat are those of the next one,
             ///< which carries out the calls.
  OtherWorker, ///< Another worker responds at the address, or one that names an
               ///< earlier start. The call was not executed by the process that
               ///< it was meant for, which may go on.
  ConnectionRefused, ///< Like NotSent. Either no process listens on the port,
                     ///< or the network rejects connections to it.
  NoRoom,
  NoTicket,
  Expired, ///< The deadline of the call has passed, or the worker knows a newer
           ///< run.
  Unhealthy, ///< Temporarily rejected; nothing was done.
  Malformed,
};

inline constexpr NameTable<WorkerOutcome, 12> WorkerOutcomeNames = {{
    {WorkerOutcome::Done, "done"},
    {WorkerOutcome::NoAnswer, "no_answer"},
    {WorkerOutcome::NotSent, "not_sent"},
    {WorkerOutcome::Fenced, "fenced"},
    {WorkerOutcome::Restarted, "restarted"},
    {WorkerOutcome::OtherWorker, "other_worker"},
    {WorkerOutcome::ConnectionRefused, "connection_refused"},
    {WorkerOutcome::NoRoom, "no_room"},
    {WorkerOutcome::NoTicket, "no_ticket"},
    {WorkerOutcome::Expired, "expired"},
    {WorkerOutcome::Unhealthy, "unhealthy"},
    {WorkerOutcome::Malformed, "malformed"},
}};

/// Target of a call to a worker and the fencing token that authorizes it.
struct WorkerAddress {
  jobs::WorkerIncarnation Incarnation;
  std::string Address;    ///< host:port.
  std::int64_t Token = 0; ///< Fencing token.
};

struct HeartbeatRequest {
  /// New end of the lease, on the worker's clock.
  std::optional<std::int64_t> DeadlineMs;
  /// The worker may drop ended runs up to this number.
  std::int64_t AckCursor = 0;
  /// How long the worker may delay the response until a run ends.
  Duration Wait{0};
};

struct HeartbeatResult {
  WorkerOutcome Outcome = WorkerOutcome::NoAnswer;
  std::int64_t ClockMs = 0; ///< The worker's clock when it responded.
  std::vector<jobs::ActiveRun> Running; ///< All active runs.
  /// The first ended runs that are not acknowledged, by number.
  std::vector<jobs::EndedRun> Ended;
  /// Ended may leave runs out, which are returned once the listed ones are
  /// acknowledged.
  bool MayHaveMoreEnded = false;
  /// Unix time in ms at which the process that responded started; 0: not named.
  std::int64_t StartedUnixMs = 0;
  /// For NoAnswer: the connection closed before the timeout.
  bool ConnectionClosed = false;
};

struct WorkerAnswer {
  WorkerOutcome Outcome = WorkerOutcome::NoAnswer;
  /// The worker's clock when it responded.
  std::optional<std::int64_t> ClockMs;
};

/// Calls to workers.
class WorkerClient {
public:
  virtual ~WorkerClient() = default;

  /// Extends the lease, acknowledges ended runs and reads the lists of running
  /// and ended runs.
  virtual void heartbeat(const WorkerAddress &To,
                         const HeartbeatRequest &Request,
                         std::function<void(HeartbeatResult)> Callback) = 0;

  /// Starts a run. The worker rejects the order after \p DeadlineMs on its own
  /// clock.
  virtual void start(const WorkerAddress &To, const jobs::StartCommand &Order,
                     std::int64_t DeadlineMs,
                     std::function<void(WorkerAnswer)> Callback) = 0;

  /// Stops a run. A start of the same run that arrives later is rejected.
  virtual void stop(const WorkerAddress &To, const jobs::StopCommand &Order,
                    std::function<void(WorkerAnswer)> Callback) = 0;
};

/// Client of the service that decides which workers may run a step.
class AdviceClient {
public:
  virtual ~AdviceClient() = default;

  /// Maximum duration of a call. It may be queued behind up to 32 others of
  /// this instance.
  static constexpr Duration Timeout{5000};

  /// Requests advice for a step; the callback gets an empty result if there was
  /// no answer within Timeout. The service spends Request.CostMs on each call
  /// that it receives.
  virtual void
  ask(const jobs::AdviceRequest &Request,
      std::function<void(std::optional<std::vector<jobs::Approval>>)>
          Callback) = 0;
};

/// Result of a message to another entry instance.
struct PeerResult {
  /// Empty: there was no reply in time, or the other end could not give one.
  std::optional<std::string> Reply;
  /// The message was not and will not be received.
  bool NotSent = false;
};

/// Sends messages to another entry instance.
class PeerTransport {
public:
  virtual ~PeerTransport() = default;

  /// Sends \p Body to \p Address and waits up to \p Timeout for the reply.
  virtual void post(const std::string &Address, std::string Body,
                    Duration Timeout,
                    std::function<void(PeerResult)> Callback) = 0;
};

/// Structured log of scheduling decisions and state changes.
class EventLog {
public:
  using Field = std::pair<std::string_view, std::string>;

  virtual ~EventLog() = default;

  /// Writes one log line. \p Subject is the id that an operator would search
  /// for, and may be empty. Never blocks.
  virtual void event(std::string_view Name, std::string_view Subject,
                     std::initializer_list<Field> Fields) = 0;
};

/// Wall clock, for times that must stay meaningful after a restart of the
/// process.
class WallClock {
public:
  virtual ~WallClock() = default;

  /// Milliseconds since 1970 (Unix time).
  virtual std::int64_t unixMs() const = 0;
};

} // namespace apricotwing::cell

#endif
