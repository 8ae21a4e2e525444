/// \file
/// Whether a run could ever be placed.
#ifndef APRICOTWING_CORE_FEASIBILITY_H
#define APRICOTWING_CORE_FEASIBILITY_H

#include "core/schedulerdata.h"

#include <map>
#include <string>
#include <tuple>

namespace apricotwing {

/// Compares runs with the workers when empty and with the limits of their
/// teams. Results are kept until the workers or the limits change. Owned by
/// the shard's scheduler; not thread-safe.
class Feasibility {
public:
  /// \p Data must outlive this object.
  explicit Feasibility(SchedulerData &Data) : Data(Data) {}

  /// Why no worker could ever take the run, with the remedy; empty if it can
  /// be placed once there is room.
  std::string obstacle(const RunEntry &Run);

  /// What to reserve for one task: the larger of declared and observed, but
  /// not so much that it could never be placed.
  Resources reservation(const RunEntry &Run);

private:
  using Shape = std::tuple<std::int64_t, std::int64_t, std::int64_t, Labels>;

  std::uint64_t slots(const Resources &Need, const Labels &Selector);
  static std::uint32_t tasksAtOnce(const RunEntry &Run);

  SchedulerData &Data;
  std::map<Shape, std::uint64_t> Known;
  std::uint64_t KnownGeneration = 0;
};

} // namespace apricotwing

#endif
