#include "daemon/daemonfixture.h"
#include "daemon/workerfleet.h"

namespace apricotwing {
namespace {

class WorkerFleetTest : public DaemonFixture {};

// Guards against a worker whose lease is never renewed again after the result
// of one renewal found the callback queue full.
TEST_F(WorkerFleetTest, RenewsAfterTheResultOfARenewalWasRejected) {
  ShardScheduler Scheduler("s0");
  ThreadPool Pool(1, 16);
  const auto RejectAll = [](const std::function<void()> &) { return false; };
  const auto Fleet = std::make_shared<WorkerFleet>(Context, Pool, RejectAll,
                                                   Scheduler, 1, false);
  ListedWorker Worker;
  Worker.Id = "w";
  Worker.Address = "127.0.0.1:1";
  Fleet->setWorkers({Worker});
  EXPECT_TRUE(waitUntil([&] {
    Time.advance(Options.Scheduler.WorkerRenew);
    Fleet->advance(Time.now(), true);
    return Workers.Renewals >= 3;
  }));
  Fleet->detach();
}

} // namespace
} // namespace apricotwing
