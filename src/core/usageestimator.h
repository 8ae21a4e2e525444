/// \file
/// Estimates of the size and run time of tasks.
#ifndef APRICOTWING_CORE_USAGEESTIMATOR_H
#define APRICOTWING_CORE_USAGEESTIMATOR_H

#include "core/resources.h"
#include "core/run.h"
#include "core/time.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace apricotwing {

/// Learns what the tasks of a class really use, from reports that lag behind.
/// A class is a team, a kind of run, its declared size and the first word of
/// its payload. Run times are learned relative to the declared ones, because
/// the runs of a class may differ in length. Estimates serve ranking and
/// backfill; the hard reservation is the larger of declared and observed. Owned
/// by the shard's scheduler; relearned after a change of owner; not
/// thread-safe.
class UsageEstimator {
public:
  /// Class of a run's tasks. Thread-safe.
  static std::string classOf(const TeamName &Team, const RunSpec &Spec);

  /// A running task of \p Class was seen to use \p Used.
  void recordUse(const std::string &Class, const Resources &Used);

  /// A task of \p Class with a declared run time of \p Declared succeeded
  /// after \p Elapsed.
  void recordRunTime(const std::string &Class, Duration Declared,
                     Duration Elapsed);

  /// Larger of \p Declared and the observed peak.
  Resources reservation(const std::string &Class,
                        const Resources &Declared) const;

  /// Expected run time: \p Declared until enough tasks have succeeded, then
  /// scaled by a high estimate of how observed times compare with declared
  /// ones, so that backfill ends in time. At most MaxEstimateSeconds.
  Duration runTime(const std::string &Class, Duration Declared) const;

private:
  struct Entry {
    Resources Peak;
    std::uint32_t Samples = 0;
    double MeanRatio = 0;      ///< Of the run time to the declared one.
    double RatioDeviation = 0; ///< Mean absolute deviation.
  };

  Entry &entry(const std::string &Class);

  std::unordered_map<std::string, Entry> Classes;
};

} // namespace apricotwing

#endif
