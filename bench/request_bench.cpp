// Measures the time that the router spends on one interactive request: submit,
// dispatch and complete. Arguments: executors, teams, and whether requests wait
// for slots.

#include "core/requestrouter.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace apricotwing {
namespace {

constexpr std::int64_t SlotsPerExecutor = 8;
/// Of 64 places per team.
constexpr std::size_t StandingQueuePerTeam = 4;
constexpr int DecisionsPerMillisecond = 50;
constexpr Duration TimeToDeadline = std::chrono::seconds(10);

/// A router that holds all slots of its executors, under a steady load that
/// occupies half of the slots, or all of them with a queue that never empties.
class LoadedRouter {
public:
  LoadedRouter(std::size_t ExecutorCount, std::size_t TeamCount, bool Saturated)
      : Router({"i1", "zone-0"}), TeamCount(TeamCount) {
    Config Settings;
    Settings.Upstreams["planner"] = {};
    RequestRouter::Amounts Units;
    for (std::size_t I = 0; I < TeamCount; ++I) {
      Settings.Teams[team(I)] = {std::uint32_t(1 + I % 4), {{}, 10000}};
      Units[team(I)] = 10000;
    }
    Router.setConfig(Settings);
    Router.setAuthority(Now + std::chrono::hours(1000));
    addExecutors(ExecutorCount);
    Router.setTeamGrants(Units);
    const std::size_t Slots = ExecutorCount * SlotsPerExecutor;
    const std::size_t Busy = Saturated ? Slots : Slots / 2;
    while (InFlight.size() < Busy)
      submitAndDispatch();
    while (Saturated &&
           Router.stats().Queued < TeamCount * StandingQueuePerTeam)
      submitAndDispatch();
  }

  /// Performs one decision: completes a request, submits a new one, and
  /// dispatches the requests that now have a slot.
  void step() {
    std::swap(InFlight[Random() % InFlight.size()], InFlight.back());
    const RequestSend Ended = InFlight.back();
    InFlight.pop_back();
    Router.complete({Ended.Id, Ended.Attempt, SendResult::Answered, 200, false,
                     Duration(10 + Random() % 20), ""},
                    Now);
    submitAndDispatch();
    if (++Decisions % DecisionsPerMillisecond == 0)
      Now += Duration(1);
  }

  RequestRouter Router;
  TimePoint Now{std::chrono::hours(1)};

private:
  static std::string team(std::size_t I) { return "team-" + std::to_string(I); }

  void addExecutors(std::size_t Count) {
    std::vector<ListedExecutor> List;
    RequestRouter::Amounts Slots;
    for (std::size_t I = 0; I < Count; ++I) {
      const std::string Id = "executor-" + std::to_string(I);
      List.push_back({Id, "planner", "127.0.0.1:1",
                      "zone-" + std::to_string(I % 3), ListedState::Live});
      Slots[Id] = SlotsPerExecutor;
    }
    Router.setExecutors(List, Now);
    Router.setSlotGrants("planner", Slots);
  }

  void submitAndDispatch() {
    // Half of the requests come from one large team.
    const std::size_t Team = Random() % 2 == 0 ? 0 : Random() % TeamCount;
    try {
      Router.submit({std::to_string(++Ids), team(Team), "", "planner", false,
                     Now + TimeToDeadline},
                    Now);
    } catch (const Error &) {
      ++Refused;
    }
    for (RequestSend &Send : Router.dispatch(Now).Sends)
      InFlight.push_back(std::move(Send));
  }

  std::size_t TeamCount;
  std::minstd_rand Random{1};
  std::vector<RequestSend> InFlight;
  std::uint64_t Ids = 0;
  std::uint64_t Decisions = 0;
  std::uint64_t Refused = 0;
};

double quantile(std::vector<double> &Sorted, double Fraction) {
  return Sorted[std::size_t(double(Sorted.size() - 1) * Fraction)];
}

void requestDecision(benchmark::State &State) {
  LoadedRouter Load(std::size_t(State.range(0)), std::size_t(State.range(1)),
                    State.range(2) != 0);
  std::vector<double> Micros;
  Micros.reserve(std::size_t(1) << 22);
  for (auto Unused : State) {
    (void)Unused;
    const auto Start = std::chrono::steady_clock::now();
    Load.step();
    const std::chrono::duration<double, std::micro> Spent =
        std::chrono::steady_clock::now() - Start;
    Micros.push_back(Spent.count());
  }
  std::sort(Micros.begin(), Micros.end());
  State.counters["p50_us"] = quantile(Micros, 0.5);
  State.counters["p99_us"] = quantile(Micros, 0.99);
  State.counters["max_us"] = Micros.back();
  State.counters["decisions"] = benchmark::Counter(double(State.iterations()),
                                                   benchmark::Counter::kIsRate);
}

void desiredSlots(benchmark::State &State) {
  LoadedRouter Load(std::size_t(State.range(0)), 40, true);
  for (auto Unused : State) {
    (void)Unused;
    benchmark::DoNotOptimize(Load.Router.desiredSlots("planner", Load.Now));
  }
}

BENCHMARK(requestDecision)
    ->ArgNames({"executors", "teams", "waiting"})
    ->ArgsProduct({{50, 200, 800}, {6, 40, 120}, {0, 1}});
BENCHMARK(desiredSlots)->ArgName("executors")->Arg(50)->Arg(200)->Arg(800);

} // namespace
} // namespace apricotwing

BENCHMARK_MAIN();
