/// \file
/// Transfers of workers between the shards of a cell.
#ifndef APRICOTWING_CELL_WORKERTRANSFER_H
#define APRICOTWING_CELL_WORKERTRANSFER_H

#include "cell/shardlayout.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace apricotwing::cell {

/// Stored record of the transfer of a worker. The leader that gives a worker
/// away writes it into the partition of its own shard, so no other leader can
/// write at the same time.
struct TransferRecord {
  int From = 0;
  int To = 0;
  std::int64_t Number = 0; ///< Counts the transfers of the worker.
  /// Highest fencing token that the earlier shards may have used.
  std::int64_t Token = 0;

  friend bool operator==(const TransferRecord &,
                         const TransferRecord &) = default;
};

/// Load of a shard, as its leader publishes it.
struct ShardLoad {
  int Workers = 0;         ///< That can be used.
  double FreeShare = 0;    ///< Fraction of the processors that is not in use.
  Duration Wait{0};        ///< Time that the workers need for all waiting work.
  Duration LongestWait{0}; ///< Of a step for its next start.

  friend bool operator==(const ShardLoad &, const ShardLoad &) = default;
};

/// Knows which shard uses each worker: that of the layout, or that to which the
/// worker was last transferred. A value type.
class WorkerOwnership {
public:
  explicit WorkerOwnership(ShardLayout Layout) : Layout(std::move(Layout)) {}

  /// The shard that uses a worker.
  int ownerOf(const std::string &Worker) const;

  /// The last transfer of a worker; a record with the number 0 if there is
  /// none.
  TransferRecord lastTransfer(const std::string &Worker) const;

  /// Adds a transfer. Returns false if it is older than a known one.
  bool record(const std::string &Worker, const TransferRecord &Transfer);

  const ShardLayout &layout() const { return Layout; }

private:
  ShardLayout Layout;
  std::map<std::string, TransferRecord> Transfers; ///< By worker id.
};

/// Workers that a shard gives to another one.
struct PlannedTransfer {
  int To = 0;
  std::size_t Workers = 0;
};

/// Decides whether a shard with the load \p Own gives some of its \p
/// IdleWorkers workers without any work to the neediest of the shards \p
/// Others. A shard gives workers only while nothing waits for long in it, and
/// keeps enough for a burst. Thread-safe.
std::optional<PlannedTransfer>
planTransfer(const ShardLoad &Own, const std::map<int, ShardLoad> &Others,
             std::size_t IdleWorkers);

} // namespace apricotwing::cell

#endif
