/// \file
/// Decides which jobs are accepted under overload.
#ifndef APRICOTWING_JOBS_ADMISSIONCONTROLLER_H
#define APRICOTWING_JOBS_ADMISSIONCONTROLLER_H

#include "core/time.h"
#include "jobs/clusterpolicy.h"
#include "jobs/jobspec.h"

#include <map>
#include <optional>
#include <string>

namespace apricotwing::jobs {

/// The admission decision for a submitted job.
struct AdmissionResult {
  std::optional<Duration> RetryAfter; ///< Set if the job is refused.
  bool BeyondShare = false;           ///< Its account exceeds its share.
};

/// Limits the job rate of each client account while work is waiting, so that a
/// burst of one account does not delay the others. Also refuses a job at once
/// if it cannot finish before its firm deadline, instead of letting its caller
/// wait until the caller's own deadline. Owned by the leader and used on its
/// thread only.
class AdmissionController {
public:
  /// Decides whether to accept \p Spec. \p EstimatedWait is the time that the
  /// workers need for the waiting work of its priority and of more urgent
  /// priorities. A refused job counts against its account's share as well.
  AdmissionResult evaluate(const JobSpec &Spec, const Queue &JobQueue,
                           const ClientAccount *Account, Duration EstimatedWait,
                           TimePoint Now);

  /// Up to this estimated wait, jobs beyond an account's share are accepted,
  /// because there are free resources for them.
  static constexpr Duration ToleratedWait{400};

  /// Bounds of the Retry-After time that callers are given.
  static constexpr Duration MinRetryAfter{1000};
  static constexpr Duration MaxRetryAfter{5000};

private:
  /// Token bucket of one account. Each token lets the account submit one job
  /// within its share.
  struct TokenBucket {
    double Tokens = 0;
    TimePoint RefilledAt;
  };

  bool takeToken(const ClientAccount &Account, TimePoint Now);

  std::map<std::string, TokenBucket> Buckets;
};

} // namespace apricotwing::jobs

#endif
