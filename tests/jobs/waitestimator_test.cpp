#include "jobs/waitestimator.h"

#include "jobs/jobschedulertest.h"

#include <gtest/gtest.h>

namespace apricotwing::jobs {
namespace {

constexpr TimePoint Start{Duration{100'000}};
constexpr double Second = 1000;

/// Accepts \p Cores of work of \p Priority in each 100 ms of \p Length, and
/// returns the end of it.
TimePoint accept(WaitEstimator &Estimator, int Priority, double Cores,
                 TimePoint From, Duration Length) {
  for (TimePoint Now = From; Now < From + Length; Now += Duration{100})
    Estimator.recordAccepted(Priority, Cores * 1000 * 100, Now);
  return From + Length;
}

// Guards against jobs of lower priority that are accepted under sustained
// overload by more urgent ones and never end in time.
TEST(WaitEstimatorTest, MoreUrgentWorkThatKeepsArrivingLengthensTheWait) {
  WaitEstimator Estimator;
  Estimator.setRoom(100'000, 0);
  Estimator.addWaiting(2, {80'000 * Second, 80'000});
  EXPECT_EQ(Estimator.wait(2, 1000, Start), Duration{1000});
  const TimePoint Now = accept(Estimator, 0, 40, Start, Duration{20'000});
  EXPECT_GT(Estimator.wait(2, 1000, Now), Duration{1800});
  EXPECT_LT(Estimator.wait(2, 1000, Now), Duration{2300});
  // Its own priority and less urgent ones do not add to it.
  EXPECT_EQ(Estimator.wait(0, 1000, Now), Duration{0});
}

// Guards against a wait without end during a short burst.
TEST(WaitEstimatorTest, LeavesAShareToEachPriority) {
  WaitEstimator Estimator;
  Estimator.setRoom(100'000, 0);
  Estimator.addWaiting(2, {80'000 * Second, 80'000});
  const TimePoint Now = accept(Estimator, 0, 500, Start, Duration{10'000});
  EXPECT_EQ(Estimator.wait(2, 1000, Now), Duration{4000});
  // The rate is forgotten once the burst is over.
  EXPECT_LT(Estimator.wait(2, 1000, Now + Duration{30'000}), Duration{1100});
}

// Guards against refusals while processors are free that nothing waits for.
TEST(WaitEstimatorTest, FreeProcessorsForAllThatWaitsMeanNoWait) {
  WaitEstimator Estimator;
  Estimator.setRoom(100'000, 50'000);
  Estimator.addWaiting(1, {30'000 * Second, 30'000});
  EXPECT_EQ(Estimator.wait(1, 10'000, Start), Duration{0});
  EXPECT_GT(Estimator.wait(1, 20'000, Start), Duration{0});
}

// Guards against an estimate before the first worker has registered.
TEST(WaitEstimatorTest, KnowsNoWaitWithoutWorkers) {
  WaitEstimator Estimator;
  Estimator.addWaiting(1, {30'000 * Second, 30'000});
  EXPECT_EQ(Estimator.wait(1, 1000, Start), Duration{0});
  EXPECT_EQ(Estimator.totalBacklog(), Duration{0});
}

using EstimatedWaitTest = JobSchedulerTest;

// Guards against refusals after an outage because of a backlog that is past its
// firm deadline and is scheduled after all new jobs.
TEST_F(EstimatedWaitTest, JobsPastTheirFirmDeadlineDelayNoNewOnes) {
  addWorker("w1");
  addJob("batch", step(200, 8000, Duration{2000}));
  decide();
  EXPECT_GT(Scheduler.totalBacklog(), Duration{10'000});
  Now += Duration{600'000};
  decide();
  EXPECT_EQ(Scheduler.totalBacklog(), Duration{0});
}

} // namespace
} // namespace apricotwing::jobs
