#include "core/gangplacer.h"

#include <algorithm>

namespace apricotwing {

namespace {

struct Offer {
  std::uint64_t Slots;
  bool IdlesAccelerators;
  WorkerIndex Worker;
};

bool isBetter(const Offer &Left, const Offer &Right) {
  if (Left.IdlesAccelerators != Right.IdlesAccelerators)
    return Right.IdlesAccelerators;
  if (Left.Slots != Right.Slots)
    return Left.Slots > Right.Slots;
  return Left.Worker < Right.Worker;
}

} // namespace

std::vector<WorkerIndex>
GangPlacer::place(const PlacementIndex &Index,
                  const PlacementRequest &Request) const {
  std::vector<Offer> Offers;
  std::uint64_t TotalSlots = 0;
  Request.Candidates->forEach([&](WorkerIndex Worker) {
    const Resources &Available = Index.available(Worker);
    // A worker that is probed after a quarantine takes one task at a time, so
    // it gets no members of a gang.
    const std::uint64_t Slots = slotsIn(Available, Request.Need);
    if (Slots == 0 || Index.isProbing(Worker))
      return;
    TotalSlots += std::min<std::uint64_t>(Slots, Request.Count);
    Offers.push_back(
        {Slots, Request.Need.Accelerators == 0 && Available.Accelerators > 0,
         Worker});
  });
  if (TotalSlots < Request.Count)
    return {};
  std::ranges::sort(Offers, isBetter);
  std::vector<WorkerIndex> Result;
  Result.reserve(Request.Count);
  for (const Offer &Chosen : Offers)
    for (std::uint64_t Slot = 0;
         Slot < Chosen.Slots && Result.size() < Request.Count; ++Slot)
      Result.push_back(Chosen.Worker);
  return Result;
}

} // namespace apricotwing
