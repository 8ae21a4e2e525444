#include "soak/restartseries.h"

#include <algorithm>
#include <numeric>

namespace apricotwing::soak {

namespace {

constexpr std::int64_t BeforeCutMs = 600;

std::vector<int> drawZone(std::mt19937_64 &Draw) {
  const int Zone = std::uniform_int_distribution(0, ZoneCount - 1)(Draw);
  std::vector<int> Result;
  for (int Index = 0; Index < WorkerCount; ++Index)
    if (zoneOf(Index) == Zone)
      Result.push_back(Index);
  return Result;
}

} // namespace

std::vector<int> drawWorkers(std::mt19937_64 &Draw, double Share) {
  std::vector<int> Result(WorkerCount);
  std::iota(Result.begin(), Result.end(), 0);
  std::shuffle(Result.begin(), Result.end(), Draw);
  Result.resize(std::size_t(std::max(1.0, Share * WorkerCount)));
  return Result;
}

RestartSeries RestartSeries::ofAThird(std::mt19937_64 &Draw, int Rounds) {
  RestartSeries Result;
  Result.Rounds = Rounds;
  Result.Workers = std::bernoulli_distribution(0.5)(Draw)
                       ? drawZone(Draw)
                       : drawWorkers(Draw, 1.0 / 3);
  return Result;
}

RestartSeries RestartSeries::drawn(std::mt19937_64 &Draw) {
  const auto Ms = [&](std::int64_t Least, std::int64_t Most) {
    return std::uniform_int_distribution(Least, Most)(Draw);
  };
  RestartSeries Result;
  Result.Workers =
      drawWorkers(Draw, std::uniform_real_distribution<double>(0.1, 0.6)(Draw));
  Result.Rounds = std::uniform_int_distribution(1, 3)(Draw);
  Result.AwayMs = Ms(200, 4000);
  Result.GapMs = Ms(300, 6500);
  Result.CutMs = Ms(2000, 12'000);
  Result.PauseMs = Ms(500, 6000);
  if (std::bernoulli_distribution(0.3)(Draw))
    Result.LateCalls = std::uniform_real_distribution<double>(0.1, 0.6)(Draw);
  return Result;
}

std::string RestartSeries::describe() const {
  return std::to_string(Workers.size()) + " workers restart after " +
         std::to_string(AwayMs) + " ms and are cut off " +
         std::to_string(GapMs) + " ms later, for " + std::to_string(CutMs) +
         " ms, " + std::to_string(Rounds) + " times, " +
         std::to_string(int(100 * LateCalls)) + "% of the calls late";
}

void RestartSeries::play(Platform &Site,
                         const std::function<void()> &BeforeCut) const {
  for (int Round = 0; Round < Rounds; ++Round) {
    for (const int Index : Workers) {
      Site.setLateCalls(Index, LateCalls);
      Site.darkenWorker(Index);
    }
    sleepMs(AwayMs);
    for (const int Index : Workers)
      Site.startWorker(Index);
    const std::int64_t Before = std::min(BeforeCutMs, GapMs);
    sleepMs(GapMs - Before);
    BeforeCut();
    sleepMs(Before);
    for (const int Index : Workers) {
      Site.setLateCalls(Index, 0);
      Site.setCut(Index, true);
    }
    sleepMs(CutMs);
    for (const int Index : Workers)
      Site.setCut(Index, false);
    sleepMs(PauseMs);
  }
}

} // namespace apricotwing::soak
