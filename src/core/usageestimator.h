/// \file
/// Estimates of the resource use and run time of tasks.
#ifndef APRICOTWING_CORE_USAGEESTIMATOR_H
#define APRICOTWING_CORE_USAGEESTIMATOR_H

#include "core/resources.h"
#include "core/run.h"
#include "core/time.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace apricotwing {

/// Learns the actual resource use and run time of the tasks of a class from
/// delayed reports. A class consists of a team, a kind of run, its declared
/// size and the first word of its payload. Run times are learned relative to
/// the declared ones, because the runs of a class may differ in length. Run
/// time estimates are used for ranking and backfill; the reservation of a task
/// is the larger of its declared and its observed use. Owned by the shard's
/// scheduler; learned anew after a change of owner; not thread-safe.
class UsageEstimator {
public:
  /// Class of a run's tasks. Thread-safe.
  static std::string classOf(const TeamName &Team, const RunSpec &Spec);

  /// Records that a running task of \p Class used \p Used.
  void recordUse(const std::string &Class, const Resources &Used);

  /// Records that a task of \p Class with the declared run time \p Declared
  /// succeeded after \p Elapsed.
  void recordRunTime(const std::string &Class, Duration Declared,
                     Duration Elapsed);

  /// Component-wise maximum of \p Declared and the observed peak.
  Resources reservation(const std::string &Class,
                        const Resources &Declared) const;

  /// Expected run time. This is \p Declared until enough tasks have succeeded;
  /// then it is \p Declared scaled by a high estimate of the ratio of observed
  /// to declared run times, so that backfilled tasks end in time. At most
  /// MaxEstimateSeconds.
  Duration runTime(const std::string &Class, Duration Declared) const;

private:
  struct ClassStatistics {
    Resources Peak;
    std::uint32_t Samples = 0;
    double MeanRatio = 0;      ///< Ratio of observed to declared run time.
    double RatioDeviation = 0; ///< Mean absolute deviation.
  };

  ClassStatistics &statisticsOf(const std::string &Class);

  std::unordered_map<std::string, ClassStatistics> Classes;
};

} // namespace apricotwing

#endif
