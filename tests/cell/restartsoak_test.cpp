/// \file
/// Workers that are back under their ids and then cut off, amid series of other
/// faults. Calls that were meant for the former process reach the next one.
/// APRICOTWING_SOAK_SEEDS=FIRST-LAST selects the seeds of a longer run.
#include "emulator/emulatedcell.h"
#include "emulator/soakseeds.h"

#include <gtest/gtest.h>

#include <algorithm>
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

/// One play. Each seed has its own mix of faults, which overlap. Two shards
/// have unequal work, so that they transfer workers.
class RestartSoak {
public:
  RestartSoak(std::uint64_t Seed, bool TwoShards, bool HasLateOrders)
      : Cell(Seed, std::vector<double>(4, 1.0), WorkerCount,
             equalAccounts(TwoShards ? 4 : 1),
             TwoShards ? std::optional(unequalShards()) : std::nullopt),
        Random(Seed), HasLateOrders(HasLateOrders) {
    EmulatedWorkers &Workers = Cell.workers();
    Workers.RepeatsHeartbeats = happens(0.7);
    if (happens(0.3))
      UsualLateness = 0.03;
    Workers.LateHeartbeats = UsualLateness;
    Workers.LateOrders = HasLateOrders ? UsualLateness : 0;
    RestartInterval = Duration(between(800, 4000));
    OtherInterval = Duration(between(1000, 20'000));
    // Some seeds leave room, so that runs that are lost start again at once.
    SubmitInterval = Duration(between(150, 1000));
    LongShare = 0.1 * between(1, 5);
  }

  /// Returns the descriptions of all violations.
  std::vector<std::string> play() {
    Cell.run(3s);
    const TimePoint FaultsEnd = now() + 60s;
    while (now() < FaultsEnd) {
      if (happens(RestartInterval))
        restartWorkers();
      if (happens(OtherInterval))
        disturbInstance(anyInstance(), 6000);
      if (happens(OtherInterval))
        disturbCalls();
      if (happens(SubmitInterval))
        submit();
      Cell.run(Step);
    }
    Cell.endFaults();
    Cell.run(25s);
    std::vector<std::string> Result = Cell.workers().violations();
    for (const auto &[Id, Job] : Cell.jobs())
      if (isRefused(Job) && hasRun(Job))
        Result.push_back(Id + " was refused and ran");
    return Result;
  }

private:
  static constexpr Duration Step{10};
  static constexpr int WorkerCount = 10;

  static cell::ShardLayout unequalShards() {
    return {{0.5, 0.5}, {{"a0", 0}, {"a1", 0}, {"a2", 0}, {"a3", 1}}};
  }

  TimePoint now() { return Cell.time().now(); }
  int between(int Low, int High) {
    return std::uniform_int_distribution<int>(Low, High)(Random);
  }
  bool happens(double Probability) {
    return std::uniform_real_distribution<double>(0, 1)(Random) < Probability;
  }
  bool happens(Duration MeanInterval) {
    return happens(double(Step.count()) / double(MeanInterval.count()));
  }
  void after(int Delay, std::function<void()> Action) {
    Cell.time().after(Duration(Delay), std::move(Action));
  }

  std::string anyInstance() { return "n" + std::to_string(between(0, 3)); }
  std::string anyWorker() {
    return "w" + std::to_string(between(0, WorkerCount - 1));
  }
  std::string leaderOrAny() {
    const std::string Leader = Cell.leader(between(0, Cell.shardCount() - 1));
    return Leader.empty() ? anyInstance() : Leader;
  }

  void submit() {
    jobs::StepSpec Work = stepOf(
        between(1, 4), happens(LongShare) ? 12s : Duration(between(100, 1500)));
    Work.Gang = Work.Count > 1 && happens(0.25);
    Work.LongRunning = !Work.Gang && happens(0.03);
    Cell.submit(anyInstance(), Work, happens(0.3) ? "/quick/" : "/batch/",
                happens(0.05) ? "fails" : "");
  }

  void restartWorkers() {
    Cell.workers().CrashesSilently = happens(0.7);
    const int Restart = between(20, 2000);
    const int Cut = Restart + between(0, 3000);
    for (int Count = between(1, 3); Count > 0; --Count) {
      const std::string Id = anyWorker();
      if (!Cell.workers().info(Id))
        continue;
      Cell.workers().crash(Id);
      after(Restart, [this, Id] {
        if (!Cell.workers().info(Id))
          Cell.workers().restart(Id);
      });
      if (happens(0.8))
        after(Cut, [this, Id] { cutWorker(Id); });
    }
    if (happens(0.3))
      after(between(0, Cut + 1000),
            [this] { disturbInstance(leaderOrAny(), 3000); });
  }

  void cutWorker(const std::string &Id) {
    const int Length = between(2000, 14'000);
    EmulatedWorkers &Workers = Cell.workers();
    if (happens(0.6)) {
      Workers.Cut.insert(Id);
      after(Length, [&Workers, Id] { Workers.Cut.erase(Id); });
      return;
    }
    for (int Count = between(1, 3); Count > 0; --Count) {
      const std::pair<std::string, std::string> Pair{anyInstance(), Id};
      Workers.CutPairs.insert(Pair);
      after(Length, [&Workers, Pair] { Workers.CutPairs.erase(Pair); });
    }
  }

  void disturbInstance(const std::string &Name, int MaxLength) {
    const int Length = between(100, MaxLength);
    switch (between(0, 2)) {
    case 0:
      Cell.kill(Name);
      after(Length, [this, Name] { Cell.start(Name); });
      break;
    case 1:
      Cell.freeze(Name);
      after(Length, [this, Name] { Cell.thaw(Name); });
      break;
    case 2:
      Cell.cut(Name);
      after(Length, [this, Name] { Cell.heal(Name); });
      break;
    }
  }

  void disturbCalls() {
    const int Length = between(200, 4000);
    EmulatedWorkers &Workers = Cell.workers();
    switch (between(0, 3)) {
    case 0:
      if (!HasLateOrders)
        break;
      Workers.LateOrders = 0.3;
      after(Length, [this] { Cell.workers().LateOrders = UsualLateness; });
      break;
    case 1:
      Workers.LateHeartbeats = 0.3;
      after(Length, [this] { Cell.workers().LateHeartbeats = UsualLateness; });
      break;
    case 2:
      Workers.LostAnswers = 0.3;
      after(Length, [&Workers] { Workers.LostAnswers = 0; });
      break;
    case 3:
      Cell.DelayedMessages = 0.1 * between(1, 3);
      Cell.LostReplies = 0.1 * between(0, 3);
      after(Length, [this] { Cell.DelayedMessages = Cell.LostReplies = 0; });
      break;
    }
  }

  static bool isRefused(const JobRecord &Job) {
    return Job.Attempts > 0 && !Job.Accepted && !Job.Unresolved;
  }

  bool hasRun(const JobRecord &Job) {
    for (int Index = 0; Index < Job.Spec.Steps.front().Count; ++Index)
      if (Cell.workers().lastStart(
              jobs::TaskId{Job.Spec.Id, 0, 0, Index}.text()))
        return true;
    return false;
  }

  EmulatedCell Cell;
  std::mt19937_64 Random;
  const bool HasLateOrders;
  double UsualLateness = 0; ///< Fraction of the calls that is always late.
  Duration RestartInterval{1000};
  Duration OtherInterval{1000};
  Duration SubmitInterval{500};
  double LongShare = 0.2;
};

/// Plays the seeds 1 to \p LastSeed, or those of APRICOTWING_SOAK_SEEDS.
void playSeeds(std::uint64_t LastSeed, bool TwoShards, bool HasLateOrders) {
  for (const std::uint64_t Seed : soakSeeds(LastSeed))
    for (const std::string &Violation :
         RestartSoak(Seed, TwoShards, HasLateOrders).play())
      ADD_FAILURE() << "seed " << Seed << ": " << Violation;
}

// Guards against calls that are meant for one process of a worker and make the
// next one break a promise.
TEST(RestartSoakTest, BreaksNoPromiseAmidRestartsAndCuts) {
  playSeeds(40, false, false);
}

// Guards against the same while workers go from one shard to another.
TEST(RestartSoakTest, BreaksNoPromiseAmidRestartsAndTransfers) {
  playSeeds(40, true, false);
}

// Guards against the same if orders are carried out seconds late.
TEST(RestartSoakTest, BreaksNoPromiseIfOrdersAreLate) {
  playSeeds(40, false, true);
}

TEST(RestartSoakTest, BreaksNoPromiseIfOrdersAreLateAmidTransfers) {
  playSeeds(40, true, true);
}

} // namespace
} // namespace apricotwing::emulator
