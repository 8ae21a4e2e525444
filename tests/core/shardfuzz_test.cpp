#include "core/shardworld.h"
#include "support/fixedseeds.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <ostream>

namespace apricotwing {
namespace {

enum class StepKind {
  Submit,
  Cancel,
  Advance,
  Unreachable,
  Reachable,
  LoseZone,
  MakeFaulty,
  Repair,
  Drain,
  Undrain,
  Crash,
  Limit,
  Refuse,
  Network,
  Restart,
  CheckStops,
  HideOutcome,
};
constexpr int StepKinds = int(StepKind::HideOutcome) + 1;

struct Model {};

RunSpec makeSpec(std::uint32_t Seed) {
  RunSpec Spec;
  const std::uint32_t Kind = Seed % 8;
  Spec.Kind = Kind < 5   ? RunKind::Batch
              : Kind < 7 ? RunKind::Gang
                         : RunKind::Service;
  Spec.Tasks = 1 + (Seed / 8) % (Spec.Kind == RunKind::Gang ? 10 : 6);
  Spec.PerTask = {500 + std::int64_t((Seed / 64) % 8) * 500,
                  256 + std::int64_t((Seed / 512) % 8) * 512, 0};
  Spec.Urgency = (Seed / 4096) % 4 == 0 ? Priority::Urgent : Priority::Normal;
  Spec.OnLost =
      (Seed / 16384) % 4 == 0 ? LostPolicy::Fail : LostPolicy::Restart;
  Spec.Checkpointable = (Seed / 65536) % 2 == 0;
  if ((Seed / 131072) % 4 == 0)
    Spec.Selector = {{"zone", "z1"}};
  Spec.MaxAttempts = 100;
  Spec.EstimateSeconds = 1 + (Seed / 524288) % 60;
  Spec.IdempotencyKey = "key";
  return Spec;
}

/// How long the tasks of a run actually run: a few seconds or some minutes.
Duration makeLength(const RunSpec &Spec, std::uint32_t Seed) {
  if (Spec.Kind == RunKind::Service)
    return Duration{100'000};
  if (Seed % 4 == 0)
    return Duration(60'000 + std::int64_t(Seed % 600'000));
  return Duration(100 + std::int64_t(Seed % 20'000));
}

struct Step : rc::state::Command<Model, ShardWorld> {
  StepKind Kind = *rc::gen::map(
      rc::gen::weightedOneOf<int>({{6, rc::gen::just(int(StepKind::Submit))},
                                   {8, rc::gen::just(int(StepKind::Advance))},
                                   {10, rc::gen::inRange(0, StepKinds)}}),
      [](int Value) { return StepKind(Value); });
  std::uint32_t First = *rc::gen::inRange<std::uint32_t>(0, 1U << 26);
  std::uint32_t Second = *rc::gen::inRange<std::uint32_t>(0, 1U << 16);

  void apply(Model & /*State*/) const override {}

  void run(const Model & /*State*/, ShardWorld &World) const override {
    const std::size_t Worker = First % 12;
    static const char *const Teams[] = {"blue", "green", "red"};
    switch (Kind) {
    case StepKind::Submit:
      World.submit(Teams[Second % 3], makeSpec(First),
                   makeLength(makeSpec(First), Second));
      break;
    case StepKind::Cancel:
      if (World.submitted() > 0)
        World.cancelRun(World.runAt(First % World.submitted()));
      break;
    case StepKind::Advance:
      World.advance(Duration(100 + std::int64_t(Second % 10'000)));
      break;
    case StepKind::Unreachable:
    case StepKind::Reachable:
      World.setReachable(Worker, Kind == StepKind::Reachable);
      break;
    case StepKind::LoseZone:
      World.loseZone("z" + std::to_string(First % 3));
      break;
    case StepKind::MakeFaulty:
    case StepKind::Repair:
      World.setFaulty(Worker, Kind == StepKind::MakeFaulty);
      break;
    case StepKind::Drain:
    case StepKind::Undrain:
      World.setDrained(Worker, Kind == StepKind::Drain);
      break;
    case StepKind::Crash:
      if (Second % 4 == 0)
        World.restartWorker(Worker, false);
      World.crash(CrashPoint(First % 4));
      break;
    case StepKind::Restart:
      World.restartWorker(Worker, true);
      break;
    case StepKind::Limit:
      World.setLimit(Teams[Second % 3],
                     Resources{1000, 2048, 0} * std::int64_t(First % 48));
      break;
    case StepKind::Refuse:
      World.refuseStarts(First % 6);
      break;
    case StepKind::Network:
      World.setNetwork(First % 60, Second % 60);
      break;
    case StepKind::CheckStops:
      World.checkStops();
      break;
    case StepKind::HideOutcome:
      World.hideNextOutcome(Duration(100 + std::int64_t(Second % 40'000)));
      break;
    }
  }

  void show(std::ostream &Out) const override {
    Out << "step " << int(Kind) << " " << First << " " << Second;
  }
};

void fuzzShard() {
  ShardWorld World(*rc::gen::arbitrary<std::uint32_t>());
  rc::state::check(Model{}, World, rc::state::gen::execOneOfWithArgs<Step>());
  World.settle();
}

// Guards against violations of a shard's invariants under any combination of
// faults: no worker exceeds its capacity, a task has one attempt at a time, no
// team exceeds its limit, gangs run completely or not at all, each task ends
// once, replay gives the same state, no run is lost, and once all is well no
// attempt runs on that was to be stopped.
TEST(ShardFuzz, KeepsItsPromises) { checkWithFixedSeeds(fuzzShard, 1000); }

} // namespace
} // namespace apricotwing
