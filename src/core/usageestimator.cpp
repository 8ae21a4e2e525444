#include "core/usageestimator.h"

#include <algorithm>
#include <cmath>

namespace apricotwing {

namespace {

constexpr std::size_t MaxClasses = 20'000;
constexpr std::size_t MaxClassWordBytes = 64;
constexpr std::uint32_t SamplesForRunTime = 3;

/// Weight of a new sample in the moving averages.
constexpr double SampleWeight = 0.125;

/// Lower bound of the declared run time in ratios, because a declared run time
/// may be 0.
constexpr Duration ShortestRun{1'000};
constexpr Duration LongestRun{std::int64_t(MaxEstimateSeconds) * 1000};

/// The estimate is the mean plus this many mean deviations.
constexpr double DeviationFactor = 3;

} // namespace

std::string UsageEstimator::classOf(const TeamName &Team, const RunSpec &Spec) {
  const std::size_t End =
      std::min(Spec.Payload.find_first_of(" \t\n\""), MaxClassWordBytes);
  return Team + "/" + std::string(runKindName(Spec.Kind)) + "/" +
         std::to_string(Spec.PerTask.CpuMillis) + "," +
         std::to_string(Spec.PerTask.MemoryMib) + "," +
         std::to_string(Spec.PerTask.Accelerators) + "/" +
         Spec.Payload.substr(0, End);
}

UsageEstimator::ClassStatistics &
UsageEstimator::statisticsOf(const std::string &Class) {
  // Estimates only improve decisions, so a full table may be cleared.
  if (Classes.size() >= MaxClasses && !Classes.contains(Class))
    Classes.clear();
  return Classes[Class];
}

void UsageEstimator::recordUse(const std::string &Class,
                               const Resources &Used) {
  if (Used == Resources{})
    return;
  ClassStatistics &Statistics = statisticsOf(Class);
  Statistics.Peak = Resources::max(Statistics.Peak, Used);
}

void UsageEstimator::recordRunTime(const std::string &Class, Duration Declared,
                                   Duration Elapsed) {
  ClassStatistics &Statistics = statisticsOf(Class);
  const double Sample =
      double(Elapsed.count()) / double(std::max(Declared, ShortestRun).count());
  if (++Statistics.Samples == 1) {
    Statistics.MeanRatio = Sample;
    return;
  }
  const double Error = Sample - Statistics.MeanRatio;
  Statistics.MeanRatio += SampleWeight * Error;
  Statistics.RatioDeviation +=
      SampleWeight * (std::abs(Error) - Statistics.RatioDeviation);
}

Resources UsageEstimator::reservation(const std::string &Class,
                                      const Resources &Declared) const {
  const auto Found = Classes.find(Class);
  return Found == Classes.end() ? Declared
                                : Resources::max(Declared, Found->second.Peak);
}

Duration UsageEstimator::runTime(const std::string &Class,
                                 Duration Declared) const {
  const auto Found = Classes.find(Class);
  if (Found == Classes.end() || Found->second.Samples < SamplesForRunTime)
    return Declared;
  const ClassStatistics &Statistics = Found->second;
  const double Ratio =
      Statistics.MeanRatio + DeviationFactor * Statistics.RatioDeviation;
  const double ScaledMs =
      double(std::max(Declared, ShortestRun).count()) * Ratio;
  return Duration(std::llround(std::min(ScaledMs, double(LongestRun.count()))));
}

} // namespace apricotwing
