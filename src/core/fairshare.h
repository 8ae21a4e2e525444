/// \file
/// Weighted dominant-resource fairness among teams.
#ifndef APRICOTWING_CORE_FAIRSHARE_H
#define APRICOTWING_CORE_FAIRSHARE_H

#include "core/resources.h"

#include <cstdint>
#include <vector>

namespace apricotwing {

/// Position of a team in a FairShare.
using TeamIndex = std::uint32_t;

/// Tracks the allocated resources of each team relative to its fair share of
/// the shard. The shares of teams without work are divided among the others.
/// Owned by the shard's scheduler; not thread-safe.
class FairShare {
public:
  /// Adds a team with weight 0, no allocation and no work.
  TeamIndex addTeam();

  /// Sets the total capacity that the shares divide.
  void setTotal(const Resources &Capacity) { Total = Capacity; }

  /// Sets the weight of a team relative to the weights of the other teams; 0
  /// for a team that is not configured.
  void setWeight(TeamIndex Team, std::uint32_t Weight);

  /// Sets whether the team has waiting or running tasks.
  void setHasWork(TeamIndex Team, bool HasWork);

  void add(TeamIndex Team, const Resources &Amount);
  void remove(TeamIndex Team, const Resources &Amount);

  const Resources &allocated(TeamIndex Team) const {
    return Teams[Team].Allocated;
  }

  /// Dominant fraction of the total capacity that is allocated to the team.
  double fraction(TeamIndex Team) const;

  /// Dominant fraction divided by the weight. The team with the lowest value is
  /// scheduled next.
  double rank(TeamIndex Team) const;

  /// Fair share of the team as a fraction of the total capacity, relative to
  /// the teams that have work.
  double share(TeamIndex Team) const;

  /// True if the allocation of the team exceeds its fair share.
  bool isAboveShare(TeamIndex Team) const;

private:
  struct TeamAllocation {
    Resources Allocated;
    std::uint32_t Weight = 0;
    bool HasWork = false;
  };

  std::vector<TeamAllocation> Teams;
  Resources Total;
  std::uint64_t ActiveWeight = 0;
};

} // namespace apricotwing

#endif
