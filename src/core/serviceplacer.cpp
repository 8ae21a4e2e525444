#include "core/serviceplacer.h"

#include <tuple>

namespace apricotwing {

namespace {

template <typename Key>
std::uint32_t countIn(const std::map<Key, std::uint32_t> &Counts, Key Place) {
  const auto Found = Counts.find(Place);
  return Found == Counts.end() ? 0 : Found->second;
}

} // namespace

std::vector<WorkerIndex>
ServicePlacer::place(const PlacementIndex &Index,
                     const PlacementRequest &Request) const {
  if (Request.Count != 1)
    return {};
  static const SpreadCounts Nothing;
  const SpreadCounts &Placed = Request.Placed ? *Request.Placed : Nothing;
  using Score = std::tuple<std::uint32_t, std::uint32_t, std::uint32_t, bool,
                           std::int64_t>;
  WorkerIndex Best = NoWorker;
  Score BestScore;
  Request.Candidates->forEach([&](WorkerIndex Worker) {
    const Resources &Room = Index.room(Worker);
    if (!Request.Need.fitsIn(Room))
      return;
    const Score Value(countIn(Placed.Zones, Index.zone(Worker)),
                      countIn(Placed.Racks, Index.rack(Worker)),
                      countIn(Placed.Workers, Worker),
                      Request.Need.Accelerators == 0 && Room.Accelerators > 0,
                      -Room.CpuMillis);
    if (Best != NoWorker && Value >= BestScore)
      return;
    Best = Worker;
    BestScore = Value;
  });
  if (Best == NoWorker)
    return {};
  return {Best};
}

} // namespace apricotwing
