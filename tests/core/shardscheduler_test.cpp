#include "core/error.h"
#include "core/healthtracker.h"
#include "core/shardworld.h"
#include "core/usageestimator.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace apricotwing {
namespace {

using testing::HasSubstr;
using testing::IsEmpty;

constexpr TimePoint Start{Duration{1'000'000}};
constexpr Duration Tick{100};

RunRecord runOf(const RunId &Id, const TeamName &Team, std::uint32_t Tasks,
                const Resources &Need) {
  RunRecord Run;
  Run.Id = Id;
  Run.Team = Team;
  Run.Spec.Tasks = Tasks;
  Run.Spec.PerTask = Need;
  Run.Spec.EstimateSeconds = 600;
  return Run;
}

/// Fixture with a scheduler and helpers that report tasks as running or ended
/// on its workers.
class ShardSchedulerTest : public testing::Test {
protected:
  ShardSchedulerTest() { setUp({}); }

  void setUp(const SchedulerOptions &Options) {
    Scheduler = std::make_unique<ShardScheduler>("s", Options);
    setTeams({{"a", 1}, {"b", 1}}, {1'000'000, 1'000'000, 100});
    setWorkers(4);
  }

  void setTeams(const std::map<TeamName, std::uint32_t> &Shares,
                const Resources &Limit) {
    Config Document;
    std::map<TeamName, Resources> Grants;
    for (const auto &[Team, Share] : Shares) {
      Document.Teams[Team] = {Share, {Limit, 0}};
      Grants[Team] = Limit;
    }
    Scheduler->setTeams(Document);
    Scheduler->setGrants(Grants);
  }

  void setWorkers(int Count, const Labels &AllLabels = {}) {
    std::vector<WorkerView> Views;
    Views.reserve(std::size_t(Count));
    for (int Place = 0; Place < Count; ++Place)
      Views.push_back({"w" + std::to_string(Place),
                       "z" + std::to_string(Place % 2),
                       "r" + std::to_string(Place / 2),
                       {4000, 8000, 0},
                       AllLabels,
                       false,
                       false});
    Scheduler->setWorkers(Views);
    for (const WorkerView &View : Views) {
      Places[View.Id] = View;
      report(View.Id);
    }
  }

  /// Reports all attempts that were started on the worker as running.
  void report(const WorkerId &Worker) {
    std::vector<TaskReport> Reports;
    for (const AttemptId &Id : Scheduler->attemptsOn(Worker))
      Reports.push_back({Id, TaskState::Running, 0, {}});
    Scheduler->handleReport(Worker, Reports, Now);
  }

  void endAttempt(const AttemptId &Id, TaskState State) {
    for (const WorkerId &Worker : Scheduler->workersInUse()) {
      std::vector<TaskReport> Reports;
      bool IsHere = false;
      for (const AttemptId &Other : Scheduler->attemptsOn(Worker)) {
        IsHere |= Other == Id;
        Reports.push_back(
            {Other, Other == Id ? State : TaskState::Running, 0, {}});
      }
      if (IsHere)
        Scheduler->handleReport(Worker, Reports, Now);
    }
  }

  Decisions tick(Duration Later = Tick) {
    Now += Later;
    return Scheduler->tick(Now);
  }

  std::size_t activeOf(const TeamName &Team) const {
    const auto Teams = Scheduler->stats().Teams;
    return Teams.contains(Team) ? Teams.at(Team).Active : 0;
  }

