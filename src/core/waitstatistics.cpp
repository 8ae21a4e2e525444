#include "core/waitstatistics.h"

#include <algorithm>

namespace apricotwing {

namespace {

constexpr std::size_t KeptWaits = 4096;

} // namespace

void WaitStatistics::record(Duration Waited) {
  if (Latest.size() < KeptWaits)
    Latest.push_back(Waited);
  else
    Latest[Count % KeptWaits] = Waited;
  ++Count;
}

Duration WaitStatistics::quantile(double Fraction) const {
  if (Latest.empty())
    return Duration{0};
  std::vector<Duration> Sorted = Latest;
  const auto Rank = std::ptrdiff_t(Fraction * double(Sorted.size() - 1));
  std::ranges::nth_element(Sorted, Sorted.begin() + Rank);
  return Sorted[std::size_t(Rank)];
}

} // namespace apricotwing
