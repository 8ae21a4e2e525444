/// \file
/// Workers of a shard with their free resources.
#ifndef APRICOTWING_CORE_PLACEMENTINDEX_H
#define APRICOTWING_CORE_PLACEMENTINDEX_H

#include "core/resources.h"
#include "core/run.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace apricotwing {

/// A worker as the instance list and the configuration describe it.
struct WorkerView {
  WorkerId Id;
  std::string Zone;
  std::string Rack;
  Resources Capacity;
  Labels AllLabels; ///< Its own labels, overridden by configured ones.
  bool Drained = false;
  bool Leaving = false;

  friend bool operator==(const WorkerView &, const WorkerView &) = default;
};

} // namespace apricotwing

#endif
