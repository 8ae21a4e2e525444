/// \file
/// Placement of gangs.
#ifndef APRICOTWING_CORE_GANGPLACER_H
#define APRICOTWING_CORE_GANGPLACER_H

#include "core/placer.h"

namespace apricotwing {

/// Places either all tasks of a gang or none, on as few workers as possible.
/// Stateless.
class GangPlacer : public Placer {
public:
  std::vector<WorkerIndex>
  place(const PlacementIndex &Index,
        const PlacementRequest &Request) const override;
};

} // namespace apricotwing

#endif
