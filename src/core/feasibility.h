/// \file
/// Checks whether a run can ever be placed.
#ifndef APRICOTWING_CORE_FEASIBILITY_H
#define APRICOTWING_CORE_FEASIBILITY_H

#include "core/schedulerdata.h"

#include <map>
#include <string>
#include <tuple>

namespace apricotwing {

/// Compares the demands of runs with the capacity of empty workers and with the
/// limits of their teams. Results are cached until the workers or the limits
/// change. Owned by the shard's scheduler; not thread-safe.
class Feasibility {
public:
  /// \p Data must outlive this object.
  explicit Feasibility(SchedulerData &Data) : Data(Data) {}

  /// Why the run can never be placed, with a remedy; empty if it can be placed
  /// once enough resources are free.
  std::string obstacle(const RunEntry &Run);

  /// Resources to reserve for one task: the larger of the declared and the
  /// observed use, or the declared use if the run could otherwise never be
  /// placed.
  Resources reservation(const RunEntry &Run);

private:
  using Shape = std::tuple<std::int64_t, std::int64_t, std::int64_t, Labels>;

  std::uint64_t slots(const Resources &Need, const Labels &Selector);
  static std::uint32_t simultaneousTasks(const RunEntry &Run);

  SchedulerData &Data;
  std::map<Shape, std::uint64_t> SlotsByShape;
  std::uint64_t CachedGeneration = 0;
};

} // namespace apricotwing

#endif
