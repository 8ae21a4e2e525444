#include "core/placer.h"

namespace apricotwing {

void SpreadCounts::add(const PlacementIndex &Index, WorkerIndex Worker) {
  ++Zones[Index.zone(Worker)];
  ++Racks[Index.rack(Worker)];
  ++Workers[Worker];
}

std::size_t dominantResource(const Resources &Need, const Resources &Total) {
  const double Fraction = Need.dominantFraction(Total);
  if (Need.Accelerators > 0 &&
      Resources{0, 0, Need.Accelerators}.dominantFraction(Total) >= Fraction)
    return 2;
  if (Resources{0, Need.MemoryMib, 0}.dominantFraction(Total) >= Fraction &&
      Need.MemoryMib > 0)
    return 1;
  return 0;
}

} // namespace apricotwing
