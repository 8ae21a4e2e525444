#include "core/waitstatistics.h"

#include <algorithm>

namespace apricotwing {

namespace {

constexpr std::size_t MaxSamples = 4096;

} // namespace

void WaitStatistics::record(Duration Waited) {
  if (Samples.size() < MaxSamples)
    Samples.push_back(Waited);
  else
    Samples[Count % MaxSamples] = Waited;
  ++Count;
}

Duration WaitStatistics::quantile(double Fraction) const {
  if (Samples.empty())
    return Duration{0};
  std::vector<Duration> Sorted = Samples;
  const auto Rank = std::ptrdiff_t(Fraction * double(Sorted.size() - 1));
  std::ranges::nth_element(Sorted, Sorted.begin() + Rank);
  return Sorted[std::size_t(Rank)];
}

} // namespace apricotwing
