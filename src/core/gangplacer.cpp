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
  std::uint64_t Sum = 0;
  Request.Candidates->forEach([&](WorkerIndex Worker) {
    const Resources &Room = Index.room(Worker);
    // A probed worker takes one task at a time, so it takes no gang member.
    const std::uint64_t Slots = slotsIn(Room, Request.Need);
    if (Slots == 0 || Index.isProbing(Worker))
      return;
    Sum += std::min<std::uint64_t>(Slots, Request.Count);
    Offers.push_back({Slots,
                      Request.Need.Accelerators == 0 && Room.Accelerators > 0,
                      Worker});
  });
  if (Sum < Request.Count)
    return {};
  std::ranges::sort(Offers, isBetter);
  std::vector<WorkerIndex> Result;
  Result.reserve(Request.Count);
  for (const Offer &Next : Offers)
    for (std::uint64_t Slot = 0;
         Slot < Next.Slots && Result.size() < Request.Count; ++Slot)
      Result.push_back(Next.Worker);
  return Result;
}

} // namespace apricotwing
