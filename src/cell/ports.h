/// \file
/// Ports of an entry instance: the metadata store, workers, the advice
/// service, its peers and the log. All calls are asynchronous; a callback runs
/// on the control thread, never before the call has returned.
#ifndef APRICOTWING_CELL_PORTS_H
#define APRICOTWING_CELL_PORTS_H

#include "core/time.h"
#include "jobs/clusterpolicy.h"
#include "jobs/run.h"

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
  bool Deleted = false; ///< In answers to a watch only.
};

/// A version that a row must have; 0: it must not exist.
struct RowCondition {
  std::string Table;
  std::string Key;
  std::int64_t Version = 0;
};

/// A new value of a row; empty: the row is removed.
struct RowChange {
  std::string Table;
  std::string Key;
  std::optional<std::string> Value;
};

/// Changes that are applied together or not at all. All rows are in one part.
struct Transaction {
  std::string Partition;
  std::vector<RowCondition> Conditions;
  std::vector<RowChange> Changes;
};

/// How a call to the store ended.
enum class StoreOutcome {
  Done,     ///< Applied, or read.
  Conflict, ///< A condition was not met; nothing was applied.
  Refused,  ///< The store was busy or turned the call away; nothing was done.
  Unknown,  ///< No answer; a change may have been or may still be applied.
  HistoryLost, ///< A watch asked for changes that are not kept any more.
};

struct TransactionResult {
  StoreOutcome Outcome = StoreOutcome::Unknown;
  std::int64_t Version = 0;       ///< If Done.
  std::vector<StoredRow> Present; ///< If Conflict: the rows of the conditions.
};

struct ReadResult {
  StoreOutcome Outcome = StoreOutcome::Unknown;
  std::vector<StoredRow> Rows; ///< With keys in ascending order.
  bool HasMore = false;
  std::int64_t Version = 0; ///< Newest version of the store at the reading.
};

/// The platform's metadata store.
class MetadataStore {
public:
  virtual ~MetadataStore() = default;

  /// Applies \p Changes.
  virtual void transact(const Transaction &Changes,
                        std::function<void(TransactionResult)> Then) = 0;

  /// Reads the rows of a table's part with keys from \p From on.
  virtual void read(const std::string &Table, const std::string &Partition,
                    const std::string &From,
                    std::function<void(ReadResult)> Then) = 0;

  /// Waits up to \p Wait for rows of \p Table that changed after the version
  /// \p After.
  virtual void watch(const std::string &Table, std::int64_t After,
                     Duration Wait, std::function<void(ReadResult)> Then) = 0;
};

/// Reads the rows that the platform's operators and workers write.
class PlatformRecords {
public:
  virtual ~PlatformRecords() = default;

  /// The table with the policy.
  virtual std::string policyTable() const = 0;

  /// The policy in \p Row; empty if it is another row or cannot be read.
  virtual std::optional<jobs::ClusterPolicy>
  decodePolicy(const StoredRow &Row) const = 0;

  /// The table with one row per worker, whose key is the worker's id.
  virtual std::string workerTable() const = 0;

  /// The worker that \p Row describes; empty if it names none to use.
  virtual std::optional<jobs::WorkerInfo>
  decodeWorker(const StoredRow &Row) const = 0;
};

/// How a call to a worker ended.
enum class WorkerOutcome {
  Done,
  NoAnswer,  ///< It may have been carried out or may be later.
  NotSent,   ///< No connection; it has not been and will not be carried out.
  Fenced,    ///< The worker has seen a higher fencing token.
  OtherLife, ///< The worker has been started again.
  NoProcess, ///< Its machine answers that nobody listens there.
  NoRoom,
  NoTicket,
  Expired,   ///< Its deadline has passed, or a newer run is known there.
  Unhealthy, ///< Refused for the moment; nothing was done.
  Malformed,
};

