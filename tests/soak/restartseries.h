/// \file
/// Workers that restart under their ids and are cut off soon after.
#ifndef APRICOTWING_SOAK_RESTARTSERIES_H
#define APRICOTWING_SOAK_RESTARTSERIES_H

#include "soak/platform.h"

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace apricotwing::soak {

/// A share of the workers, by index; at least one.
std::vector<int> drawWorkers(std::mt19937_64 &Draw, double Share);

/// Each round, the workers go dark for AwayMs, the next processes take over,
/// and GapMs later they are cut off for CutMs.
struct RestartSeries {
  std::vector<int> Workers; ///< By index.
  int Rounds = 3;
  std::int64_t AwayMs = 600, GapMs = 2000, CutMs = 9000;
  /// From one round to the next.
  std::int64_t PauseMs = 2400;
  /// Share of the calls that are carried out late while the workers are dark
  /// and until the cut.
  double LateCalls = 0;

  /// A third of the workers, by zone or drawn.
  static RestartSeries ofAThird(std::mt19937_64 &Draw, int Rounds);
  /// Draws the workers, the times and at times late calls.
  static RestartSeries drawn(std::mt19937_64 &Draw);

  std::string describe() const;
  /// Plays all rounds. \p BeforeCut is called a little before each cut.
  void play(Platform &Site, const std::function<void()> &BeforeCut) const;
};

} // namespace apricotwing::soak

#endif
