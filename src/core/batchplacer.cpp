#include "core/batchplacer.h"

#include <limits>

namespace apricotwing {

namespace {

/// Added to the score of a worker whose accelerators the task would leave idle;
/// larger than any amount of processors or memory.
constexpr std::int64_t IdleAcceleratorPenalty = std::int64_t(1) << 40;

std::int64_t amountOf(const Resources &Value, std::size_t Dominant) {
  if (Dominant == 0)
    return Value.CpuMillis;
  return Dominant == 1 ? Value.MemoryMib : Value.Accelerators;
}

} // namespace

WorkerIndex BatchPlacer::placeOne(const PlacementIndex &Index,
                                  const PlacementRequest &Request) {
  WorkerIndex Best = NoWorker;
  std::int64_t BestScore = std::numeric_limits<std::int64_t>::max();
  Request.Candidates->forEach([&](WorkerIndex Worker) {
    const Resources &Available = Index.available(Worker);
    if (!Request.Need.fitsIn(Available))
      return;
    std::int64_t Score = amountOf(Available, Request.Dominant);
    if (Request.Need.Accelerators == 0 && Available.Accelerators > 0)
      Score += IdleAcceleratorPenalty;
    if (Score >= BestScore)
      return;
    Best = Worker;
    BestScore = Score;
  });
  return Best;
}

std::vector<WorkerIndex>
BatchPlacer::place(const PlacementIndex &Index,
                   const PlacementRequest &Request) const {
  if (Request.Count != 1)
    return {};
  const WorkerIndex Worker = placeOne(Index, Request);
  if (Worker == NoWorker)
    return {};
  return {Worker};
}

} // namespace apricotwing
