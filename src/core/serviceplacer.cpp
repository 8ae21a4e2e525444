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
  static const SpreadCounts NoTasks;
  const SpreadCounts &Placed = Request.Placed ? *Request.Placed : NoTasks;
  using Score = std::tuple<std::uint32_t, std::uint32_t, std::uint32_t, bool,
                           std::int64_t>;
  WorkerIndex Best = NoWorker;
  Score BestScore;
  Request.Candidates->forEach([&](WorkerIndex Worker) {
    const Resources &Available = Index.available(Worker);
    if (!Request.Need.fitsIn(Available))
      return;
    const Score Value(countIn(Placed.Zones, Index.zone(Worker)),
                      countIn(Placed.Racks, Index.rack(Worker)),
                      countIn(Placed.Workers, Worker),
                      Request.Need.Accelerators == 0 &&
                          Available.Accelerators > 0,
                      -Available.CpuMillis);
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
