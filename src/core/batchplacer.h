/// \file
/// Placement of batch tasks.
#ifndef APRICOTWING_CORE_BATCHPLACER_H
#define APRICOTWING_CORE_BATCHPLACER_H

#include "core/placer.h"

namespace apricotwing {

/// Places batch tasks by best fit on the dominant resource: it chooses the
/// worker with the least of this resource available, which leaves whole workers
/// free for large tasks. Tasks without accelerators use workers with
/// accelerators last. Stateless.
class BatchPlacer : public Placer {
public:
  std::vector<WorkerIndex>
  place(const PlacementIndex &Index,
        const PlacementRequest &Request) const override;

  /// Worker for one task; NoWorker if it fits on none. Thread-safe as long as
  /// the index does not change.
  static WorkerIndex placeOne(const PlacementIndex &Index,
                              const PlacementRequest &Request);
};

} // namespace apricotwing

#endif
