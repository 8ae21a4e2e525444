#include "core/shardmap.h"

#include <set>
#include <string>
#include <xxhash.h>

namespace apricotwing {

namespace {

std::uint64_t hashOf(const std::string &Text, std::uint64_t Seed = 0) {
  return XXH3_64bits_withSeed(Text.data(), Text.size(), Seed);
}

} // namespace

std::vector<ShardId> shardIds(std::uint32_t Count) {
  std::vector<ShardId> Ids;
  for (std::uint32_t Index = 0; Index < Count; ++Index)
    Ids.push_back("s" + std::to_string(Index));
  return Ids;
}

std::map<WorkerId, ShardId>
assignWorkers(const std::vector<ListedWorker> &Workers, std::uint32_t Count) {
  std::map<std::string, std::set<std::string>> RacksByZone;
  for (const ListedWorker &Worker : Workers)
    RacksByZone[Worker.Zone].insert(Worker.Rack);

  const std::vector<ShardId> Shards = shardIds(Count);
  std::map<std::pair<std::string, std::string>, ShardId> ShardByRack;
  for (const auto &[Zone, Racks] : RacksByZone) {
    std::size_t Turn = 0;
    for (const std::string &Rack : Racks)
      ShardByRack[{Zone, Rack}] = Shards[Turn++ % Shards.size()];
  }

  std::map<WorkerId, ShardId> Result;
  for (const ListedWorker &Worker : Workers)
    Result[Worker.Id] = ShardByRack[{Worker.Zone, Worker.Rack}];
  return Result;
}

ShardId shardOfRun(const RunId &Run, std::uint32_t Count) {
  return "s" + std::to_string(hashOf(Run) % Count);
}

InstanceId rendezvousOwner(const ShardId &Shard,
                           const std::vector<InstanceId> &Instances) {
  const std::uint64_t ShardHash = hashOf(Shard);
  InstanceId Best;
  std::uint64_t BestHash = 0;
  for (const InstanceId &Instance : Instances) {
    const std::uint64_t Hash = hashOf(Instance, ShardHash);
    if (!Best.empty() && Hash <= BestHash)
      continue;
    Best = Instance;
    BestHash = Hash;
  }
  return Best;
}

} // namespace apricotwing
