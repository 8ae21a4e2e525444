/// \file
/// Cells with tasks of minutes whose jobs are cancelled amid series of faults.
/// APRICOTWING_SOAK_SEEDS=FIRST-LAST selects the seeds of a longer run.
#include "emulator/emulatedcell.h"
#include "emulator/faultends.h"
#include "emulator/runmonitor.h"
#include "emulator/soakseeds.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace apricotwing::emulator {
namespace {

using namespace std::chrono_literals;

enum class Fault {
  KillInstance,
  KillLeader,
  KillAll,
  RestartInstance,
  FreezeInstance,
  FreezeLeader,
  CutInstance,
  CutLeader,
  StopLeader,
  CutWorkerFromInstance,
  CutWorker,
  CrashWorker,
  DelayMessages,
  LoseReplies,
  SlowStore,
  StoreRefusesLeader,
  StoreDown,
};
constexpr int FaultKinds = int(Fault::StoreDown) + 1;

/// One play: a first period of faults, a calm one, and a second period of
/// faults. Jobs with tasks of minutes and short ones arrive all the time.
class CancelSoak {
public:
  CancelSoak(std::uint64_t Seed, bool TwoShards)
      : Cell(Seed, std::vector<double>(5, 1.0), 12,
             equalAccounts(TwoShards ? 4 : 1),
             TwoShards ? std::optional(twoShards()) : std::nullopt),
        Runs(Cell), Random(Seed), Begin(Cell.time().now() + StartTime) {
    // At this mean interval one period has a few faults in series, another one
    // many that overlap.
    FaultInterval = Duration(between(300, 3000));
    for (int Number = 0; Number < LongJobCount; ++Number)
      planLongJob(Number);
  }

  /// Returns the descriptions of all violations.
  std::vector<std::string> play() {
    Runs.run(StartTime);
    playFaults(25s);
    endFaults();
    playCalm(RunMonitor::CalmTime + 6s);
    playFaults(15s);
    endFaults();
    for (const LongJob &Job : LongJobs)
      if (Job.Id.empty())
        ADD_FAILURE() << "a job was not submitted";
    std::vector<std::string> Ids;
    for (const LongJob &Job : LongJobs)
      Ids.push_back(Job.Id);
    Runs.settle(Ids);
    Runs.run(30s);
    return violations();
  }

private:
  static constexpr Duration StartTime{3000};
  static constexpr Duration Step{20};
  static constexpr Duration PlayTime = 25s + RunMonitor::CalmTime + 6s + 15s;
  static constexpr int LongJobCount = 8;

  struct LongJob {
    jobs::StepSpec Work;
    std::string Queue;
    TimePoint SubmitAt;
    TimePoint CancelAt;
    std::string Id; ///< Empty until the job is submitted.
    bool CancelSent = false;
  };

  int between(int Low, int High) {
    return std::uniform_int_distribution<int>(Low, High)(Random);
  }
  bool happens(double Probability) {
    return std::uniform_real_distribution<double>(0, 1)(Random) < Probability;
  }

  // Half of the jobs are there from the start. A quarter of all is cancelled
  // while its starts are being stored, the others at any later time.
  void planLongJob(int Number) {
    LongJob Job;
    Job.Work = stepOf(between(4, 11), 600s, Number % 2 == 0);
    Job.Queue = happens(0.3) ? "/quick/" : "/batch/";
    const int Last = int(PlayTime.count()) - 1000;
    const int SubmitMs = Number < LongJobCount / 2 ? 0 : between(0, Last);
    const int CancelMs =
        happens(0.25) ? SubmitMs + between(0, 300) : between(SubmitMs, Last);
    Job.SubmitAt = Begin + Duration(SubmitMs);
    Job.CancelAt = Begin + Duration(CancelMs);
    LongJobs.push_back(Job);
  }

  void playFaults(Duration Length) {
    const TimePoint Until = Cell.time().now() + Length;
    while (Cell.time().now() < Until) {
      Ends.endDue(Cell.time().now());
      if (happens(double(Step.count()) / double(FaultInterval.count())))
        begin(Fault(between(0, FaultKinds - 1)));
      playCallers();
    }
  }

  void playCalm(Duration Length) {
    const TimePoint Until = Cell.time().now() + Length;
    while (Cell.time().now() < Until)
      playCallers();
  }

  void playCallers() {
    const TimePoint Now = Cell.time().now();
    for (LongJob &Job : LongJobs) {
      if (Job.Id.empty() && Now >= Job.SubmitAt)
        Job.Id = Cell.submit(anyRunningInstance(), Job.Work, Job.Queue);
      if (!Job.Id.empty() && !Job.CancelSent && Now >= Job.CancelAt) {
        Job.CancelSent = true;
        Runs.cancel(anyInstance(), Job.Id);
      }
    }
    if (happens(0.015))
      ShortIds.push_back(Cell.submit(
          anyRunningInstance(),
          stepOf(between(1, 4), Duration(between(100, 1500)), happens(0.25))));
    Runs.run(Step);
  }

  std::string anyInstance() {
    return "n" + std::to_string(between(0, int(Cell.names().size()) - 1));
  }

  std::string anyRunningInstance() {
    std::vector<std::string> Running;
    for (const std::string &Name : Cell.names())
      if (Cell.isRunning(Name))
        Running.push_back(Name);
    return Running.empty()
               ? anyInstance()
               : Running[std::size_t(between(0, int(Running.size()) - 1))];
  }

  std::string leaderOrAny() {
    const std::string Leader = Cell.leader(between(0, Cell.shardCount() - 1));
    return Leader.empty() ? anyInstance() : Leader;
  }

