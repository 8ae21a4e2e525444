/// \file
/// Claims of urgent tasks on resources that preempted tasks free.
#ifndef APRICOTWING_CORE_PREEMPTIONCLAIMS_H
#define APRICOTWING_CORE_PREEMPTIONCLAIMS_H

#include "core/schedulerdata.h"

#include <vector>

namespace apricotwing {

/// Reserves the resources that the victims of a preemption free on a worker
/// until the urgent run uses them, no longer needs them, or the claim expires.
/// Each claim is for one task and is counted in RunSchedulingState::Claims.
/// Owned by the placement round; not thread-safe.
class PreemptionClaims {
public:
  /// \p Data must outlive this object.
  explicit PreemptionClaims(SchedulerData &Data) : Data(Data) {}

  /// Reserves \p Need on \p Worker for one task of \p Run.
  void add(RunEntry &Run, WorkerIndex Worker, const Resources &Need,
           TimePoint Now);

  /// Releases one claim of \p Run on a worker on which \p Need fits now, and
  /// returns that worker; NoWorker if there is no such claim.
  WorkerIndex take(RunEntry &Run, const Resources &Need);

  /// Releases the claims that have expired or can no longer be used.
  void releaseStale(TimePoint Now);

private:
  struct Claim {
    RunId Run;
    WorkerIndex Worker = NoWorker;
    Resources Need;
    TimePoint Expires;
  };

  SchedulerData &Data;
  std::vector<Claim> Claims;
};

} // namespace apricotwing

#endif
