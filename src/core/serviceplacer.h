/// \file
/// Placement of service tasks.
#ifndef APRICOTWING_CORE_SERVICEPLACER_H
#define APRICOTWING_CORE_SERVICEPLACER_H

#include "core/placer.h"

namespace apricotwing {

/// Spreads the tasks of a service: prefers the availability zone with the
/// fewest of its tasks, then the rack, then the worker, then the worker with
/// the most available processors. Workers with accelerators come after others
/// for tasks that use none. Stateless.
class ServicePlacer : public Placer {
public:
  std::vector<WorkerIndex>
  place(const PlacementIndex &Index,
        const PlacementRequest &Request) const override;
};

} // namespace apricotwing

#endif
