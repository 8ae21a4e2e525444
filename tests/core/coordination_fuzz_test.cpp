// Random sequences of faults and operations against sessions, shards, grants
// and configuration. The oracle is in simcell.cpp.
#include "simcell.h"
#include "support/fixedseeds.h"

#include "core/error.h"

#include <array>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

namespace apricotwing {
namespace {

using simulation::Cell;
using simulation::KeyHash;
using simulation::Process;

const std::vector<std::string> Names = {"a", "b", "c", "d"};
const std::vector<std::string> Owners = {"koksne", "bureau"};

enum class Action {
  Run,
  RunLong,
  Outage,
  StoreUp,
  CutStore,
  CutPeer,
  HealAll,
  Pause,
  Resume,
  Stall,
  Crash,
  Start,
  Leave,
  LoseResponses,
  DelayWrites,
  ApplyDelayed,
  Propose,
  Sign,
  SignBoth,
  SignLate,
  Slow,
  Reject,
};

constexpr std::array<std::string_view, 22> ActionNames = {
    "run",          "run long", "outage", "store up",     "cut store",
    "cut peer",     "heal all", "pause",  "resume",       "stall",
    "crash",        "start",    "leave",  "lose answers", "delay writes",
    "land delayed", "propose",  "sign",   "sign both",    "sign late",
    "slow",         "reject"};

struct Model {};

std::string ownerFor(int Amount) { return Owners[std::size_t(Amount) % 2]; }

void performConfigAction(Cell &World, Process &At, Action Kind, int Amount) {
  try {
    if (Kind == Action::Propose) {
      const auto Served = At.Session.config();
      if (!Served)
        return;
      const bool Present = Served->Keys.contains("k");
      const ConfigChange Change =
          Present ? ConfigChange(RevokeKey{"k"})
                  : ConfigChange(AddKey{"k", {"team", KeyHash}});
      At.Ledger.propose(ownerFor(Amount), Served->Version, {Change});
      return;
    }
    const std::vector<ProposalRecord> Open = At.Ledger.proposals();
    if (Open.empty())
      return;
    const ProposalRecord &Chosen = Open[std::size_t(Amount) % Open.size()];
    if (Kind == Action::Reject)
      At.Ledger.reject(Chosen.Id, ownerFor(Amount));
    else
      At.Ledger.sign(Chosen.Id, ownerFor(Amount / 2));
  } catch (const Error &Failure) {
    if (Failure.kind() == ErrorKind::Internal)
      World.report(Failure.what());
  }
}

class ActionCommand : public rc::state::Command<Model, Cell> {
public:
  ActionCommand()
      : Kind(*rc::gen::weightedElement<Action>({
            {30, Action::Run},        {6, Action::RunLong},
            {5, Action::Outage},      {5, Action::StoreUp},
            {5, Action::CutStore},    {2, Action::CutPeer},
            {4, Action::HealAll},     {4, Action::Pause},
            {6, Action::Resume},      {5, Action::Stall},
            {4, Action::Crash},       {10, Action::Start},
            {2, Action::Leave},       {4, Action::LoseResponses},
            {5, Action::DelayWrites}, {5, Action::ApplyDelayed},
            {7, Action::Propose},     {8, Action::Sign},
            {3, Action::SignBoth},    {4, Action::SignLate},
            {3, Action::Slow},        {1, Action::Reject},
        })),
        Name(*rc::gen::elementOf(Names)), Amount(*rc::gen::inRange(0, 100)) {}

  void run(const Model &, Cell &World) const override {
    perform(World);
    if (!World.violation().empty())
      RC_FAIL(World.violation());
  }

  void show(std::ostream &Out) const override {
    Out << ActionNames[std::size_t(Kind)] << " " << Name << " " << Amount;
  }

private:
  void perform(Cell &World) const {
    switch (Kind) {
    case Action::Run:
      return World.run(Duration(Amount * 40));
    case Action::RunLong:
      return World.run(Duration(Amount * 300));
    case Action::Outage:
      World.Store.Down = true;
      return World.run(Duration(Amount * 100));
    case Action::StoreUp:
      World.Store.Down = false;
      return;
    case Action::CutStore:
      World.Store.DownFor.insert(Name);
      return;
    case Action::CutPeer:
      World.CutLinks.insert({Names[0], Names[1 + std::size_t(Amount) % 3]});
      return;
    case Action::Slow:
      World.SlowMs = Amount * 10;
      return;
    case Action::HealAll:
      World.SlowMs = 0;
      World.CutLinks.clear();
      World.Store.DownFor.clear();
      return;
    case Action::Pause:
      World.Paused.insert(Name);
      return;
    case Action::Resume:
      World.Paused.clear();
      return;
    case Action::Stall:
      World.StallMs[Name] = Amount * 250;
      return;
    case Action::Crash:
      return World.crash(Name);
    case Action::Start:
      World.start(Name);
      return;
    case Action::Leave:
      if (Process *Found = World.find(Name))
        Found->Leaving = true;
      return;
    case Action::LoseResponses:
      World.Store.LoseResponses += Amount % 5;
      return;
    case Action::DelayWrites:
      World.Store.DelayWrites += Amount % 7;
      return;
    case Action::ApplyDelayed:
      return World.Store.applyDelayedWrites();
    default:
      return performAtInstance(World);
    }
  }

  void performAtInstance(Cell &World) const {
    if (!World.isRunning(Name))
      return;
    Process &At = *World.find(Name);
    if (Kind == Action::SignLate)
      World.Store.DelayWrites = 3; // The number of attempts of one call.
    performConfigAction(World, At, Kind, Amount);
    if (Kind == Action::SignLate)
      World.Store.DelayWrites = 0;
    if (Kind != Action::SignBoth)
      return;
    // A second operator signs at another instance at the same time.
    for (const auto &[Other, Process] : World.Processes)
      if (Other != Name && World.isRunning(Other))
        return performConfigAction(World, *Process, Action::Sign, Amount + 1);
  }

  Action Kind;
  std::string Name;
  int Amount;
};

void fuzzCell() {
  const auto Seed = *rc::gen::inRange<std::uint32_t>(1, 1000000);
  Cell World(Seed);
  World.Interleave = Seed % 2 == 0;
  // Short, so that many outages last longer.
  World.Settings.MaxExtension = Duration(30000);
  for (const char *Name : {"a", "b", "c"})
    World.start(Name);
  World.run(Duration(6000));
  rc::state::check(Model(), World,
                   rc::state::gen::execOneOfWithArgs<ActionCommand>());
  World.Processes.clear();
}

// Guards against two owners of a shard, grants above the capacity, lost
// commits, and a configuration that reverts to an older version, takes effect
// too late or has only one signature.
TEST(CoordinationFuzz, KeepsInvariantsUnderFaults) {
  checkWithFixedSeeds(fuzzCell, 800);
}

} // namespace
} // namespace apricotwing