inline constexpr NameTable<WorkerOutcome, 11> WorkerOutcomeNames = {{
    {WorkerOutcome::Done, "done"},
    {WorkerOutcome::NoAnswer, "no_answer"},
    {WorkerOutcome::NotSent, "not_sent"},
    {WorkerOutcome::Fenced, "fenced"},
    {WorkerOutcome::OtherLife, "other_life"},
    {WorkerOutcome::NoProcess, "no_process"},
    {WorkerOutcome::NoRoom, "no_room"},
    {WorkerOutcome::NoTicket, "no_ticket"},
    {WorkerOutcome::Expired, "expired"},
    {WorkerOutcome::Unhealthy, "unhealthy"},
    {WorkerOutcome::Malformed, "malformed"},
}};

/// Whom a call goes to and by which right.
struct WorkerAddress {
  jobs::WorkerIncarnation Life;
  std::string Address;    ///< host:port.
  std::int64_t Token = 0; ///< Fencing token.
};

struct HeartbeatRequest {
  std::optional<std::int64_t> DeadlineMs; ///< New end of the lease, on the
                                          ///< worker's clock.
  std::int64_t AckCursor = 0; ///< Ends up to this number may be forgotten.
  Duration Wait{0};           ///< How long the answer may wait for an end.
};

struct HeartbeatResult {
  WorkerOutcome Outcome = WorkerOutcome::NoAnswer;
  std::int64_t ClockMs = 0; ///< The worker's clock at its answer.
  std::vector<jobs::ActiveRun> Running;
  std::vector<jobs::EndedRun> Ended;
};

struct WorkerAnswer {
  WorkerOutcome Outcome = WorkerOutcome::NoAnswer;
  std::optional<std::int64_t> ClockMs; ///< The worker's clock at its answer.
};

/// Calls to workers.
class WorkerClient {
public:
  virtual ~WorkerClient() = default;

  /// Extends the lease, acknowledges ends and reads the lists.
  virtual void heartbeat(const WorkerAddress &To,
                         const HeartbeatRequest &Request,
                         std::function<void(HeartbeatResult)> Then) = 0;

  /// Starts a run. \p DeadlineMs on the worker's clock: not carried out later.
  virtual void start(const WorkerAddress &To, const jobs::StartCommand &Order,
                     std::int64_t DeadlineMs,
                     std::function<void(WorkerAnswer)> Then) = 0;

  /// Stops a run; one that has not arrived yet will be refused.
  virtual void stop(const WorkerAddress &To, const jobs::StopCommand &Order,
                    std::function<void(WorkerAnswer)> Then) = 0;
};

/// The service that knows which workers may run a step.
class AdviceClient {
public:
  virtual ~AdviceClient() = default;

  /// Asks for \p Request; the answer is empty if there was none. A call that
  /// has arrived is worked on for Request.CostMs.
  virtual void
  ask(const jobs::AdviceRequest &Request,
      std::function<void(std::optional<std::vector<jobs::Approval>>)> Then) = 0;
};

/// Sends mail to another entry instance.
class PeerTransport {
public:
  virtual ~PeerTransport() = default;

  /// Posts \p Body to \p Address; the reply is empty if there was none within
  /// \p Timeout.
  virtual void post(const std::string &Address, std::string Body,
                    Duration Timeout,
                    std::function<void(std::optional<std::string>)> Then) = 0;
};

/// Receives one line per decision.
class EventLog {
public:
  using Field = std::pair<std::string_view, std::string>;

  virtual ~EventLog() = default;

  /// Writes one line. \p Subject is the id that an operator searches for; may
  /// be empty. Never blocks.
  virtual void event(std::string_view Name, std::string_view Subject,
                     std::initializer_list<Field> Fields) = 0;
};

/// The time of day, for what outlives a process.
class WallClock {
public:
  virtual ~WallClock() = default;

  /// Milliseconds since 1970.
  virtual std::int64_t unixMs() const = 0;
};

} // namespace apricotwing::cell

#endif
