#include "jobs/jobmemory.h"

#include "core/memorybudget.h"
#include "jobs/jobschedulertest.h"

#include <gtest/gtest.h>

namespace apricotwing::jobs {
namespace {

constexpr std::size_t Limit = 1'000'000;

/// Adds jobs of \p Bytes to \p Account until one is refused.
void fill(MemoryBudget &Budget, const std::string &Account, std::size_t Bytes) {
  while (Budget.admits(Account, Bytes))
    Budget.add(Account, Bytes);
}

// Guards against an account that takes the memory from all others.
TEST(MemoryBudgetTest, LeavesRoomForOthersBesideAnAccountThatTakesAll) {
  MemoryBudget Budget(Limit);
  fill(Budget, "large", 1000);
  EXPECT_GT(Budget.held(), Limit / 2 - 2000);
  EXPECT_TRUE(Budget.admits("small", Limit / 4));
}

// Guards against many accounts that exceed the limit together.
TEST(MemoryBudgetTest, KeepsManyAccountsWithinTheLimit) {
  MemoryBudget Budget(Limit);
  for (int Account = 0; Account < 50; ++Account)
    fill(Budget, std::to_string(Account), 1000);
  EXPECT_LE(Budget.held(), Limit);
}

// Guards against memory that stays accounted for once its job is gone.
TEST(MemoryBudgetTest, AdmitsAgainWhatWasRemoved) {
  MemoryBudget Budget(Limit);
  Budget.add("a", Limit / 2);
  EXPECT_FALSE(Budget.admits("a", 1000));
  Budget.remove("a", Limit / 2);
  EXPECT_EQ(Budget.held(), 0U);
  EXPECT_TRUE(Budget.admits("a", Limit));
}

// Guards against a lowered limit that overflows: jobs of an earlier leader are
// kept, and new ones refused.
TEST(MemoryBudgetTest, RefusesNewJobsBeyondALoweredLimit) {
  MemoryBudget Budget(Limit);
  Budget.add("a", 3 * Limit);
  EXPECT_FALSE(Budget.admits("b", 1));
  EXPECT_FALSE(Budget.canAdmit(Limit + 1));
}

class JobMemoryTest : public JobSchedulerTest {};

// Guards against ended jobs that keep the memory of their tasks, and against
// states that are lost with it.
TEST_F(JobMemoryTest, ReleasesTheTasksOfEndedJobs) {
  const std::string Id = addJob("batch", step(5000, 100));
  const std::size_t Active = Scheduler.memory().held();
  EXPECT_GE(Active, 5000 * sizeof(TaskState));
  Scheduler.cancel(Id, Now);
  Scheduler.markPhaseStored(Id);
  Scheduler.releaseTasksOfEnded(Now);
  EXPECT_EQ(Scheduler.memory().held(), Active);
  Scheduler.releaseTasksOfEnded(Now + Duration(1));
  EXPECT_EQ(Scheduler.memory().held(), EndedJobBytes);
  EXPECT_EQ(Scheduler.view(Id), JobView::Cancelled);
  Scheduler.forget(Id);
  EXPECT_EQ(Scheduler.memory().held(), 0U);
}

} // namespace
} // namespace apricotwing::jobs
