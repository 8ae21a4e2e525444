#include "jobs/admissioncontroller.h"

#include <algorithm>

namespace apricotwing::jobs {

namespace {

/// A share is a number of jobs per second; this much of it may come at once.
constexpr double BurstSeconds = 1.0;

} // namespace

bool AdmissionController::takeFromAllowance(const ClientAccount &Account,
                                            TimePoint Now) {
  const double Rate = Account.Weight;
  const auto [Entry, IsNew] = Allowances.try_emplace(Account.Name);
  Allowance &Present = Entry->second;
  if (IsNew)
    Present = {Rate * BurstSeconds, Now};
  const double Seconds =
      std::chrono::duration<double>(Now - Present.Filled).count();
  Present.Jobs = std::min(Present.Jobs + Rate * Seconds, Rate * BurstSeconds);
  Present.Filled = Now;
  if (Present.Jobs < 1)
    return false;
  Present.Jobs -= 1;
  return true;
}

AdmissionResult AdmissionController::evaluate(const JobSpec &Spec,
                                              const Queue &Terms,
                                              const ClientAccount *Account,
                                              Duration Wait, TimePoint Now) {
  AdmissionResult Result;
  Result.BeyondShare = Account && !takeFromAllowance(*Account, Now);
  const bool Hopeless =
      Wait + longestChain(Spec) > UselessFactor * allowedTime(Terms, Spec);
  const bool Crowding = Result.BeyondShare && Wait > ToleratedWait;
  if (Hopeless || Crowding)
    Result.RetryAfter = std::clamp(Wait / 2, LeastRetry, LongestRetry);
  return Result;
}

} // namespace apricotwing::jobs
