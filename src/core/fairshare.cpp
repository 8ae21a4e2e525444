#include "core/fairshare.h"

#include <algorithm>

namespace apricotwing {

TeamIndex FairShare::addTeam() {
  Teams.emplace_back();
  return TeamIndex(Teams.size() - 1);
}

void FairShare::setWeight(TeamIndex Team, std::uint32_t Weight) {
  Entry &Known = Teams[Team];
  if (Known.Working)
    WorkingWeight = WorkingWeight - Known.Weight + Weight;
  Known.Weight = Weight;
}

void FairShare::setWorking(TeamIndex Team, bool Working) {
  Entry &Known = Teams[Team];
  if (Known.Working == Working)
    return;
  Known.Working = Working;
  WorkingWeight =
      Working ? WorkingWeight + Known.Weight : WorkingWeight - Known.Weight;
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
  const Entry &Known = Teams[Team];
  if (!Known.Working || WorkingWeight == 0)
    return 0;
  return double(Known.Weight) / double(WorkingWeight);
}

bool FairShare::isAboveShare(TeamIndex Team) const {
  return fraction(Team) > share(Team);
}

} // namespace apricotwing
