/// \file
/// Placement of service tasks.
#ifndef APRICOTWING_CORE_SERVICEPLACER_H
#define APRICOTWING_CORE_SERVICEPLACER_H

#include "core/placer.h"

namespace apricotwing {

/// Spreads the tasks of a service: fewest of its tasks in the availability
/// zone, then in the rack, then on the worker; then most room. No state.
class ServicePlacer : public Placer {
public:
  std::vector<WorkerIndex>
  place(const PlacementIndex &Index,
        const PlacementRequest &Request) const override;
};

} // namespace apricotwing

#endif
