/// \file
/// Evacuated availability zones and cold workers in the scheduler.
#include "jobs/jobschedulertest.h"

#include <set>
#include <string>
#include <vector>

namespace apricotwing::jobs {
namespace {

class EvacuationTest : public JobSchedulerTest {
protected:
  void addIn(const std::string &Zone, const std::string &Id,
             Duration ColdRemaining = Duration{0}) {
    WorkerInfo Info;
    Info.Incarnation = {Id, 1};
    Info.Zone = Zone;
    Info.Upstream = "service";
    Info.Capacity = {32'000, 65'536, 0};
    Info.ColdRemaining = ColdRemaining;
    Scheduler.updateWorker(Info, Now);
    Scheduler.syncWorker(Info.Incarnation, {}, {}, Now);
  }

  static StepSpec gang(int Count, std::int64_t CpuMillis) {
    StepSpec Step = step(Count, CpuMillis);
    Step.Gang = true;
    return Step;
  }

  /// Ids of the workers on which one round starts tasks.
  std::multiset<std::string> startedOn() {
    std::multiset<std::string> Result;
    for (const StartCommand &Start : decide().Starts)
      Result.insert(Start.Worker.Id);
    return Result;
  }

  using Ids = std::multiset<std::string>;
};

// Guards against a start in an evacuated zone, also on a worker that registers
// there later, and against a zone that is not used again at once.
TEST_F(EvacuationTest, StartsNothingInTheZonesUntilTheyAreTakenBack) {
  addIn("a", "a1");
  addIn("b", "b1");
  Scheduler.setEvacuatedZones({"a", "c"});
  addIn("a", "a2");
  addIn("c", "c1");
  EXPECT_EQ(Scheduler.evacuatedWorkers(), 3);
  addJob("batch", step(4, 32'000));
  EXPECT_EQ(startedOn(), Ids{"b1"});
  Scheduler.setEvacuatedZones({"c"});
  EXPECT_EQ(startedOn(), (Ids{"a1", "a2"}));
  Scheduler.setEvacuatedZones({});
  EXPECT_EQ(startedOn(), Ids{"c1"});
}

// Guards against a stop of runs in an evacuated zone, and against ends there
// that do not count.
TEST_F(EvacuationTest, RunsInTheZoneGoOn) {
  addIn("a", "a1");
  const std::string Id = addJob("batch", step(2, 8000));
  const std::vector<StartCommand> Started = decide().Starts;
  ASSERT_EQ(Started.size(), 2U);
  Scheduler.setEvacuatedZones({"a"});
  EXPECT_TRUE(decide().Stops.empty());
  for (const StartCommand &Start : Started)
    end(Start, EndKind::Done);
  EXPECT_EQ(Scheduler.find(Id)->Phase, JobPhase::Completed);
}

// Guards against an order that was decided before the evacuation and is sent
// after it.
TEST_F(EvacuationTest, AnOrderDecidedBeforeIsNotSent) {
  addIn("a", "a1");
  addJob("batch", step(1, 8000));
  const std::vector<StartCommand> Decided = decide().Starts;
  ASSERT_EQ(Decided.size(), 1U);
  ASSERT_TRUE(Scheduler.isCurrent(Decided[0]));
  Scheduler.setEvacuatedZones({"a"});
  EXPECT_FALSE(Scheduler.isCurrent(Decided[0]));
}

// Guards against claims in the zone, which would keep a gang waiting for room
// there and count against the limit of all claims.
TEST_F(EvacuationTest, GangsLoseTheirClaimsInTheZone) {
  for (const std::string Id : {"a1", "a2"})
    addIn("a", Id);
  addIn("b", "b1");
  addJob("batch", step(3, 20'000));
  const std::vector<StartCommand> Filling = decide().Starts;
  ASSERT_EQ(Filling.size(), 3U);
  addJob("batch", gang(4, 12'000));
  EXPECT_TRUE(decide().Starts.empty());
  ASSERT_NE(Scheduler.worker("a1")->claimed(), Resources{});
  Scheduler.setEvacuatedZones({"a"});
  EXPECT_EQ(Scheduler.worker("a1")->claimed(), Resources{});
  EXPECT_TRUE(decide().Starts.empty());
  EXPECT_EQ(Scheduler.worker("a1")->claimed(), Resources{});
  EXPECT_EQ(Scheduler.worker("b1")->claimed(), Resources{});
  Scheduler.setEvacuatedZones({});
  EXPECT_TRUE(decide().Starts.empty());
  end(Filling[0], EndKind::Done);
  EXPECT_EQ(decide().Starts.size(), 4U);
}

// Guards against requests for advice about workers that may not be used.
TEST_F(EvacuationTest, RequestsNoAdviceAboutTheZone) {
  addIn("a", "a1");
  addIn("b", "b1");
  Scheduler.setEvacuatedZones({"a"});
  addJob("advised", step(20, 8000));
  addJob("advised", gang(20, 8000));
  for (const AdviceRequest &Request : decide().Advice)
    EXPECT_EQ(Request.Workers, std::vector<std::string>{"b1"});
}

// Guards against a failed job, and against a wait that counts the workers of
// the zone.
TEST_F(EvacuationTest, JobsWaitAndOnlyUsableWorkersCount) {
  addIn("a", "a1");
  addIn("b", "b1");
  for (const std::string Id : {"a1", "b1"})
    resize(Id, 8000);
  addJob("batch", step(40, 8000));
  decide();
  const Duration Before = Scheduler.estimatedWait(2);
  Scheduler.setEvacuatedZones({"a"});
  decide();
  EXPECT_EQ(Scheduler.estimatedWait(2), 2 * Before);
  EXPECT_EQ(Scheduler.usableWorkers(), 1);
  Scheduler.setEvacuatedZones({"a", "b"});
  const std::string Id = addJob("batch", step(1, 8000));
  for (int Round = 0; Round < MaxStartRounds; ++Round) {
    Now += Duration{10'000};
    EXPECT_TRUE(decide().Starts.empty());
  }
  EXPECT_EQ(Scheduler.find(Id)->Phase, JobPhase::Active);
}

// Guards against starts by a view that may lack an evacuation, and against
// stops that wait for a newer view.
TEST_F(EvacuationTest, HeldStartsDoNotHoldStops) {
  addIn("a", "a1");
  const std::string Id = addJob("batch", step(1, 8000));
  const std::vector<StartCommand> Started = decide().Starts;
  ASSERT_EQ(Started.size(), 1U);
  Scheduler.markDispatched(Started[0]);
  Scheduler.holdStarts(true);
  addJob("batch", step(1, 8000));
  addJob("advised", step(1, 8000));
  Scheduler.cancel(Id, Now);
  const Decisions Held = decide();
  EXPECT_TRUE(Held.Starts.empty());
  EXPECT_TRUE(Held.Advice.empty());
  EXPECT_EQ(Held.Stops.size(), 1U);
  Scheduler.holdStarts(false);
  EXPECT_EQ(decide().Starts.size(), 1U);
}

// Guards against a start on a cold worker while a warm one has room, and
// against a cold worker that is never used.
TEST_F(EvacuationTest, ColdWorkersAreUsedAfterWarmOnes) {
  addIn("a", "a1", Duration{5000});
  addIn("a", "a2");
  addIn("a", "a3", Duration{5000});
  addJob("batch", step(2, 16'000));
  EXPECT_EQ(startedOn(), (Ids{"a2", "a2"}));
  addIn("a", "a4");
  addJob("batch", gang(2, 16'000));
  EXPECT_EQ(startedOn(), (Ids{"a4", "a4"}));
  addJob("batch", step(4, 16'000));
  EXPECT_EQ(startedOn(), (Ids{"a1", "a1", "a3", "a3"}));
}

} // namespace
} // namespace apricotwing::jobs
