/// \file
/// Gangs and tasks amid series of faults: once these have ended, no job stands
/// still although there is room for it.
/// APRICOTWING_SOAK_SEEDS=FIRST-LAST selects the seeds of a longer run.
#include "emulator/emulatedcell.h"
#include "emulator/faultends.h"
#include "emulator/soakseeds.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace apricotwing::emulator {
namespace {

using namespace std::chrono_literals;

enum class Fault {
  KillInstance,
  KillLeader,
  FreezeLeader,
  CutLeader,
  CutWorkerFromInstance,
  CutWorkers,
  CrashWorkers,
  RestartWorkers,
  WorkersLoseAnswers,
  WorkersApplyLate,
  DelayMessages,
  LoseReplies,
  StoreDown,
};
constexpr int FaultKinds = int(Fault::StoreDown) + 1;

/// What is played beside the other faults.
enum class Setting {
  CrashesOrLateOrders, ///< Late orders in every second seed, else crashes.
  CrashingTasks,       ///< Some tasks crash their workers; no late orders.
  CrashesAndLateOrders,
};

/// One play: a period of faults, then one without, in which the jobs have to
/// end.
class StandstillSoak {
public:
  StandstillSoak(std::uint64_t Seed, Setting Play)
      : Cell(Seed, std::vector<double>(4, 1.0), 12), Random(Seed),
        HasLateOrders(Play == Setting::CrashesAndLateOrders ||
                      (Play == Setting::CrashesOrLateOrders && Seed % 2 == 0)),
        HasCrashes(!HasLateOrders || Play == Setting::CrashesAndLateOrders),
        HasCrashingJobs(Play == Setting::CrashingTasks) {
    Cell.workers().RepeatsHeartbeats = HasLateOrders && HasCrashes;
    FaultInterval = Duration(between(300, 2500));
  }

  /// Returns the descriptions of all violations.
  std::vector<std::string> play() {
    Cell.run(3s);
    const TimePoint FaultsEnd = Cell.time().now() + 25s;
    while (Cell.time().now() < FaultsEnd) {
      Ends.endDue(Cell.time().now());
      if (happens(double(Step.count()) / double(FaultInterval.count())))
        begin(Fault(between(0, FaultKinds - 1)));
      if (happens(0.08))
        submit();
      Cell.run(Step);
    }
    Ends.clear();
    Cell.endFaults();
    Cell.run(FinishTime);
    const TimePoint PlayEnd = Cell.time().now() + 30s;
    while (Cell.time().now() < PlayEnd) {
      watch();
      Cell.run(WatchStep);
    }
    for (const auto &[Id, Job] : Cell.jobs())
      if (isExpectedToEnd(Job))
        Violations.push_back(describe(Job) + " has not ended");
    for (const std::string &Text : Cell.workers().violations())
      Violations.push_back(Text);
    return Violations;
  }

private:
  static constexpr Duration Step{20};
  static constexpr Duration WatchStep{100};

