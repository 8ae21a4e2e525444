/// \file
/// Placement of batch tasks.
#ifndef APRICOTWING_CORE_BATCHPLACER_H
#define APRICOTWING_CORE_BATCHPLACER_H

#include "core/placer.h"

namespace apricotwing {

/// Best fit on the dominant resource: the worker that keeps least of it,
/// which leaves whole workers free for large tasks. Workers with accelerators
/// come last for tasks that use none. No state.
class BatchPlacer : public Placer {
public:
  std::vector<WorkerIndex>
  place(const PlacementIndex &Index,
        const PlacementRequest &Request) const override;

  /// Worker for one task; NoWorker if none has room. Thread-safe as long as
  /// the index does not change.
  static WorkerIndex placeOne(const PlacementIndex &Index,
                              const PlacementRequest &Request);
};

} // namespace apricotwing

#endif
