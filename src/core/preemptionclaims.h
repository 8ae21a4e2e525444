/// \file
/// Room that stopped tasks leave to urgent ones.
#ifndef APRICOTWING_CORE_PREEMPTIONCLAIMS_H
#define APRICOTWING_CORE_PREEMPTIONCLAIMS_H

#include "core/schedulerdata.h"

#include <vector>

namespace apricotwing {

/// Holds the room on a worker that victims of a preemption leave, until the
/// urgent run takes it, no longer needs it, or the claim expires. Each claim is
/// for one task and counts in RunWork::Claims. Owned by the placement round;
/// not thread-safe.
class PreemptionClaims {
public:
  /// \p Data must outlive this object.
  explicit PreemptionClaims(SchedulerData &Data) : Data(Data) {}

  /// Holds \p Need on \p Worker for one task of \p Run.
  void add(RunEntry &Run, WorkerIndex Worker, const Resources &Need,
           TimePoint Now);

  /// Gives up one claim of \p Run whose worker has room for \p Need by now, and
  /// returns that worker; NoWorker if there is none.
  WorkerIndex take(RunEntry &Run, const Resources &Need);

  /// Gives up the claims that have expired or that nobody can use.
  void dropStale(TimePoint Now);

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
