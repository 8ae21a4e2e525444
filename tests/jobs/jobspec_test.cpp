#include "jobs/jobspec.h"

#include <gtest/gtest.h>

#include <limits>

namespace apricotwing::jobs {
namespace {

JobSpec jobOf(const StepSpec &Step) {
  JobSpec Job;
  Job.Id = "0000000000000001";
  Job.Steps = {Step};
  return Job;
}

TEST(JobSpecTest, AcceptsAnOrdinaryJob) {
  StepSpec Step;
  Step.Count = 80;
  Step.Request = {9000, 17'000, 1};
  Step.Estimate = Duration{6200};
  EXPECT_FALSE(validationError(jobOf(Step)));
}

// Guards against a job whose steps refer to steps that do not exist: reading
// their end times is an access beyond the end of a list.
TEST(JobSpecTest, RejectsStepsThatWaitForLaterSteps) {
  for (const int Earlier : {-1, 0, 1, 1'000'000'000}) {
    StepSpec Step;
    Step.After = {Earlier};
    EXPECT_TRUE(validationError(jobOf(Step))) << Earlier;
  }
}

// Guards against a job that uses up the memory of the leader and then of each
// instance that takes over.
TEST(JobSpecTest, RejectsMoreTasksThanAnyCellRuns) {
  StepSpec Step;
  Step.Count = std::numeric_limits<int>::max();
  EXPECT_TRUE(validationError(jobOf(Step)));
  Step.Count = MaxTasksPerJob / 2 + 1;
  JobSpec Job = jobOf(Step);
  EXPECT_FALSE(validationError(Job));
  Job.Steps.push_back(Step);
  EXPECT_TRUE(validationError(Job));
}

// Guards against amounts and times whose sums overflow.
TEST(JobSpecTest, RejectsAmountsThatOverflow) {
  StepSpec Step;
  Step.Request.CpuMillis = std::numeric_limits<std::int64_t>::max();
  EXPECT_TRUE(validationError(jobOf(Step)));
  Step.Request.CpuMillis = 1;
  Step.Estimate = Duration::max();
  EXPECT_TRUE(validationError(jobOf(Step)));
  Step.Estimate = Duration{-1};
  EXPECT_TRUE(validationError(jobOf(Step)));
}

} // namespace
} // namespace apricotwing::jobs
