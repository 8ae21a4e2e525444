/// \file
/// Decides which jobs are taken when there is more work than freeResources.
#ifndef APRICOTWING_JOBS_ADMISSIONCONTROLLER_H
#define APRICOTWING_JOBS_ADMISSIONCONTROLLER_H

#include "core/time.h"
#include "jobs/clusterpolicy.h"
#include "jobs/jobspec.h"

#include <map>
#include <optional>
#include <string>

namespace apricotwing::jobs {

/// What is decided about a job that is handed in.
struct AdmissionResult {
  std::optional<Duration> RetryAfter; ///< Set: the job is refused.
  bool BeyondShare = false; ///< Its account hands in more than its share.
};

/// Answers sudden load of one client account, which must not delay the others,
/// and load of all, under which a job that cannot end in useful time is
/// refused at once instead of after its callers' deadline. Owned by the
/// leader; used on its thread only.
class AdmissionController {
public:
  /// Decides about \p Spec. \p Wait is the time that the workers need for the
  /// waiting work of its priority and of more urgent ones. Counts the job
  /// against its account's share, refused or not.
  AdmissionResult evaluate(const JobSpec &Spec, const Queue &Terms,
                           const ClientAccount *Account, Duration Wait,
                           TimePoint Now);

  /// Below this wait, jobs beyond an account's share are taken: there is
  /// freeResources for them.
  static constexpr Duration ToleratedWait{400};

  /// Limits of what callers are told as Retry-After.
  static constexpr Duration LeastRetry{1000};
  static constexpr Duration LongestRetry{5000};

private:
  /// Jobs that an account may hand in now without going beyond its share.
  struct Allowance {
    double Jobs = 0;
    TimePoint Filled;
  };

  bool takeFromAllowance(const ClientAccount &Account, TimePoint Now);

  std::map<std::string, Allowance> Allowances;
};

} // namespace apricotwing::jobs

#endif
