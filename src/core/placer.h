/// \file
/// Interface for choosing the workers of a run's tasks.
#ifndef APRICOTWING_CORE_PLACER_H
#define APRICOTWING_CORE_PLACER_H

#include "core/placementindex.h"

#include <cstdint>
#include <map>
#include <vector>

namespace apricotwing {

/// Number of tasks of one run in each availability zone, in each rack and on
/// each worker. Zones, racks and workers are identified by their numbers in the
/// PlacementIndex.
struct SpreadCounts {
  std::map<std::uint32_t, std::uint32_t> Zones;
  std::map<std::uint32_t, std::uint32_t> Racks;
  std::map<WorkerIndex, std::uint32_t> Workers;

  /// Counts one more task on \p Worker.
  void add(const PlacementIndex &Index, WorkerIndex Worker);
};

/// Input of a Placer.
struct PlacementRequest {
  Resources Need; ///< Resources of one task.
  std::uint32_t Count = 1;
  const WorkerMask *Candidates = nullptr;
  /// Active tasks of the run; may be null.
  const SpreadCounts *Placed = nullptr;
  /// Dominant resource of Need; see dominantResource().
  std::size_t Dominant = 0;
};

/// The resource of which \p Need takes the largest fraction of \p Total:
/// 0 processors, 1 memory, 2 accelerators.
std::size_t dominantResource(const Resources &Need, const Resources &Total);

/// Placement strategy. Implementations are stateless, so const access is
/// thread-safe as long as the index does not change.
class Placer {
public:
  virtual ~Placer() = default;

  /// Workers for \p Request.Count tasks, one entry per task; empty if not all
  /// of them fit. Does not change the index.
  virtual std::vector<WorkerIndex>
  place(const PlacementIndex &Index, const PlacementRequest &Request) const = 0;
};

} // namespace apricotwing

#endif
