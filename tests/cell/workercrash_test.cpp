/// \file
/// Tasks that crash their workers, workers that crash for other reasons, and
/// workers whose capacity changes, on the emulated platform.
#include "emulator/emulatedcell.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <limits>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace apricotwing::emulator {
namespace {

using namespace std::chrono_literals;
using jobs::JobView;

/// A task that lasts must be at work again 6 s after its last run, and may be
/// missed for another 3 s.
constexpr Duration MaxAbsence{9000};

class WorkerCrashTest : public testing::Test {
protected:
  WorkerCrashTest() : Cell(1, 3, 12) { Cell.run(2s); }
  ~WorkerCrashTest() override {
    for (const std::string &Violation : Cell.workers().violations())
      ADD_FAILURE() << Violation;
  }

  JobView viewOf(const std::string &Id) {
    for (const std::string &Name : Cell.names())
      Cell.start(Name);
    Cell.run(2s);
    Cell.read("n1", Id);
    Cell.run(300ms);
    return Cell.jobs().at(Id).View;
  }

  std::string submitCrashing(int Count, const std::string &Payload,
                             bool Gang = false) {
    return Cell.submit("n0", stepOf(Count, 2s, Gang), "/batch/", Payload);
  }

  std::vector<std::string> submitHealthy(int Jobs, int Count, Duration Work) {
    std::vector<std::string> Ids;
    Ids.reserve(std::size_t(Jobs));
    for (int Number = 0; Number < Jobs; ++Number)
      Ids.push_back(Cell.submit("n0", stepOf(Count, Work)));
    return Ids;
  }

  void expectCompleted(const std::vector<std::string> &Ids) {
    for (const std::string &Id : Ids)
      EXPECT_EQ(viewOf(Id), JobView::Completed) << Id;
  }

  // A job whose runs were lost before any worker reported them is queued.
  void expectActive(const std::string &Id) {
    const JobView View = viewOf(Id);
    EXPECT_TRUE(View == JobView::Queued || View == JobView::InProgress)
        << Id << " is " << int(View);
  }

  static jobs::StepSpec lastingStepOf(int Count, bool Gang = false) {
    jobs::StepSpec Step = stepOf(Count, 1s, Gang);
    Step.LongRunning = true;
    return Step;
  }

  int activeTasksOf(const std::string &Id) {
    int Result = 0;
    for (const std::string &Task : Cell.workers().activeTasks())
      Result += jobs::TaskId::parse(Task)->Job == Id ? 1 : 0;
    return Result;
  }

  /// Runs the cell for \p Length. Returns the longest time for which a task was
  /// not at work.
  Duration longestAbsence(const std::string &Task, Duration Length) {
    const TimePoint Until = Cell.time().now() + Length;
    TimePoint LastSeen = Cell.time().now();
    Duration Longest{0};
    while (Cell.time().now() < Until) {
      Cell.run(20ms);
      if (Cell.workers().activeTasks().contains(Task))
        LastSeen = Cell.time().now();
      Longest = std::max(Longest, Cell.time().now() - LastSeen);
    }
    return Longest;
  }

  static std::string firstTask(const std::string &Id) { return Id + ".0.0.0"; }

  std::string hostOf(const std::string &Task) {
    const cell::Leader *Leader = Cell.node(Cell.leader()).leader(0);
    for (const auto &[Id, Host] : Leader->scheduler().workers())
      if (Host.runs().contains(Task))
        return Id;
    return {};
  }

  /// Puts each worker of a task in turn into \p Fault, a set of worker ids, for
  /// longer than its lease.
  void expectJobOutlasts(std::set<std::string> &Fault) {
    const std::string Id = Cell.submit("n0", stepOf(1, 30s));
    Cell.run(1s);
    for (int Cut = 0; Cut < 6; ++Cut) {
      const std::string Host = hostOf(firstTask(Id));
      ASSERT_NE(Host, "");
      Fault = {Host};
      Cell.run(11s);
      Fault.clear();
      Cell.run(3s);
    }
    Cell.run(35s);
    EXPECT_EQ(viewOf(Id), JobView::Completed);
  }

