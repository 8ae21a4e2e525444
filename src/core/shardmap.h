/// \file
/// Which shard a worker belongs to, and which instance tries first to own a
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

/// Names of the shards of a cell: "s0", "s1", ... Precondition: \p Count is
/// at least 1. Thread-safe.
std::vector<ShardId> shardIds(std::uint32_t Count);

/// Deals whole racks out to \p Count shards: the racks of each availability
/// zone in turn, in name order. Thread-safe.
std::map<WorkerId, ShardId>
assignWorkers(const std::vector<ListedWorker> &Workers, std::uint32_t Count);

/// The shard that a run goes to, from a hash of its id, so that the runs of a
/// team spread over all shards. Thread-safe.
ShardId shardOfRun(const RunId &Run, std::uint32_t Count);

/// Rendezvous hashing: the instance with the highest hash of (instance,
/// shard); empty if there is none. A hint only, the shard row decides.
/// Thread-safe.
InstanceId rendezvousOwner(const ShardId &Shard,
                           const std::vector<InstanceId> &Instances);

} // namespace apricotwing

#endif
