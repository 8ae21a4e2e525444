/// \file
/// How much work is discarded under a load of checkpointing gangs and batch
/// tasks on workers that leave at short notice.
#include "jobschedulertest.h"

#include <algorithm>
#include <cstdio>
#include <map>

namespace apricotwing::jobs {
namespace {

constexpr Duration Tick{10};
constexpr Duration Length{60'000};
constexpr Duration DepartureInterval{1500};
constexpr Duration Notice{2500};
constexpr Duration StopTime{600};
constexpr Duration CheckpointInterval{1500};

/// What became of the processor time of all runs, in core seconds.
struct Outcome {
  double Useful = 0;
  double Discarded = 0;
  std::size_t Migrated = 0;
};

/// Sixteen workers of 32 cores. Every 1.5 s one announces that it leaves in
/// 2.5 s, and a new one replaces it. Tasks save a checkpoint every 1.5 s and
/// when they are stopped, those of gangs only if all members run.
class DepartureLoad : public JobSchedulerTest {
public:
  explicit DepartureLoad(const SchedulerOptions &Options)
      : JobSchedulerTest(Options) {}
  void TestBody() override {}

  Outcome run() {
    for (int Number = 0; Number < 16; ++Number)
      add();
    const TimePoint Begin = Now;
    while (Now - Begin < Length) {
      const Duration Time = Now - Begin;
      if (Time % Duration{800} == Duration{0}) {
        StepSpec Gang = step(8, 9000, Duration{4000});
        Gang.Gang = true;
        Gang.Checkpointing = true;
        addJob("batch", Gang);
        addJob("batch", step(6, 3400, Duration{2700}));
      }
      if (Time % DepartureInterval == Duration{0})
        announce();
      leave();
      endRuns();
      start();
      Now += Tick;
    }
    Result.Migrated = Scheduler.migratedRuns();
    return Result;
  }

private:
  struct Active {
    StartCommand Start;
    Duration Done{0};  ///< Progress at its start.
    Duration Saved{0}; ///< Progress at its last checkpoint.
    TimePoint Since;
    TimePoint StopsAt = TimePoint::max();
  };

  void add() { addWorker("w" + std::to_string(100 + Added++)); }

  void announce() {
    WorkerInfo Info = Scheduler.worker(oldest())->info();
    Info.Draining = true;
    Info.Remaining = Notice;
    Scheduler.updateWorker(Info, Now);
    LeavesAt[Info.Incarnation.Id] = Now + Notice;
    add();
  }

  std::string oldest() { return "w" + std::to_string(100 + Announced++); }

  const StepSpec &specOf(const Active &Run) const {
    return Scheduler.find(TaskId::parse(Run.Start.Task)->Job)->Spec.Steps[0];
  }

  Duration progress(const Active &Run) const {
    return std::min(Run.Done + (Now - Run.Since), specOf(Run).Estimate);
  }

  void account(const Active &Run, Duration Kept) {
    const double Cores = double(specOf(Run).Request.CpuMillis) / 1000;
    Result.Useful += Cores * double((Kept - Run.Done).count()) / 1000;
    Result.Discarded += Cores * double((progress(Run) - Kept).count()) / 1000;
  }

  void finish(const std::string &Task, EndKind Kind) {
    const Active Run = Runs.at(Task);
    Runs.erase(Task);
    const bool Checkpointing = specOf(Run).Checkpointing;
    Duration Kept = Checkpointing ? Run.Saved : Run.Done;
    if (Kind == EndKind::Done || (Kind == EndKind::Stopped && Checkpointing))
      Kept = progress(Run);
    account(Run, Kept);
    const std::string Checkpoint =
        Checkpointing && Kept > Duration{0} ? std::to_string(Kept.count()) : "";
    Scheduler.runEnded(Run.Start.Worker,
                       {++LastEnd, Task, Run.Start.Run, Kind, Checkpoint}, Now);
  }

  void leave() {
    while (!LeavesAt.empty() && LeavesAt.begin()->second <= Now) {
      const std::string Id = LeavesAt.begin()->first;
      LeavesAt.erase(LeavesAt.begin());
      std::set<std::string> Broken;
      const auto Before = Runs;
      for (const auto &[Task, Run] : Before) {
        if (Run.Start.Worker.Id != Id)
          continue;
        account(Run, specOf(Run).Checkpointing ? Run.Saved : Run.Done);
        if (specOf(Run).Gang)
          Broken.insert(TaskId::parse(Task)->Job);
        Runs.erase(Task);
      }
      Scheduler.removeWorker({Id, 1}, WorkerLoss::Announced, Now);
      const auto Rest = Runs;
      for (const auto &[Task, Run] : Rest)
        if (Broken.contains(TaskId::parse(Task)->Job))
          finish(Task, EndKind::Broken);
    }
  }

  void endRuns() {
    const auto Before = Runs;
    for (const auto &[Task, Copy] : Before) {
      Active &Run = Runs.at(Task);
      if ((Now - Run.Since) % CheckpointInterval == Duration{0} &&
          specOf(Run).Checkpointing) {
        Run.Saved = progress(Run);
        Scheduler.runProgressed(
            Run.Start.Worker,
            {Task, Run.Start.Run, std::to_string(Run.Saved.count()), 0}, Now);
      }
      if (progress(Run) >= specOf(Run).Estimate)
        finish(Task, EndKind::Done);
      else if (Now >= Run.StopsAt)
        finish(Task, EndKind::Stopped);
    }
  }

  void start() {
    const Decisions Made = Scheduler.decide(Now, Budget);
    for (const StopCommand &Stop : Made.Stops)
      if (const auto Found = Runs.find(Stop.Task); Found != Runs.end())
        Found->second.StopsAt = std::min(Found->second.StopsAt, Now + StopTime);
    for (const StartCommand &Start : Made.Starts) {
      Scheduler.markDispatched(Start);
      const Duration Done(
          Start.Checkpoint.empty() ? 0 : std::stoll(Start.Checkpoint));
      Runs[Start.Task] = {Start, Done, Done, Now};
    }
  }

  Outcome Result;
  int Added = 0;
  int Announced = 0;
  std::map<std::string, Active> Runs; ///< By task.
  std::map<std::string, TimePoint> LeavesAt;
};

// Guards against departures that discard as much work as if nobody had
// announced them, and against stops that cost more than they save.
TEST(DepartureLoadTest, DiscardsLessThanHalfOfTheWork) {
  SchedulerOptions Options;
  const Outcome Before = DepartureLoad(Options).run();
  Options.MigrateFromLeavingWorkers = true;
  const Outcome After = DepartureLoad(Options).run();
  RecordProperty("DiscardedBefore", std::to_string(Before.Discarded));
  RecordProperty("DiscardedAfter", std::to_string(After.Discarded));
  std::printf("core seconds: useful %.0f and %.0f, discarded %.0f and %.0f, "
              "%zu runs moved\n",
              Before.Useful, After.Useful, Before.Discarded, After.Discarded,
              After.Migrated);
  EXPECT_EQ(Before.Migrated, 0U);
  EXPECT_GT(After.Migrated, 0U);
  EXPECT_LT(After.Discarded * 2, Before.Discarded);
  EXPECT_GE(After.Useful, Before.Useful);
}

} // namespace
} // namespace apricotwing::jobs
