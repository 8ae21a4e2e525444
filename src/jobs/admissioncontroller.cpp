#include "jobs/admissioncontroller.h"

#include <algorithm>

namespace apricotwing::jobs {

namespace {

/// Capacity of a token bucket, in seconds of the account's share. A share is a
/// number of jobs per second.
constexpr double BurstSeconds = 1.0;

} // namespace

bool AdmissionController::takeToken(const ClientAccount &Account,
                                    TimePoint Now) {
  const double Rate = Account.Weight;
  const auto [Found, IsNew] = Buckets.try_emplace(Account.Name);
  TokenBucket &Bucket = Found->second;
  if (IsNew)
    Bucket = {Rate * BurstSeconds, Now};
  const double Seconds =
      std::chrono::duration<double>(Now - Bucket.RefilledAt).count();
  Bucket.Tokens = std::min(Bucket.Tokens + Rate * Seconds, Rate * BurstSeconds);
  Bucket.RefilledAt = Now;
  if (Bucket.Tokens < 1)
    return false;
  Bucket.Tokens -= 1;
  return true;
}

AdmissionResult AdmissionController::evaluate(const JobSpec &Spec,
                                              const Queue &JobQueue,
                                              const ClientAccount *Account,
                                              Duration EstimatedWait,
                                              TimePoint Now) {
  AdmissionResult Result;
  Result.BeyondShare = Account && !takeToken(*Account, Now);
  const bool MissesFirmDeadline =
      EstimatedWait + criticalPath(Spec) >
      FirmDeadlineFactor * allowedTime(JobQueue, Spec);
  const bool ExceedsShareUnderLoad =
      Result.BeyondShare && EstimatedWait > ToleratedWait;
  if (MissesFirmDeadline || ExceedsShareUnderLoad)
    Result.RetryAfter =
        std::clamp(EstimatedWait / 2, MinRetryAfter, MaxRetryAfter);
  return Result;
}

} // namespace apricotwing::jobs
