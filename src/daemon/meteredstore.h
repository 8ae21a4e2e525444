/// \file
/// Decorators that record metrics of the calls to the platform's stores.
#ifndef APRICOTWING_DAEMON_METEREDSTORE_H
#define APRICOTWING_DAEMON_METEREDSTORE_H

#include "core/platform.h"
#include "core/tableservice.h"
#include "daemon/metrics.h"

#include <atomic>

namespace apricotwing {

/// Forwards each call to another table service and records the number, duration
/// and failures of the calls. Owned by the Daemon. All methods are thread-safe
/// and rethrow the errors of the inner service.
class MeteredTableService final : public TableService {
public:
  /// The references must outlive this object.
  MeteredTableService(TableService &Inner, DaemonMetrics &Metrics,
                      const Clock &Time);

  CommitResult transact(const Transaction &Change) override;
  std::optional<Row> read(const std::string &Key) override;
  std::vector<Row> scan(const std::string &Prefix,
                        const std::string &After = {},
                        std::uint32_t Limit = 1000) override;

  /// Number of transactions sent since the start. Thread-safe.
  std::uint64_t writes() const { return Writes.load(); }

  /// Number of reads and scans sent since the start. Thread-safe.
  std::uint64_t reads() const { return Reads.load(); }

private:
  TableService &Inner;
  DaemonMetrics &Metrics;
  const Clock &Time;
  std::atomic<std::uint64_t> Writes{0};
  std::atomic<std::uint64_t> Reads{0};
};

/// Forwards each call to another object store and records the number, duration
/// and failures of the calls. Owned by the Daemon. All methods are thread-safe
/// and rethrow the errors of the inner store.
class MeteredObjectStore final : public ObjectStore {
public:
  /// The references must outlive this object.
  MeteredObjectStore(ObjectStore &Inner, DaemonMetrics &Metrics,
                     const Clock &Time);

  void put(const std::string &Name, const std::string &Content) override;
  std::optional<std::string> read(const std::string &Name) override;
  void remove(const std::string &Name) override;

private:
  ObjectStore &Inner;
  DaemonMetrics &Metrics;
  const Clock &Time;
};

} // namespace apricotwing

#endif
