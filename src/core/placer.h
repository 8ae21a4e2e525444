/// \file
/// How tasks of one run are bound to workers.
#ifndef APRICOTWING_CORE_PLACER_H
#define APRICOTWING_CORE_PLACER_H

#include "core/placementindex.h"

#include <cstdint>
#include <map>
#include <vector>

namespace apricotwing {

/// Tasks of one run per availability zone, rack and worker, by their numbers
/// in the PlacementIndex.
struct SpreadCounts {
  std::map<std::uint32_t, std::uint32_t> Zones;
  std::map<std::uint32_t, std::uint32_t> Racks;
  std::map<WorkerIndex, std::uint32_t> Workers;

  /// Counts one more task on \p Worker.
  void add(const PlacementIndex &Index, WorkerIndex Worker);
};

/// What a Placer looks for.
struct PlacementRequest {
  Resources Need; ///< Of one task.
  std::uint32_t Count = 1;
  const WorkerMask *Candidates = nullptr;
  const SpreadCounts *Placed = nullptr; ///< The run's tasks; may be null.
  std::size_t Dominant = 0;             ///< Resource of Need that is scarcest.
};

/// Position of the resource of which \p Need takes the largest fraction of
/// \p Total: 0 processors, 1 memory, 2 accelerators.
std::size_t dominantResource(const Resources &Need, const Resources &Total);

/// Chooses workers. Implementations have no state, so const access is
/// thread-safe as long as the index does not change.
class Placer {
public:
  virtual ~Placer() = default;

  /// Workers for \p Request.Count tasks, one entry per task; empty if there
  /// is no room for all of them. The index is left as it is.
  virtual std::vector<WorkerIndex>
  place(const PlacementIndex &Index, const PlacementRequest &Request) const = 0;
};

} // namespace apricotwing

#endif