  /// Longest time for which nothing of a job may be at work although there is
  /// twice the room that it needs and less than half of all is in use. Holds
  /// from FinishTime after the end of the traffic.
  static constexpr Duration MaxStandstill{3000};
  static constexpr Duration FinishTime{14'000};
  /// The same for each task that lasts, from 6 s after its last run on.
  static constexpr Duration MaxLastingAbsence{9000};

  static constexpr Resources WorkerCapacity{32'000, 65'536, 0};

  int between(int Low, int High) {
    return std::uniform_int_distribution<int>(Low, High)(Random);
  }
  bool happens(double Probability) {
    return std::uniform_real_distribution<double>(0, 1)(Random) < Probability;
  }

  std::string anyInstance() { return "n" + std::to_string(between(0, 3)); }
  std::string anyWorker() { return "w" + std::to_string(between(0, 11)); }
  std::string leaderOrAny() {
    const std::string Leader = Cell.leader();
    return Leader.empty() ? anyInstance() : Leader;
  }

  void submit() {
    if (happens(0.05)) {
      jobs::StepSpec Lasting =
          stepOf(between(1, 3), Duration(1000), happens(0.3));
      Lasting.LongRunning = true;
      Lasting.Request.CpuMillis = 1000 * std::int64_t(between(1, 4));
      Cell.submit(anyInstance(), Lasting);
      return;
    }
    const bool IsGang = happens(0.6);
    jobs::StepSpec Work = stepOf(between(IsGang ? 2 : 1, 8),
                                 Duration(between(200, 4000)), IsGang);
    Work.Request.CpuMillis = 1000 * std::int64_t(between(1, 12));
    const bool Crashes = HasCrashingJobs && happens(0.03);
    Cell.submit(anyInstance(), Work, happens(0.4) ? "/quick/" : "/batch/",
                Crashes ? CrashingJob : "");
  }

  // A job of which three workers have crashed under one task may be given up.
  bool isExpectedToEnd(const JobRecord &Job) {
    const jobs::StepSpec &Work = Job.Spec.Steps.front();
    if (!Job.Accepted || Job.View == jobs::JobView::Completed || !fits(Job) ||
        Work.LongRunning || Job.Spec.Payload == CrashingJob)
      return false;
    bool IsDone = true;
    for (int Index = 0; Index < Work.Count; ++Index) {
      const std::string Task = jobs::TaskId{Job.Spec.Id, 0, 0, Index}.text();
      IsDone = IsDone && Cell.workers().isDone(Task);
      if (Cell.workers().crashesUnder(Task) >= 3 &&
          Job.View == jobs::JobView::Failed)
        return false;
    }
    return !IsDone || Job.View == jobs::JobView::Failed;
  }

  std::string describe(const JobRecord &Job) const {
    const jobs::StepSpec &Work = Job.Spec.Steps.front();
    return Job.Spec.Id + " (" + (Work.Gang ? "gang" : "tasks") + " of " +
           std::to_string(Work.Count) + ", " +
           std::to_string(Work.Request.CpuMillis) + " mcores, view " +
           std::to_string(int(Job.View)) + ")";
  }

  void watch() {
    const TimePoint Now = Cell.time().now();
    const std::set<std::string> AtWork = Cell.workers().activeTasks();
    for (const auto &[Id, Job] : Cell.jobs()) {
      if (Job.Accepted && Job.Spec.Steps.front().LongRunning)
        watchLasting(Job, AtWork);
      if (!isExpectedToEnd(Job)) {
        StillSince.erase(Id);
        continue;
      }
      Cell.read("n0", Id);
      const auto First = AtWork.lower_bound(Id + ".");
      const bool HasRun = First != AtWork.end() && First->starts_with(Id + ".");
      if (HasRun || !hasRoomTwice(Job)) {
        StillSince.erase(Id);
        continue;
      }
      const TimePoint Since = StillSince.try_emplace(Id, Now).first->second;
      if (Now - Since > MaxStandstill && Reported.insert(Id).second)
        Violations.push_back(describe(Job) + " stands still at " +
                             std::to_string(Now.time_since_epoch().count()));
    }
  }

  // Each task of a job that lasts counts by itself.
  void watchLasting(const JobRecord &Job, const std::set<std::string> &AtWork) {
    const TimePoint Now = Cell.time().now();
    for (int Index = 0; Index < Job.Spec.Steps.front().Count; ++Index) {
      const std::string Task = jobs::TaskId{Job.Spec.Id, 0, 0, Index}.text();
      if (AtWork.contains(Task) || !hasRoomTwice(Job)) {
        StillSince.erase(Task);
        continue;
      }
      const TimePoint Since = StillSince.try_emplace(Task, Now).first->second;
      if (Now - Since > MaxLastingAbsence && Reported.insert(Task).second)
        Violations.push_back(Task + " lasts and is not at work at " +
                             std::to_string(Now.time_since_epoch().count()));
    }
  }

  bool mayRun(const JobRecord &Job, const std::string &Worker) const {
    return !Cell.isAdvised(Job.Spec.Id) ||
           EmulatedAdvice::approves(jobs::stepName(Job.Spec.Id, 0), Worker);
  }

  static std::int64_t slotsIn(const Resources &Room, const JobRecord &Job) {
    const Resources &Request = Job.Spec.Steps.front().Request;
    return std::min(Room.CpuMillis / Request.CpuMillis,
                    Room.MemoryMib / Request.MemoryMib);
  }

  static int tasksToStart(const JobRecord &Job) {
    const jobs::StepSpec &Work = Job.Spec.Steps.front();
    return Work.Gang ? Work.Count : 1;
  }

  /// True if the workers that may run the job have room for it when nothing
  /// but the tasks that last is at work there.
  bool fits(const JobRecord &Job) {
    std::int64_t Slots = 0;
    for (const std::string &Id : Cell.workers().ids())
      if (mayRun(Job, Id))
        Slots +=
            slotsIn(WorkerCapacity - Cell.workers().usedByLasting(Id), Job);
    return Slots >= tasksToStart(Job);
  }

  bool hasRoomTwice(const JobRecord &Job) {
    std::int64_t Used = 0;
    std::int64_t All = 0;
    std::int64_t Slots = 0;
    for (const std::string &Id : Cell.workers().ids()) {
      const auto Info = Cell.workers().info(Id);
      if (!Info)
        continue;
      Used += Cell.workers().used(Id).CpuMillis;
      All += Info->Capacity.CpuMillis;
      if (mayRun(Job, Id))
        Slots += slotsIn(Info->Capacity - Cell.workers().used(Id), Job);
    }
    return Used * 2 < All && Slots >= std::int64_t(2) * tasksToStart(Job);
  }

  void endLater(std::function<void()> End) {
    Ends.add(Cell.time().now() + Duration(between(200, 6000)), std::move(End));
  }

  void begin(Fault Kind) {
    EmulatedWorkers &Workers = Cell.workers();
    const bool IsCrash =
        Kind == Fault::CrashWorkers || Kind == Fault::RestartWorkers;
    if ((IsCrash && !HasCrashes) ||
        (Kind == Fault::WorkersApplyLate && !HasLateOrders))
      return;
    switch (Kind) {
    case Fault::KillInstance:
    case Fault::KillLeader: {
      const std::string Name =
          Kind == Fault::KillLeader ? leaderOrAny() : anyInstance();
      Cell.kill(Name);
      endLater([this, Name] { Cell.start(Name); });
      break;
    }
    case Fault::FreezeLeader: {
      const std::string Name = leaderOrAny();
      Cell.freeze(Name);
      endLater([this, Name] { Cell.thaw(Name); });
      break;
    }
    case Fault::CutLeader: {
      const std::string Name = leaderOrAny();
      Cell.cut(Name);
      endLater([this, Name] { Cell.heal(Name); });
      break;
    }
    case Fault::CutWorkerFromInstance: {
      const std::pair<std::string, std::string> Pair{anyInstance(),
                                                     anyWorker()};
      Workers.CutPairs.insert(Pair);
      endLater([&Workers, Pair] { Workers.CutPairs.erase(Pair); });
      break;
    }
    case Fault::CutWorkers:
      for (int Count = between(1, 3); Count > 0; --Count) {
        const std::string Id = anyWorker();
        Workers.Cut.insert(Id);
        endLater([&Workers, Id] { Workers.Cut.erase(Id); });
      }
      break;
    case Fault::CrashWorkers:
    case Fault::RestartWorkers:
      for (int Count = between(1, 6); Count > 0; --Count) {
        const std::string Id = anyWorker();
        if (!Workers.info(Id))
          continue;
        Workers.crash(Id);
        const auto Return = [&Workers, Id] {
          if (!Workers.info(Id))
            Workers.restart(Id);
        };
        if (Kind == Fault::CrashWorkers)
          endLater(Return);
        else
          Cell.time().after(Duration(between(300, 1500)), Return);
      }
      break;
    case Fault::WorkersLoseAnswers:
      Workers.LostAnswers = 0.3;
      endLater([&Workers] { Workers.LostAnswers = 0; });
      break;
    case Fault::WorkersApplyLate:
      Workers.LateOrders = 0.2;
      Workers.LateHeartbeats = HasCrashes ? 0.2 : 0;
      endLater([&Workers] { Workers.LateOrders = Workers.LateHeartbeats = 0; });
      break;
    case Fault::DelayMessages:
      Cell.DelayedMessages = 0.1 * between(1, 4);
      endLater([this] { Cell.DelayedMessages = 0; });
      break;
    case Fault::LoseReplies:
      Cell.LostReplies = 0.1 * between(1, 4);
      endLater([this] { Cell.LostReplies = 0; });
      break;
    case Fault::StoreDown:
      Cell.store().Down = true;
      endLater([this] { Cell.store().Down = false; });
      break;
    }
  }

  EmulatedCell Cell;
  std::mt19937_64 Random;
  const bool HasLateOrders; ///< Orders are carried out late.
  /// Workers start again. The next process of one carries out late orders that
  /// were meant for the last one.
  const bool HasCrashes;
  const bool HasCrashingJobs;
  Duration FaultInterval{1000};
  /// Ends of the faults that have begun.
  FaultEnds Ends;
  std::map<std::string, TimePoint> StillSince; ///< By job id.
  std::set<std::string> Reported;
  std::vector<std::string> Violations;
};

/// Plays the seeds 1 to \p LastSeed, or those of APRICOTWING_SOAK_SEEDS.
void playSeeds(std::uint64_t LastSeed, Setting Play) {
  for (const std::uint64_t Seed : soakSeeds(LastSeed)) {
    std::string Text;
    for (const std::string &Violation : StandstillSoak(Seed, Play).play())
      Text += Violation + "\n";
    EXPECT_TRUE(Text.empty()) << "seed " << Seed << "\n" << Text;
  }
}

// Guards against jobs that stand still for good after faults.
TEST(StandstillSoakTest, NoJobStandsStillAfterFaults) {
  playSeeds(60, Setting::CrashesOrLateOrders);
}

// Guards against the same, and against broken promises, if workers crash while
// calls are carried out late.
TEST(StandstillSoakTest, NoJobStandsStillIfWorkersCrashAmidLateOrders) {
  playSeeds(60, Setting::CrashesAndLateOrders);
}

// Guards against the same while some tasks crash their workers.
TEST(StandstillSoakTest, NoJobStandsStillBesideCrashingTasks) {
  playSeeds(60, Setting::CrashingTasks);
}

} // namespace
} // namespace apricotwing::emulator