  std::string anyWorker() {
    const std::vector<std::string> Ids = Cell.workers().ids();
    return Ids[std::size_t(between(0, int(Ids.size()) - 1))];
  }

  void endLater(std::function<void()> End) {
    Ends.add(Cell.time().now() + Duration(between(200, 6000)), std::move(End));
  }

  void endFaults() {
    Ends.clear();
    Cell.endFaults();
    Runs.noteDisturbance();
  }

  void begin(Fault Kind) {
    Runs.noteDisturbance();
    EmulatedStore &Store = Cell.store();
    EmulatedWorkers &Workers = Cell.workers();
    switch (Kind) {
    case Fault::KillInstance:
      killFor(anyInstance());
      break;
    case Fault::KillLeader:
      killFor(leaderOrAny());
      break;
    case Fault::KillAll:
      if (happens(0.3))
        for (const std::string &Name : Cell.names())
          killFor(Name);
      break;
    case Fault::RestartInstance: {
      const std::string Name = anyInstance();
      Cell.kill(Name);
      Cell.start(Name);
      break;
    }
    case Fault::FreezeInstance:
      freezeFor(anyInstance());
      break;
    case Fault::FreezeLeader:
      freezeFor(leaderOrAny());
      break;
    case Fault::CutInstance:
      cutFor(anyInstance());
      break;
    case Fault::CutLeader:
      cutFor(leaderOrAny());
      break;
    case Fault::StopLeader: {
      const std::string Name = leaderOrAny();
      if (Cell.isRunning(Name))
        Cell.node(Name).leave();
      Runs.run(Duration(between(200, 1000)));
      killFor(Name);
      break;
    }
    case Fault::CutWorkerFromInstance: {
      const std::pair<std::string, std::string> Pair{anyInstance(),
                                                     anyWorker()};
      Workers.CutPairs.insert(Pair);
      endLater([&Workers, Pair] { Workers.CutPairs.erase(Pair); });
      break;
    }
    case Fault::CutWorker: {
      const std::string Id = anyWorker();
      Workers.Cut.insert(Id);
      endLater([&Workers, Id] { Workers.Cut.erase(Id); });
      break;
    }
    case Fault::CrashWorker: {
      const std::string Id = anyWorker();
      if (Workers.info(Id))
        Workers.crash(Id);
      endLater([&Workers, Id] {
        if (!Workers.info(Id))
          Workers.restart(Id);
      });
      break;
    }
    case Fault::DelayMessages:
      Cell.DelayedMessages = 0.1 * between(1, 4);
      endLater([this] { Cell.DelayedMessages = 0; });
      break;
    case Fault::LoseReplies:
      Cell.LostReplies = 0.1 * between(1, 4);
      endLater([this] { Cell.LostReplies = 0; });
      break;
    case Fault::SlowStore:
      Store.Latency = Duration(between(50, 650));
      endLater([&Store] { Store.Latency = EmulatedStore::UsualLatency; });
      break;
    case Fault::StoreRefusesLeader: {
      const std::string Name = leaderOrAny();
      Store.RefusedCallers.insert(Name);
      endLater([&Store, Name] { Store.RefusedCallers.erase(Name); });
      break;
    }
    case Fault::StoreDown:
      Store.Down = true;
      endLater([&Store] { Store.Down = false; });
      break;
    }
  }

  void killFor(const std::string &Name) {
    Cell.kill(Name);
    endLater([this, Name] { Cell.start(Name); });
  }

  void freezeFor(const std::string &Name) {
    Cell.freeze(Name);
    endLater([this, Name] { Cell.thaw(Name); });
  }

  void cutFor(const std::string &Name) {
    Cell.cut(Name);
    endLater([this, Name] { Cell.heal(Name); });
  }

  std::vector<std::string> violations() {
    std::vector<std::string> Result = Runs.violations();
    for (const std::string &Text : Cell.workers().violations())
      Result.push_back(Text);
    for (const std::string &Id : ShortIds)
      Cell.read("n0", Id);
    Cell.run(1s);
    for (const std::string &Id : ShortIds) {
      const JobRecord &Job = Cell.jobs().at(Id);
      if (Job.Accepted && Job.View != jobs::JobView::Completed)
        Result.push_back(Id + " was accepted and is not completed: " +
                         std::to_string(int(Job.View)));
    }
    if (Cell.workers().activeRuns() > 0)
      Result.emplace_back("runs are active at the end");
    return Result;
  }

  EmulatedCell Cell;
  RunMonitor Runs;
  std::mt19937_64 Random;
  const TimePoint Begin;
  Duration FaultInterval{1000};
  std::vector<LongJob> LongJobs;
  std::vector<std::string> ShortIds;
  /// Ends of the faults that have begun.
  FaultEnds Ends;
};

/// Plays the seeds 1 to \p LastSeed, or those of APRICOTWING_SOAK_SEEDS.
void playSeeds(std::uint64_t LastSeed, bool TwoShards) {
  for (const std::uint64_t Seed : soakSeeds(LastSeed)) {
    std::string Text;
    for (const std::string &Violation : CancelSoak(Seed, TwoShards).play())
      Text += Violation + "\n";
    EXPECT_TRUE(Text.empty()) << "seed " << Seed << "\n" << Text;
  }
}

TEST(CancelSoakTest, LeavesNoRunOfACancelledJobAtWork) { playSeeds(50, false); }

TEST(CancelSoakTest, LeavesNoRunOfACancelledJobAtWorkWithTwoShards) {
  playSeeds(50, true);
}

} // namespace
} // namespace apricotwing::emulator