  std::unique_ptr<ShardScheduler> Scheduler;
  std::map<WorkerId, WorkerView> Places;
  TimePoint Now = Start;
};

// Guards against one team occupying a full shard, and against shares that
// ignore the weights of the teams.
TEST_F(ShardSchedulerTest, DividesAFullShardByWeight) {
  setTeams({{"a", 1}, {"b", 3}}, {1'000'000, 1'000'000, 100});
  Scheduler->admit(runOf("ra", "a", 100, {1000, 100, 0}));
  Scheduler->admit(runOf("rb", "b", 100, {1000, 100, 0}));
  tick();
  EXPECT_EQ(activeOf("a"), 4U);
  EXPECT_EQ(activeOf("b"), 12U);
}

// Guards against urgent runs that wait while the shard is full, and against
// victims from the wrong team or in the wrong order.
TEST_F(ShardSchedulerTest, UrgentRunDisplacesTeamAboveItsShareFirst) {
  const auto Occupy = [&](const RunId &Id, const TeamName &Team,
                          std::uint32_t Tasks, bool Checkpointable) {
    RunRecord Run = runOf(Id, Team, Tasks, {1000, 100, 0});
    Run.Spec.Checkpointable = Checkpointable;
    Scheduler->admit(Run);
    tick();
  };
  Occupy("saved", "a", 2, true);
  Occupy("greedy", "a", 11, false);
  Occupy("small", "b", 3, true);
  RunRecord Urgent = runOf("urgent", "b", 1, {1000, 100, 0});
  Urgent.Spec.Urgency = Priority::Urgent;
  Scheduler->admit(Urgent);
  const Decisions Made = tick();
  ASSERT_EQ(Made.Stops.size(), 1U);
  EXPECT_EQ(Made.Stops[0].Id.Task.Run, "saved");
  EXPECT_EQ(Made.Stops[0].Mode, StopMode::Checkpoint);
  endAttempt(Made.Stops[0].Id, TaskState::Cancelled);
  const Decisions After = tick();
  ASSERT_EQ(After.Starts.size(), 1U);
  EXPECT_EQ(After.Starts[0].Id.Task.Run, "urgent");
}

// Guards against an urgent gang that does not preempt running tasks, and
// against more victims than it needs.
TEST_F(ShardSchedulerTest, UrgentGangDisplacesJustEnoughTasks) {
  Scheduler->admit(runOf("greedy", "a", 16, {1000, 100, 0}));
  tick();
  RunRecord Gang = runOf("gang", "b", 2, {4000, 100, 0});
  Gang.Spec.Kind = RunKind::Gang;
  Gang.Spec.Urgency = Priority::Urgent;
  Scheduler->admit(Gang);
  const Decisions Made = tick();
  EXPECT_EQ(Made.Stops.size(), 8U);
  for (const StopCommand &One : Made.Stops)
    endAttempt(One.Id, TaskState::Cancelled);
  const Decisions After = tick();
  ASSERT_EQ(After.Starts.size(), 2U);
  EXPECT_EQ(After.Starts[0].Id.Task.Run, "gang");
}

// Guards against starvation of a gang behind small tasks, and against
// backfilled tasks that delay its reservation.
TEST_F(ShardSchedulerTest, ReservesForAGangAndBackfillsShortTasksOnly) {
  Scheduler->admit(runOf("old", "a", 14, {1000, 100, 0}));
  tick();
  RunRecord Gang = runOf("gang", "b", 4, {4000, 100, 0});
  Gang.Spec.Kind = RunKind::Gang;
  Scheduler->admit(Gang);
  tick();
  EXPECT_EQ(Scheduler->stats().ReservedFor, "");
  tick(Duration{61'000});
  ASSERT_EQ(Scheduler->stats().ReservedFor, "gang");
  RunRecord Short = runOf("short", "b", 1, {1000, 100, 0});
  Short.Spec.EstimateSeconds = 10;
  Scheduler->admit(Short);
  Scheduler->admit(runOf("long", "b", 1, {1000, 100, 0}));
  const Decisions Made = tick();
  ASSERT_EQ(Made.Starts.size(), 1U);
  EXPECT_EQ(Made.Starts[0].Id.Task.Run, "short");
  EXPECT_THAT(Scheduler->pendingReason("long"), HasSubstr("reserved"));
  for (const WorkerId &Worker : Scheduler->workersInUse())
    for (const AttemptId &Id : Scheduler->attemptsOn(Worker))
      endAttempt(Id, TaskState::Succeeded);
  const Decisions Freed = tick();
  EXPECT_EQ(std::ranges::count_if(Freed.Starts,
                                  [](const StartCommand &One) {
                                    return One.Id.Task.Run == "gang";
                                  }),
            4);
}

// Guards against a gang that gets no reservation while no task ends, because a
// small run of its team has waited longer.
TEST_F(ShardSchedulerTest, ReservesForAGangBehindASmallRunInAQuietShard) {
  Scheduler->admit(runOf("old", "a", 16, {1000, 100, 0}));
  tick();
  Scheduler->admit(runOf("small", "b", 1, {1000, 100, 0}));
  tick();
  RunRecord Gang = runOf("gang", "b", 4, {4000, 100, 0});
  Gang.Spec.Kind = RunKind::Gang;
  Scheduler->admit(Gang);
  tick();
  tick(Duration{61'000});
  EXPECT_EQ(Scheduler->stats().ReservedFor, "gang");
}

// Guards against a reservation that is never used, because blocked runs of the
// same team are ahead of the run with the reservation.
TEST_F(ShardSchedulerTest, StartsTheHolderOfTheReservationOutOfTurn) {
  SchedulerOptions Options;
  Options.BackfillDepth = 1;
  setUp(Options);
  Scheduler->admit(runOf("old", "a", 16, {1000, 100, 0}));
  tick();
  RunRecord Gang = runOf("gang", "b", 4, {4000, 100, 0});
  Gang.Spec.Kind = RunKind::Gang;
  Scheduler->admit(Gang);
  tick();
  tick(Duration{61'000});
  ASSERT_EQ(Scheduler->stats().ReservedFor, "gang");
  RunRecord Ahead = runOf("ahead", "b", 1, {4000, 100, 0});
  Ahead.Spec.Kind = RunKind::Service;
  Ahead.Spec.EstimateSeconds = 1;
  Scheduler->admit(Ahead);
  tick();
  for (const WorkerId &Worker : Scheduler->workersInUse())
    for (const AttemptId &Id : Scheduler->attemptsOn(Worker))
      endAttempt(Id, TaskState::Succeeded);
  EXPECT_EQ(tick().Starts.size(), 4U);
}

// Guards against an unschedulable run that blocks its team, against a reason
// that does not name the obstacle, and against a run that stays unschedulable
// after the obstacle has been removed.
TEST_F(ShardSchedulerTest, SetsImpossibleRunsAsideUntilWorkersChange) {
  RunRecord Picky = runOf("picky", "a", 1, {1000, 100, 0});
  Picky.Spec.Selector = {{"disk", "fast"}};
  Scheduler->admit(Picky);
  Scheduler->admit(runOf("huge", "a", 1, {5000, 100, 0}));
  Scheduler->admit(runOf("plain", "a", 1, {1000, 100, 0}));
  const Decisions Made = tick();
  ASSERT_EQ(Made.Starts.size(), 1U);
  EXPECT_EQ(Made.Starts[0].Id.Task.Run, "plain");
  EXPECT_EQ(Scheduler->run("picky")->State, RunState::Unschedulable);
  EXPECT_THAT(Scheduler->pendingReason("picky"), HasSubstr("labels"));
  EXPECT_THAT(Scheduler->pendingReason("huge"), HasSubstr("large enough"));
  EXPECT_EQ(Scheduler->demand().at("a"), (Resources{1000, 100, 0}));
  setWorkers(4, {{"disk", "fast"}});
  tick();
  EXPECT_EQ(Scheduler->run("picky")->State, RunState::Running);
  EXPECT_EQ(Scheduler->run("huge")->State, RunState::Unschedulable);
}

// Guards against a service that fails completely with one availability zone or
// rack.
TEST_F(ShardSchedulerTest, SpreadsAServiceOverZonesThenRacks) {
  RunRecord Service = runOf("service", "a", 4, {1000, 100, 0});
  Service.Spec.Kind = RunKind::Service;
  Scheduler->admit(Service);
  std::set<WorkerId> Used;
  for (const StartCommand &One : tick().Starts)
    Used.insert(One.Worker);
  ASSERT_EQ(Used.size(), 4U);
  EXPECT_NE(Places[*Used.begin()].Zone, Places[*std::next(Used.begin())].Zone);
}

// Guards against a burst of submissions or cancellations that makes a tick too
// long, and against deleting the inbox rows of runs that have not been
// admitted.
TEST_F(ShardSchedulerTest, TakesWavesInBoundedParts) {
  SchedulerOptions Options;
  Options.MaxAdmissionsPerTick = 10;
  Options.MaxCancellationsPerTick = 5;
  Options.MaxStopsPerTick = 3;
  setUp(Options);
  for (int Number = 0; Number < 16; ++Number)
    Scheduler->admit(
        runOf("r" + std::to_string(Number), "a", 1, {1000, 100, 0}));
  EXPECT_EQ(tick().HandledAdmissions.size(), 10U);
  EXPECT_EQ(tick().HandledAdmissions.size(), 6U);
  for (int Number = 0; Number < 16; ++Number)
    Scheduler->cancel("r" + std::to_string(Number));
  const Decisions First = tick();
  EXPECT_EQ(First.HandledCancellations.size(), 5U);
  EXPECT_EQ(First.Stops.size(), 3U);
  EXPECT_EQ(Scheduler->run("r0")->State, RunState::Running);
  std::size_t Stops = First.Stops.size();
  for (int Round = 0; Round < 10; ++Round)
    Stops += tick().Stops.size();
  EXPECT_EQ(Stops, 16U);
}

// Guards against tasks of a cancelled run that work on, because the owner was
// lost before it had stopped all of them.
TEST_F(ShardSchedulerTest, NewOwnerGoesOnToStopTheTasksOfACancelledRun) {
  SchedulerOptions Options;
  Options.MaxStopsPerTick = 3;
  setUp(Options);
  Scheduler->admit(runOf("r", "a", 16, {1000, 100, 0}));
  ASSERT_EQ(tick().Starts.size(), 16U);
  Scheduler->cancel("r");
  tick();
  const ShardSnapshot Saved = Scheduler->snapshot(1);
  Scheduler = std::make_unique<ShardScheduler>("s", Options);
  Scheduler->restore(Saved, Now);
  setTeams({{"a", 1}}, {1'000'000, 1'000'000, 100});
  setWorkers(4);
  std::set<AttemptId> Stopped;
  for (int Round = 0; Round < 10; ++Round)
    for (const StopCommand &Stop : tick().Stops)
      Stopped.insert(Stop.Id);
  EXPECT_EQ(Stopped.size(), 16U);
}

// Guards against a run that is executed twice because its inbox row was read
// before the row was deleted, and against losing a cancellation that arrives
// before its run.
TEST_F(ShardSchedulerTest, IgnoresLateInboxRowsAndKeepsEarlyCancellations) {
  const RunRecord Run = runOf("r", "a", 1, {1000, 100, 0});
  Scheduler->admit(Run);
  const Decisions Made = tick();
  endAttempt(Made.Starts.at(0).Id, TaskState::Succeeded);
  EXPECT_EQ(tick().ChangedRuns.at(0).State, RunState::Succeeded);
  Scheduler->admit(Run);
  const Decisions Late = tick();
  EXPECT_THAT(Late.Starts, IsEmpty());
  EXPECT_EQ(Late.HandledAdmissions.size(), 1U);

  Scheduler->cancel("early");
  EXPECT_THAT(tick().HandledCancellations, IsEmpty());
  Scheduler->admit(runOf("early", "a", 1, {1000, 100, 0}));
  EXPECT_THAT(tick().Starts, IsEmpty());
  EXPECT_FALSE(Scheduler->run("early").has_value());
}

// Guards against a run that starts although its cancellation was acknowledged,
// because the run was read from a long inbox minutes after its cancellation.
TEST_F(ShardSchedulerTest, KeepsTheCancellationOfARunThatIsAdmittedMuchLater) {
  for (int Round = 0; Round < 10; ++Round) {
    Scheduler->cancel("late");
    EXPECT_THAT(tick(Duration{60'000}).HandledCancellations, IsEmpty());
  }
  Scheduler->admit(runOf("late", "a", 1, {1000, 100, 0}));
  EXPECT_THAT(tick().Starts, IsEmpty());
  EXPECT_FALSE(Scheduler->run("late").has_value());
}

// Guards against overcommitted workers, when placement uses the declared sizes
// although the tasks use more.
TEST_F(ShardSchedulerTest, ReservesTheLargerOfDeclaredAndObserved) {
  setWorkers(1);
  Scheduler->admit(runOf("first", "a", 1, {1000, 100, 0}));
  const Decisions Made = tick();
  Scheduler->handleReport(
      "w0", {{Made.Starts.at(0).Id, TaskState::Running, 0, {2500, 100, 0}}},
      Now);
  Scheduler->admit(runOf("second", "a", 4, {1000, 100, 0}));
  EXPECT_THAT(tick().Starts, IsEmpty());
  Scheduler->handleReport(
      "w0", {{Made.Starts.at(0).Id, TaskState::Succeeded, 0, {2500, 100, 0}}},
      Now);
  const Decisions After = tick();
  ASSERT_EQ(After.Starts.size(), 1U);
  EXPECT_EQ(After.Starts[0].Reserved.CpuMillis, 2500);
}

// Guards against two attempts of a task at once: the outcome of a commit was
// unknown until the worker's lease had expired and the worker had come back,
// and only then the start was sent.
TEST(ShardWorldTest, StartIsNotSentAfterItsAttemptHasEnded) {
  ShardWorld World(1);
  World.advance(Duration{1'000});
  RunSpec Spec;
  Spec.PerTask = {1000, 1000, 0};
  World.submit("blue", Spec, Duration{300'000});
  World.hideNextOutcome(Duration{40'000});
  World.advance(Duration{1'000});
  for (const char *Zone : {"z0", "z1", "z2"})
    World.loseZone(Zone);
  World.advance(Duration{25'000});
  for (std::size_t Worker = 0; Worker < 12; ++Worker)
    World.setReachable(Worker, true);
  World.advance(Duration{30'000});
  World.settle();
}

// Guards against a shard that no instance can take over, because a report was
// processed before the outcome of a commit was known and entered the snapshot
// as well as the next journal entry.
TEST_F(ShardSchedulerTest, SnapshotOfUncommittedEventsIsRefused) {
  Scheduler->admit(runOf("r", "a", 2, {1000, 100, 0}));
  const Decisions Made = tick();
  EXPECT_FALSE(Scheduler->hasUncommittedEvents());
  endAttempt(Made.Starts.at(0).Id, TaskState::Succeeded);
  EXPECT_TRUE(Scheduler->hasUncommittedEvents());
  EXPECT_THROW(Scheduler->snapshot(1), Error);
  tick();
  EXPECT_EQ(Scheduler->snapshot(2).Runs.size(), 1U);
}

// Guards against a new owner that does not know how often a task has failed.
TEST_F(ShardSchedulerTest, KeepsTheCountOfFailuresAcrossASnapshot) {
  RunRecord Run = runOf("r", "a", 1, {1000, 100, 0});
  Run.Spec.MaxAttempts = 2;
  Scheduler->admit(Run);
  endAttempt(tick().Starts.at(0).Id, TaskState::Failed);
  tick();
  const ShardSnapshot Saved = Scheduler->snapshot(7);
  Scheduler = std::make_unique<ShardScheduler>("s");
  Scheduler->restore(Saved, Now);
  setTeams({{"a", 1}}, {1'000'000, 1'000'000, 100});
  setWorkers(4);
  const Decisions Made = tick();
  ASSERT_EQ(Made.Starts.size(), 1U);
  EXPECT_EQ(Made.Starts[0].Id.Attempt, 2U);
  endAttempt(Made.Starts[0].Id, TaskState::Failed);
  EXPECT_EQ(tick().ChangedRuns.at(0).State, RunState::Failed);
}

// Guards against starting tasks on a worker where unknown attempts still use
// resources.
TEST_F(ShardSchedulerTest, StopsUnknownAttemptsBeforeItUsesTheWorker) {
  setWorkers(1);
  const AttemptId Unknown{{"gone", 0}, 1};
  Scheduler->handleReport("w0", {{Unknown, TaskState::Running, 0, {}}}, Now);
  Scheduler->admit(runOf("r", "a", 1, {1000, 100, 0}));
  const Decisions Made = tick();
  EXPECT_THAT(Made.Starts, IsEmpty());
  ASSERT_EQ(Made.Stops.size(), 1U);
  EXPECT_EQ(Made.Stops[0].Id, Unknown);
  Scheduler->handleReport("w0", {{Unknown, TaskState::Cancelled, 0, {}}}, Now);
  const Decisions After = tick();
  EXPECT_EQ(After.Starts.size(), 1U);
  EXPECT_EQ(After.Acknowledgements.at("w0").at(0), Unknown);
}

// Guards against a crash-looping service that is restarted in every tick.
TEST_F(ShardSchedulerTest, RestartsAServiceWithGrowingDelay) {
  RunRecord Service = runOf("service", "a", 1, {1000, 100, 0});
  Service.Spec.Kind = RunKind::Service;
  Service.Spec.MaxAttempts = 1;
  Scheduler->admit(Service);
  AttemptId Last = tick().Starts.at(0).Id;
  Duration Before{0};
  for (int Round = 0; Round < 4; ++Round) {
    endAttempt(Last, TaskState::Failed);
    const TimePoint Ended = Now;
    Decisions Made = tick();
    while (Made.Starts.empty())
      Made = tick();
    Last = Made.Starts[0].Id;
    EXPECT_GT(Now - Ended, Before);
    Before = Now - Ended;
  }
}

RunId numbered(int Number) { return "run" + std::to_string(Number); }

// Guards against a faulty worker that makes runs fail, and against quarantine
// of healthy workers because of faulty runs.
TEST(HealthTrackerTest, TellsBadWorkersFromBadRuns) {
  HealthTracker Health;
  Health.setWorkerCount(20);
  constexpr WorkerIndex Bad = 0;
  for (WorkerIndex Good = 1; Good < 6; ++Good)
    Health.recordSuccess(Good, "other", Start);
  for (int Number = 0; Number < 3; ++Number)
    Health.recordFailure(Bad, numbered(Number), Start);
  EXPECT_EQ(Health.health(Bad), WorkerHealth::Quarantined);
  for (int Number = 10; Number < 20; ++Number)
    for (WorkerIndex Good = 1; Good < 4; ++Good)
      Health.recordFailure(Good, numbered(Number), Start);
  for (WorkerIndex Good = 1; Good < 4; ++Good)
    EXPECT_EQ(Health.health(Good), WorkerHealth::Healthy);
  EXPECT_TRUE(Health.isBadRun(numbered(10)));
  EXPECT_FALSE(Health.isBadRun(numbered(0)));
}

// Guards against a worker that stays in quarantine although its failed runs
// have failed on other workers as well.
TEST(HealthTrackerTest, LiftsAQuarantineThatBadRunsCaused) {
  HealthTracker Health;
  Health.setWorkerCount(20);
  Health.recordSuccess(2, "other", Start);
  for (int Number = 0; Number < 3; ++Number)
    Health.recordFailure(1, numbered(Number), Start);
  EXPECT_EQ(Health.health(1), WorkerHealth::Quarantined);
  Health.recordFailure(2, numbered(0), Start);
  EXPECT_EQ(Health.health(1), WorkerHealth::Healthy);
  EXPECT_EQ(Health.health(2), WorkerHealth::Healthy);
}

// Guards against a quarantine that never ends or whose duration does not
// increase.
TEST(HealthTrackerTest, DoublesTheQuarantineUntilAProbeSucceeds) {
  HealthTracker Health;
  Health.setWorkerCount(20);
  TimePoint Now = Start;
  for (int Number = 0; Number < 3; ++Number)
    Health.recordFailure(0, numbered(Number), Now);
  for (const Duration Backoff : {Duration{30'000}, Duration{60'000}}) {
    Health.advance(Now + Backoff - Duration{1});
    EXPECT_EQ(Health.health(0), WorkerHealth::Quarantined);
    Now += Backoff;
    Health.advance(Now);
    EXPECT_EQ(Health.health(0), WorkerHealth::Probing);
    Health.recordFailure(0, numbered(int(Backoff.count())), Now);
  }
  EXPECT_EQ(Health.health(0), WorkerHealth::Quarantined);
  Now += Duration{120'000};
  Health.advance(Now);
  Health.recordSuccess(0, "good", Now);
  EXPECT_EQ(Health.health(0), WorkerHealth::Healthy);
}

// Guards against backfill that relies on a declared run time which is far too
// short.
TEST(UsageEstimatorTest, LearnsRunTimes) {
  UsageEstimator Estimator;
  const Duration Declared{60'000};
  for (int Sample = 0; Sample < 10; ++Sample)
    Estimator.recordRunTime("class", Declared, Duration{600'000});
  EXPECT_GE(Estimator.runTime("class", Declared), Duration{600'000});
  EXPECT_EQ(Estimator.runTime("unknown", Declared), Declared);
}

// Guards against the same estimate for all runs of a class whatever their
// declared run times, and against an overflow for a declared run time of 0.
TEST(UsageEstimatorTest, ScalesTheDeclaredRunTime) {
  UsageEstimator Estimator;
  for (int Sample = 0; Sample < 10; ++Sample) {
    Estimator.recordRunTime("class", Duration{60'000}, Duration{120'000});
    Estimator.recordRunTime("class", Duration{600'000}, Duration{1'200'000});
    Estimator.recordRunTime("zero", Duration{0}, Duration{3'600'000});
  }
  EXPECT_EQ(Estimator.runTime("class", Duration{30'000}), Duration{60'000});
  const Duration Longest{std::int64_t(MaxEstimateSeconds) * 1000};
  EXPECT_GE(Estimator.runTime("zero", Duration{0}), Duration{3'600'000});
  EXPECT_EQ(Estimator.runTime("zero", Longest), Longest);
}

} // namespace
} // namespace apricotwing
