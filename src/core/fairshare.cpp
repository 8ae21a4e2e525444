#include "core/fairshare.h"

#include <algorithm>

namespace apricotwing {

TeamIndex FairShare::addTeam() {
  Teams.emplace_back();
  return TeamIndex(Teams.size() - 1);
}

void FairShare::setWeight(TeamIndex Team, std::uint32_t Weight) {
  TeamAllocation &Allocation = Teams[Team];
  if (Allocation.HasWork)
    ActiveWeight = ActiveWeight - Allocation.Weight + Weight;
  Allocation.Weight = Weight;
}

void FairShare::setHasWork(TeamIndex Team, bool HasWork) {
  TeamAllocation &Allocation = Teams[Team];
  if (Allocation.HasWork == HasWork)
    return;
  Allocation.HasWork = HasWork;
  ActiveWeight = HasWork ? ActiveWeight + Allocation.Weight
                         : ActiveWeight - Allocation.Weight;
}

void FairShare::add(TeamIndex Team, const Resources &Amount) {
  Teams[Team].Allocated += Amount;
}

void FairShare::remove(TeamIndex Team, const Resources &Amount) {
  Teams[Team].Allocated -= Amount;
}

double FairShare::fraction(TeamIndex Team) const {
  return Teams[Team].Allocated.dominantFraction(Total);
}

double FairShare::rank(TeamIndex Team) const {
  return fraction(Team) / std::max<std::uint32_t>(Teams[Team].Weight, 1);
}

double FairShare::share(TeamIndex Team) const {
  const TeamAllocation &Allocation = Teams[Team];
  if (!Allocation.HasWork || ActiveWeight == 0)
    return 0;
  return double(Allocation.Weight) / double(ActiveWeight);
}

bool FairShare::isAboveShare(TeamIndex Team) const {
  return fraction(Team) > share(Team);
}

} // namespace apricotwing
