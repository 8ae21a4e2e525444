/// \file
/// Division of a cell into shards.
#ifndef APRICOTWING_CELL_SHARDLAYOUT_H
#define APRICOTWING_CELL_SHARDLAYOUT_H

#include "jobs/clusterpolicy.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace apricotwing::cell {

/// Assigns client accounts, workers and instances to the shards of a cell. Each
/// shard has a leader of its own, which schedules the jobs of the shard's
/// accounts on the shard's workers. An account belongs to one shard, so its
/// limit needs no agreement between leaders. The layout is stored when the cell
/// starts for the first time and never changes. A value type.
class ShardLayout {
public:
  /// A layout with a single shard.
  ShardLayout() = default;

  /// \p Shares has the fraction of the workers of each shard; the sum is 1.
  /// \p Accounts has the shard of each account that is known in advance.
  /// Precondition: \p Shares is not empty and names each shard that \p Accounts
  /// refers to.
  ShardLayout(std::vector<double> Shares, std::map<std::string, int> Accounts)
      : Shares(std::move(Shares)), Accounts(std::move(Accounts)) {}

  /// Number of shards, at least 1. Thread-safe.
  int shardCount() const { return int(Shares.size()); }

  /// Shard of a client account. An account that was added later belongs to a
  /// shard chosen by a hash of its name. Thread-safe.
  int shardOfAccount(const std::string &Name) const;

  /// Shard of a worker, chosen by a hash of its id. Thread-safe.
  int shardOfWorker(std::string_view Id) const;

  /// The shard that an entry instance always takes part in. Thread-safe.
  int homeOfInstance(std::string_view Name) const;

  const std::vector<double> &shares() const { return Shares; }
  const std::map<std::string, int> &accounts() const { return Accounts; }

  friend bool operator==(const ShardLayout &, const ShardLayout &) = default;

private:
  int shardAt(std::string_view Name) const;

  std::vector<double> Shares{1.0};
  std::map<std::string, int> Accounts; ///< By name.
};

/// Plans the layout of a cell with \p Workers workers and \p Instances entry
/// instances. The number of shards follows the number of workers, but no shard
/// is smaller than the share of the largest account. Accounts are distributed
/// so that the shards have similar total weights, and each shard gets workers
/// in proportion to the weight of its accounts. Thread-safe.
ShardLayout planLayout(const std::vector<jobs::ClientAccount> &Accounts,
                       std::size_t Workers, std::size_t Instances);

/// Number of workers that one leader is expected to schedule. With half of a
/// core a leader is at less than half of its CPU share on 300 workers under the
/// usual load.
inline constexpr std::size_t WorkersPerShard = 300;

/// Minimum number of instances per shard, for a leader, its successor and
/// members that supervise workers.
inline constexpr std::size_t MinInstancesPerShard = 4;

/// The largest account may have this multiple of the average weight of a shard.
inline constexpr double MaxAccountRatio = 1.25;

} // namespace apricotwing::cell

#endif
