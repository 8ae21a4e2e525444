/// \file
/// Assignment of workers and runs to shards, and the preferred owner of a
/// shard.
#ifndef APRICOTWING_CORE_SHARDMAP_H
#define APRICOTWING_CORE_SHARDMAP_H

#include "core/platform.h"
#include "core/run.h"

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace apricotwing {

/// Returns the ids of the shards of a cell: "s0", "s1", ... Thread-safe.
/// Precondition: \p Count is at least 1.
std::vector<ShardId> shardIds(std::uint32_t Count);

/// Assigns workers to \p Count shards by whole racks. The racks of each
/// availability zone are distributed round-robin, in name order. Thread-safe.
std::map<WorkerId, ShardId>
assignWorkers(const std::vector<ListedWorker> &Workers, std::uint32_t Count);

/// Returns the shard of a run. It is chosen by a hash of the run id, so that
/// the runs of a team are spread over all shards. Thread-safe.
ShardId shardOfRun(const RunId &Run, std::uint32_t Count);

/// Rendezvous hashing: returns the instance with the highest hash of (instance,
/// shard), or an empty id if there is none. This is only a hint; the actual
/// owner is recorded in the shard row. Thread-safe.
InstanceId rendezvousOwner(const ShardId &Shard,
                           const std::vector<InstanceId> &Instances);

} // namespace apricotwing

#endif
