/// \file
/// Ports of the platform's stores that count their calls.
#ifndef APRICOTWING_DAEMON_METEREDSTORE_H
#define APRICOTWING_DAEMON_METEREDSTORE_H

#include "core/platform.h"
#include "core/tableservice.h"
#include "daemon/metrics.h"

#include <atomic>

namespace apricotwing {

/// Passes each call to another table service and counts calls, time and
/// failures. Owned by the daemon. All methods are thread-safe and throw what
/// the inner service throws.
class MeteredTableService final : public TableService {
public:
  /// The references must outlive this object.
  MeteredTableService(TableService &Inner, Metrics &Counts, const Clock &Time);

  CommitResult transact(const Transaction &Change) override;
  std::optional<Row> read(const std::string &Key) override;
  std::vector<Row> scan(const std::string &Prefix,
                        const std::string &After = {},
                        std::uint32_t Limit = 1000) override;

  /// Transactions sent since the start. Thread-safe.
  std::uint64_t writes() const { return Writes.load(); }

  /// Reads and scans sent since the start. Thread-safe.
  std::uint64_t reads() const { return Reads.load(); }

private:
  TableService &Inner;
  Metrics &Counts;
  const Clock &Time;
  std::atomic<std::uint64_t> Writes{0};
  std::atomic<std::uint64_t> Reads{0};
};

/// Passes each call to another object store and counts calls, time and
/// failures. Owned by the daemon. All methods are thread-safe and throw what
/// the inner store throws.
class MeteredObjectStore final : public ObjectStore {
public:
  /// The references must outlive this object.
  MeteredObjectStore(ObjectStore &Inner, Metrics &Counts, const Clock &Time);

  void put(const std::string &Name, const std::string &Content) override;
  std::optional<std::string> read(const std::string &Name) override;
  void remove(const std::string &Name) override;

private:
  ObjectStore &Inner;
  Metrics &Counts;
  const Clock &Time;
};

} // namespace apricotwing

#endif