  EmulatedCell Cell;
};

class CrashingTaskTest : public WorkerCrashTest,
                         public testing::WithParamInterface<Comeback> {
protected:
  CrashingTaskTest() { Cell.workers().AfterCrash = GetParam(); }

  void expectGivenUp(Duration Within, int MaxCrashes) {
    const auto Healthy = submitHealthy(6, 6, 1500ms);
    const std::string Id = submitCrashing(1, CrashingJob);
    Cell.run(Within);
    EXPECT_EQ(viewOf(Id), JobView::Failed);
    EXPECT_LE(Cell.workers().taskCrashes(), MaxCrashes);
    expectCompleted(Healthy);
  }
};

// Guards against a task that crashes one worker after another without end.
TEST_P(CrashingTaskTest, IsGivenUpAfterAFewWorkers) { expectGivenUp(40s, 3); }

// Guards against the same if the machines of ended workers do not respond.
TEST_P(CrashingTaskTest, IsGivenUpIfItsWorkersGoSilent) {
  Cell.workers().CrashesSilently = true;
  Cell.workers().RestartDelay = 9s;
  expectGivenUp(60s, 5);
}

// Guards against crashes that are forgotten with the leader that saw them.
TEST_P(CrashingTaskTest, IsGivenUpAlthoughEachCrashIsFollowedByANewLeader) {
  const auto Healthy = submitHealthy(3, 4, 1500ms);
  const std::string Id = submitCrashing(1, CrashingJob);
  int Seen = 0;
  for (int Step = 0; Step < 600; ++Step) {
    Cell.run(100ms);
    if (Cell.workers().taskCrashes() == Seen)
      continue;
    Seen = Cell.workers().taskCrashes();
    // Before or after the leader has noticed the crash.
    Cell.run(Seen % 2 == 0 ? 700ms : 20ms);
    const std::string Leader = Cell.leader();
    if (Leader.empty())
      continue;
    Cell.kill(Leader);
    Cell.run(600ms);
    Cell.start(Leader);
  }
  EXPECT_EQ(viewOf(Id), JobView::Failed);
  expectCompleted(Healthy);
}

// Guards against a job that lasts and is shown as failed, or is not started
// again, because its task crashes each of its workers.
TEST_P(CrashingTaskTest, IsStartedAgainIfItLasts) {
  const auto Healthy = submitHealthy(6, 6, 1500ms);
  const std::string Id =
      Cell.submit("n0", lastingStepOf(1), "/batch/", CrashingJob);
  EXPECT_LE(longestAbsence(firstTask(Id), 40s), MaxAbsence);
  EXPECT_GE(Cell.workers().taskCrashes(), 4);
  expectActive(Id);
  expectCompleted(Healthy);
}

INSTANTIATE_TEST_SUITE_P(Comebacks, CrashingTaskTest,
                         testing::Values(Comeback::SameId, Comeback::OtherId,
                                         Comeback::Never),
                         [](const auto &Info) {
                           return std::string(
                               enumName(ComebackNames, Info.param));
                         });

// Guards against crashes that are forgotten when all instances lose power.
TEST_F(WorkerCrashTest, CountsCrashesAcrossALossOfAllInstances) {
  const std::string Id = submitCrashing(1, CrashingJob);
  int Seen = 0;
  for (int Step = 0; Step < 600; ++Step) {
    Cell.run(100ms);
    if (Cell.workers().taskCrashes() == Seen)
      continue;
    Seen = Cell.workers().taskCrashes();
    for (const std::string &Name : Cell.names())
      Cell.kill(Name);
    Cell.run(4s);
    for (const std::string &Name : Cell.names())
      Cell.start(Name);
  }
  EXPECT_EQ(viewOf(Id), JobView::Failed);
  EXPECT_LE(Cell.workers().taskCrashes(), 5);
}

// Guards against jobs that fail because their tasks shared workers with one
// that crashes them.
TEST_F(WorkerCrashTest, CompletesJobsThatSharedWorkersWithACrashingTask) {
  const auto Healthy = submitHealthy(10, 8, 3s);
  const std::string First = submitCrashing(1, CrashingJob);
  const std::string Second = submitCrashing(1, CrashingJob);
  Cell.run(60s);
  EXPECT_EQ(viewOf(First), JobView::Failed);
  EXPECT_EQ(viewOf(Second), JobView::Failed);
  expectCompleted(Healthy);
}

// Guards against a job of many crashing tasks that takes all workers down
// before it is given up.
TEST_F(WorkerCrashTest, LimitsTheCrashesUnderAWideStep) {
  const auto Healthy = submitHealthy(4, 4, 2s);
  const std::string Id = submitCrashing(24, CrashingJob);
  Cell.run(60s);
  EXPECT_EQ(viewOf(Id), JobView::Failed);
  EXPECT_LE(Cell.workers().taskCrashes(), 12 + 3);
  expectCompleted(Healthy);
}

// Guards against a wide step of which one task crashes its workers.
TEST_F(WorkerCrashTest, GivesUpAStepOfWhichOneTaskCrashesWorkers) {
  const auto Healthy = submitHealthy(4, 4, 2s);
  const std::string Id = submitCrashing(12, JobWithOneCrashingTask);
  Cell.run(90s);
  EXPECT_EQ(viewOf(Id), JobView::Failed);
  EXPECT_LE(Cell.workers().taskCrashes(), 3);
  expectCompleted(Healthy);
}

// Guards against a job that lasts and is shown as failed because three workers
// crashed under its task for other reasons.
TEST_F(WorkerCrashTest, KeepsAJobThatLastsAfterThreeCrashesOfItsWorkers) {
  const std::string Id = Cell.submit("n0", lastingStepOf(1));
  for (int Crash = 0; Crash < 3; ++Crash) {
    Cell.run(4s);
    const std::string Host = hostOf(firstTask(Id));
    ASSERT_NE(Host, "");
    Cell.workers().crash(Host);
    EXPECT_LE(longestAbsence(firstTask(Id), 4500ms), MaxAbsence);
    Cell.workers().restart(Host);
    Cell.run(4500ms);
  }
  EXPECT_EQ(activeTasksOf(Id), 1);
  expectActive(Id);
}

// Guards against a task that lasts and crashes workers as fast as they start.
TEST_F(WorkerCrashTest, LimitsTheRateOfCrashesUnderATaskThatLasts) {
  Cell.workers().RestartDelay = 200ms;
  const std::string Id =
      Cell.submit("n0", lastingStepOf(1), "/batch/", CrashingJob);
  Cell.run(10s);
  const int Before = Cell.workers().taskCrashes();
  Cell.run(40s);
  const int Crashes = Cell.workers().taskCrashes() - Before;
  EXPECT_GE(Crashes, 4);
  EXPECT_LE(Crashes, 40s / jobs::CrashHistory::MaxRestartInterval + 1);
  expectActive(Id);
}

// Guards against tasks that last and wait for others of their step to succeed
// after two crashes.
TEST_F(WorkerCrashTest, RestartsAllTasksThatLastAfterTwoCrashes) {
  const std::string Id = Cell.submit("n0", lastingStepOf(8));
  Cell.run(3s);
  for (int Crash = 0; Crash < 2; ++Crash) {
    const std::string Host = hostOf(firstTask(Id));
    ASSERT_NE(Host, "");
    Cell.workers().crash(Host);
    Cell.run(MaxAbsence);
    EXPECT_EQ(activeTasksOf(Id), 8);
  }
  expectActive(Id);
}

// Guards against a gang that lasts and is given up because it crashes its
// workers.
TEST_F(WorkerCrashTest, StartsAGangThatLastsAgain) {
  const auto Healthy = submitHealthy(4, 4, 2s);
  const std::string Id =
      Cell.submit("n0", lastingStepOf(3, true), "/batch/", CrashingJob);
  EXPECT_LE(longestAbsence(firstTask(Id), 60s), MaxAbsence);
  EXPECT_GE(Cell.workers().taskCrashes(), 4);
  expectActive(Id);
  expectCompleted(Healthy);
}

// Guards against a gang that crashes its workers without end.
TEST_F(WorkerCrashTest, GivesUpAGangThatCrashesItsWorkers) {
  const auto Healthy = submitHealthy(4, 4, 2s);
  const std::string Id = submitCrashing(10, CrashingJob, true);
  Cell.run(90s);
  EXPECT_EQ(viewOf(Id), JobView::Failed);
  expectCompleted(Healthy);
}

// Guards against a job that fails because its task was on two workers that
// crashed for other reasons.
TEST_F(WorkerCrashTest, CompletesATaskThatWasOnTwoCrashedWorkers) {
  const std::string Id = Cell.submit("n0", stepOf(1, 4s));
  Cell.run(1s);
  for (int Crash = 0; Crash < 2; ++Crash) {
    const std::string Host = hostOf(firstTask(Id));
    ASSERT_NE(Host, "");
    Cell.workers().crash(Host);
    Cell.run(3s);
    Cell.workers().restart(Host);
    Cell.run(500ms);
  }
  Cell.run(8s);
  EXPECT_EQ(Cell.workers().crashesUnder(firstTask(Id)), 2);
  EXPECT_EQ(viewOf(Id), JobView::Completed);
}

// Guards against jobs that fail after a rack without power and the next one.
TEST_F(WorkerCrashTest, CompletesAllJobsAfterTwoRacksLostPower) {
  const auto Ids = submitHealthy(6, 12, 4s);
  for (int Rack = 0; Rack < 2; ++Rack) {
    Cell.run(1500ms);
    for (int Number = Rack * 4; Number < Rack * 4 + 4; ++Number)
      Cell.workers().crash("w" + std::to_string(Number));
  }
  Cell.run(3s);
  for (int Number = 0; Number < 8; ++Number)
    Cell.workers().restart("w" + std::to_string(Number));
  Cell.run(40s);
  expectCompleted(Ids);
}

// Guards against a job that fails because its workers were silent, one after
// the other, for longer than their lease.
TEST_F(WorkerCrashTest, ASilentWorkerCostsNoTaskItsJob) {
  expectJobOutlasts(Cell.workers().Cut);
}

// Guards against the same if a firewall rejects the connections to them.
TEST_F(WorkerCrashTest, ARefusingWorkerCostsNoTaskItsJob) {
  expectJobOutlasts(Cell.workers().Rejected);
}

// Guards against starts on a worker whose capacity has shrunk, and against
// resources that stay unused after it has grown again.
TEST_F(WorkerCrashTest, FollowsACapacityThatShrinksAndGrows) {
  const auto Ids = submitHealthy(30, 12, 2s);
  Cell.run(1s);
  for (int Number = 0; Number < 10; ++Number)
    Cell.workers().resize("w" + std::to_string(Number), {6000, 65'536, 0});
  Cell.run(8s);
  int OnSmall = 0;
  int OnLarge = 0;
  const auto Count = [&] {
    const cell::Leader *Leader = Cell.node(Cell.leader()).leader(0);
    OnSmall = OnLarge = 0;
    for (const auto &[Name, Host] : Leader->scheduler().workers())
      (Name == "w10" || Name == "w11" ? OnLarge : OnSmall) +=
          int(Host.runs().size());
  };
  Count();
  EXPECT_LE(OnSmall, 10);
  for (int Number = 0; Number < 10; ++Number)
    Cell.workers().resize("w" + std::to_string(Number), {32'000, 65'536, 0});
  Cell.run(2500ms);
  Count();
  EXPECT_GE(OnSmall, 40);
  Cell.run(30s);
  expectCompleted(Ids);
}

// Guards against innocent jobs that fail, or starve behind suspects, while
// half of the large jobs crash their workers for ten seconds.
TEST(CrashLoadTest, InnocentJobsEndWhileManyTasksCrashWorkers) {
  for (std::uint64_t Seed = 1; Seed <= 4; ++Seed) {
    EmulatedCell Cell(Seed, 4, 48);
    Cell.run(2s);
    std::mt19937_64 Random(Seed);
    const auto Any = [&Random](int Low, int High) {
      return std::uniform_int_distribution<int>(Low, High)(Random);
    };
    std::vector<std::string> Healthy;
    std::vector<std::string> Crashing;
    for (int Tick = 0; Tick < 200; ++Tick) {
      const bool IsLarge = Tick % 8 == 0;
      jobs::StepSpec Step =
          stepOf(IsLarge ? Any(2, 16) : Any(1, 12),
                 Duration(IsLarge ? Any(3000, 9000) : Any(400, 3000)), IsLarge);
      Step.Request.CpuMillis = IsLarge ? Any(5000, 13'000) : Any(1000, 4000);
      const bool Crashes =
          IsLarge && Tick >= 40 && Tick < 110 && Any(1, 2) == 1;
      (Crashes ? Crashing : Healthy)
          .push_back(Cell.submit("n" + std::to_string(Tick % 4), Step,
                                 "/batch/", Crashes ? CrashingJob : ""));
      Cell.run(150ms);
    }
    Cell.run(30s);
    for (const auto *Ids : {&Healthy, &Crashing})
      for (const std::string &Id : *Ids)
        Cell.read("n1", Id);
    Cell.run(1s);
    ASSERT_FALSE(Crashing.empty());
    for (const std::string &Id : Crashing)
      EXPECT_TRUE(!Cell.jobs().at(Id).Accepted ||
                  Cell.jobs().at(Id).View == JobView::Failed)
          << Id << " of seed " << Seed;
    for (const std::string &Id : Healthy)
      EXPECT_TRUE(!Cell.jobs().at(Id).Accepted ||
                  Cell.jobs().at(Id).View == JobView::Completed)
          << Id << " of seed " << Seed << " is "
          << int(Cell.jobs().at(Id).View);
    for (const std::string &Violation : Cell.workers().violations())
      ADD_FAILURE() << Violation;
  }
}

/// Crashes of workers, and kills of leaders and other instances, for reasons
/// that have nothing to do with the jobs.
struct RandomKills {
  int WorkerMs = 0; ///< Mean time between two crashes of workers.
  int ReturnMs = 0; ///< Longest time until a worker is back.
  /// Mean time between two kills of instances; 0: none is killed.
  int InstanceMs = 0;
  /// A task that crashes its worker is handed in every 5 s.
  bool HasCrashingJobs = false;
};

/// Plays 48 s of short jobs among random kills. Reports each accepted sound job
/// that is not completed half a minute later, or a minute if others crash.
void expectSoundJobsToEnd(std::uint64_t Seed, const RandomKills &Kills) {
  EmulatedCell Cell(Seed, 3, 8);
  Cell.run(2s);
  std::mt19937_64 Random(Seed);
  const auto Any = [&Random](int Low, int High) {
    return std::uniform_int_distribution<int>(Low, High)(Random);
  };
  const auto AboutMs = [&Any](int Mean) { return Any(Mean / 2, Mean * 3 / 2); };
  std::vector<std::string> Ids;
  std::string Down;
  int NextCrashMs = Any(0, Kills.WorkerMs);
  int NextReturnMs = 0;
  int NextKillMs = Kills.InstanceMs > 0 ? Any(0, Kills.InstanceMs)
                                        : std::numeric_limits<int>::max();
  std::multimap<int, std::string> Starts;
  for (int AtMs = 0; AtMs < 48'000; AtMs += 50) {
    if (!Down.empty() && AtMs >= NextReturnMs) {
      Cell.workers().restart(Down);
      Down.clear();
    }
    if (Down.empty() && AtMs >= NextCrashMs) {
      Down = "w" + std::to_string(Any(0, 7));
      Cell.workers().crash(Down);
      NextReturnMs = AtMs + Any(Kills.ReturnMs / 2, Kills.ReturnMs);
      NextCrashMs = AtMs + AboutMs(Kills.WorkerMs);
    }
    for (; !Starts.empty() && Starts.begin()->first <= AtMs;
         Starts.erase(Starts.begin()))
      Cell.start(Starts.begin()->second);
    if (AtMs >= NextKillMs) {
      const std::string Name =
          Any(0, 1) == 1 ? Cell.leader() : "n" + std::to_string(Any(0, 2));
      if (!Name.empty()) {
        Cell.kill(Name);
        Starts.emplace(AtMs + 1000, Name);
      }
      NextKillMs = AtMs + AboutMs(Kills.InstanceMs);
    }
    for (int Count = 0; Count < 5; ++Count) {
      jobs::StepSpec Step = stepOf(1, 400ms);
      Step.Request = {1000, 64, 0};
      Ids.push_back(Cell.submit("n" + std::to_string(Any(0, 2)), Step));
    }
    if (Kills.HasCrashingJobs && AtMs % 5000 == 2500)
      Cell.submit("n" + std::to_string(Any(0, 2)), stepOf(1, 2s), "/batch/",
                  CrashingJob);
    Cell.run(50ms);
  }
  Cell.endFaults();
  Cell.run(Kills.HasCrashingJobs ? 60s : 30s);
  for (const std::string &Id : Ids)
    Cell.read("n1", Id);
  Cell.run(1s);
  for (const std::string &Id : Ids)
    EXPECT_TRUE(!Cell.jobs().at(Id).Accepted ||
                Cell.jobs().at(Id).View == JobView::Completed)
        << Id << " of seed " << Seed << " is " << int(Cell.jobs().at(Id).View)
        << " after " << Cell.workers().crashesUnder(Id + ".0.0.0")
        << " crashes";
  for (const std::string &Violation : Cell.workers().violations())
    ADD_FAILURE() << Violation;
}

// Guards against sound jobs that fail by chance while leaders change.
TEST(CrashLoadTest, SoundJobsEndWhileWorkersAndLeadersCrashAtRandom) {
  for (const std::uint64_t Seed : {22, 47, 94, 104, 105, 130, 187})
    expectSoundJobsToEnd(Seed, {3000, 2000, 3000});
}

// Guards against the same under one leader that sees all crashes.
TEST(CrashLoadTest, SoundJobsEndWhileWorkersCrashAtRandom) {
  for (const std::uint64_t Seed : {4, 6, 13, 14, 28})
    expectSoundJobsToEnd(Seed, {1500, 1000, 0});
}

// Guards against acknowledgements that the next process of a worker gets.
TEST(CrashLoadTest, SoundJobsEndAmongCrashingJobs) {
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed)
    expectSoundJobsToEnd(Seed, {6000, 4000, 3000, true});
}

// Guards against jobs that wait for good for ends that a worker has dropped.
TEST(CrashLoadTest, SoundJobsEndThoughWorkersDropTheirEnds) {
  for (const std::uint64_t Seed : {70, 237})
    expectSoundJobsToEnd(Seed, {6000, 4000, 3000, true});
}

// Guards against a sound job on all workers that fails by crashes at random.
TEST(CrashLoadTest, AWideSoundJobEndsWhileWorkersCrashAtRandom) {
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed) {
    EmulatedCell Cell(Seed, 1, 8);
    Cell.run(2s);
    std::mt19937_64 Random(Seed);
    const std::string Id = Cell.submit("n0", stepOf(600, 3s));
    for (int Crash = 0; Crash < 20; ++Crash) {
      const std::string Worker = "w" + std::to_string(Random() % 8);
      Cell.run(Duration(1000 + Random() % 2000));
      Cell.workers().crash(Worker);
      Cell.run(Duration(500 + Random() % 1000));
      Cell.workers().restart(Worker);
    }
    Cell.run(60s);
    Cell.read("n0", Id);
    Cell.run(1s);
    EXPECT_TRUE(Cell.jobs().at(Id).Accepted) << Seed;
    EXPECT_EQ(Cell.jobs().at(Id).View, JobView::Completed) << Seed;
  }
}

/// Watches for jobs that stand still: nothing of the job is at work, the
/// workers that it may use have room for its tasks twice over, and under half
/// of all processors are in use.
class StandstillMonitor {
public:
  explicit StandstillMonitor(EmulatedCell &Cell) : Cell(Cell) {}

  /// Runs the cell for \p Length; returns the longest standstill of each job.
  std::map<std::string, Duration> watch(Duration Length) {
    std::map<std::string, Duration> Longest;
    std::map<std::string, TimePoint> Since;
    for (const TimePoint Until = Cell.time().now() + Length;
         Cell.time().now() < Until; Cell.run(100ms)) {
      for (const auto &[Id, Record] : Cell.jobs())
        if (Record.Accepted && Record.View != JobView::Completed)
          Cell.read("n1", Id);
      const std::set<std::string> Still = jobsStandingStill();
      std::erase_if(Since, [&Still](const auto &Entry) {
        return !Still.contains(Entry.first);
      });
      for (const std::string &Id : Still) {
        const TimePoint From =
            Since.try_emplace(Id, Cell.time().now()).first->second;
        Longest[Id] = std::max(Longest[Id], Cell.time().now() - From);
      }
    }
    return Longest;
  }

private:
  std::set<std::string> jobsStandingStill() {
    std::int64_t Capacity = 0;
    std::int64_t Free = 0;
    for (const std::string &Id : Cell.workers().ids())
      if (const auto Info = Cell.workers().info(Id)) {
        Capacity += Info->Capacity.CpuMillis;
        Free += Cell.workers().freeResources(Id).CpuMillis;
      }
    std::set<std::string> Result;
    if (Free * 2 <= Capacity)
      return Result;
    std::set<std::string> AtWork;
    for (const std::string &Task : Cell.workers().activeTasks())
      AtWork.insert(jobs::TaskId::parse(Task)->Job);
    for (const auto &[Id, Record] : Cell.jobs())
      if (Record.Accepted && !AtWork.contains(Id) &&
          Record.View != JobView::Completed && hasRoomTwice(Record))
        Result.insert(Id);
    return Result;
  }

  bool hasRoomTwice(const JobRecord &Record) {
    const jobs::StepSpec &Step = Record.Spec.Steps[0];
    const bool NeedsAdvice = Cell.queueOf(Record.Spec.Id) == "/quick/";
    std::int64_t Slots = 0;
    for (const std::string &Id : Cell.workers().ids()) {
      if (NeedsAdvice &&
          !EmulatedAdvice::approves(jobs::stepName(Record.Spec.Id, 0), Id))
        continue;
      const Resources Free = Cell.workers().freeResources(Id);
      Slots += std::min(Free.CpuMillis / Step.Request.CpuMillis,
                        Free.MemoryMib / Step.Request.MemoryMib);
    }
    return Slots >= std::int64_t(2) * (Step.Gang ? Step.Count : 1);
  }

  EmulatedCell &Cell;
};

// Guards against jobs that stand still for 3 s beside free processors, because
// suspects have most of the workers to themselves.
TEST(CrashLoadTest, NoJobStandsStillAfterWorkersCrashedInSeries) {
  for (std::uint64_t Seed = 1; Seed <= 4; ++Seed) {
    EmulatedCell Cell(Seed, 3, 48);
    Cell.run(2s);
    std::mt19937_64 Random(Seed);
    const auto Any = [&Random](int Low, int High) {
      return std::uniform_int_distribution<int>(Low, High)(Random);
    };
    const auto SubmitSome = [&] {
      const bool IsGang = Any(1, 2) == 1;
      jobs::StepSpec Step = stepOf(IsGang ? Any(3, 8) : Any(1, 12),
                                   Duration(Any(4000, 20'000)), IsGang);
      Step.Request.CpuMillis = IsGang ? Any(8000, 24'000) : Any(1000, 4000);
      Cell.submit("n" + std::to_string(Any(0, 2)), Step,
                  Any(1, 2) == 1 ? "/quick/" : "/batch/");
    };
    const auto RunUnderLoad = [&](Duration Length) {
      for (Duration Past{0}; Past < Length; Past += 400ms) {
        SubmitSome();
        Cell.run(400ms);
      }
    };
    for (int Wave = 1; Wave <= 4; ++Wave) {
      RunUnderLoad(3s);
      std::set<std::string> Down;
      while (Down.size() < 24)
        Down.insert("w" + std::to_string(Any(0, 47)));
      for (const std::string &Id : Down)
        Cell.workers().crash(Id);
      const bool KillsLeader = Wave == 4 && Seed % 2 == 0;
      const std::string Leader = KillsLeader ? Cell.leader() : "";
      if (!Leader.empty())
        Cell.kill(Leader);
      RunUnderLoad(1s);
      for (const std::string &Id : Down)
        Cell.workers().restart(Id);
      if (!Leader.empty())
        Cell.start(Leader);
    }
    RunUnderLoad(3s);
    for (const auto &[Id, Longest] : StandstillMonitor(Cell).watch(60s))
      EXPECT_LT(Longest, 3s) << Id << " of seed " << Seed;
    for (const auto &[Id, Record] : Cell.jobs())
      Cell.read("n1", Id);
    Cell.run(1s);
    for (const auto &[Id, Record] : Cell.jobs())
      EXPECT_TRUE(!Record.Accepted || Record.View == JobView::Completed)
          << Id << " of seed " << Seed << " is " << int(Record.View);
    for (const std::string &Violation : Cell.workers().violations())
      ADD_FAILURE() << Violation;
  }
}

// Guards against sound jobs that are given up because half of the workers crash
// again and again.
TEST(CrashLoadTest, SoundJobsEndAfterSixWavesOfCrashes) {
  for (std::uint64_t Seed = 1; Seed <= 6; ++Seed) {
    EmulatedCell Cell(Seed, 3, 48);
    Cell.run(2s);
    std::mt19937_64 Random(Seed);
    const auto Any = [&Random](int Low, int High) {
      return std::uniform_int_distribution<int>(Low, High)(Random);
    };
    const auto RunUnderLoad = [&](Duration Length) {
      for (Duration Past{0}; Past < Length; Past += 250ms) {
        const bool IsGang = Any(1, 2) == 1;
        jobs::StepSpec Step = stepOf(IsGang ? Any(3, 8) : Any(1, 12),
                                     Duration(Any(2000, 12'000)), IsGang);
        Step.Request.CpuMillis = IsGang ? Any(4000, 12'000) : Any(1000, 4000);
        Cell.submit("n" + std::to_string(Any(0, 2)), Step,
                    Any(1, 2) == 1 ? "/quick/" : "/batch/");
        Cell.run(250ms);
      }
    };
    RunUnderLoad(4s);
    for (int Wave = 1; Wave <= 6; ++Wave) {
      std::set<std::string> Down;
      while (Down.size() < 24)
        Down.insert("w" + std::to_string(Any(0, 47)));
      for (const std::string &Id : Down)
        Cell.workers().crash(Id);
      RunUnderLoad(1s);
      for (const std::string &Id : Down)
        Cell.workers().restart(Id);
      RunUnderLoad(3s);
    }
    Cell.run(60s);
    for (const auto &[Id, Record] : Cell.jobs())
      Cell.read("n1", Id);
    Cell.run(1s);
    for (const auto &[Id, Record] : Cell.jobs())
      EXPECT_TRUE(!Record.Accepted || Record.View == JobView::Completed)
          << Id << " of seed " << Seed << " is " << int(Record.View);
    for (const std::string &Violation : Cell.workers().violations())
      ADD_FAILURE() << Violation;
  }
}

} // namespace
} // namespace apricotwing::emulator
