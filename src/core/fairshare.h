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

/// What each team has in use against its share of the shard. Teams without
/// work leave their part to the others. Owned by the shard's scheduler; not
/// thread-safe.
class FairShare {
public:
  /// Adds a team without share, use or work.
  TeamIndex addTeam();

  /// Capacity that the shares divide.
  void setTotal(const Resources &Capacity) { Total = Capacity; }

  /// \p Weight relative to the weights of the other teams; 0 for a team that
  /// is not configured.
  void setWeight(TeamIndex Team, std::uint32_t Weight);

  /// Whether the team has tasks that wait or run.
  void setWorking(TeamIndex Team, bool Working);

  void add(TeamIndex Team, const Resources &Amount);
  void remove(TeamIndex Team, const Resources &Amount);

  const Resources &allocated(TeamIndex Team) const {
    return Teams[Team].Allocated;
  }

  /// Dominant fraction of the total that the team uses.
  double fraction(TeamIndex Team) const;

  /// Dominant fraction divided by the weight: the team with the lowest value
  /// is next.
  double rank(TeamIndex Team) const;

  /// Fraction of the total that is due to the team among teams with work.
  double share(TeamIndex Team) const;

  /// True if the team uses more than is due to it.
  bool isAboveShare(TeamIndex Team) const;

private:
  struct Entry {
    Resources Allocated;
    std::uint32_t Weight = 0;
    bool Working = false;
  };

  std::vector<Entry> Teams;
  Resources Total;
  std::uint64_t WorkingWeight = 0;
};

} // namespace apricotwing

#endif
