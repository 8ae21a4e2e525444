#include "core/usageestimator.h"

#include <algorithm>
#include <cmath>

namespace apricotwing {

namespace {

constexpr std::size_t MaxClasses = 20'000;
constexpr std::size_t MaxClassWordBytes = 64;
constexpr std::uint32_t SamplesForRunTime = 3;

/// Weight of a new sample in the moving means.
constexpr double SampleWeight = 0.125;

/// A declared run time may be zero.
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

UsageEstimator::Entry &UsageEstimator::entry(const std::string &Class) {
  // Estimates only speed things up, so a full table may start again.
  if (Classes.size() >= MaxClasses && !Classes.contains(Class))
    Classes.clear();
  return Classes[Class];
}

void UsageEstimator::recordUse(const std::string &Class,
                               const Resources &Used) {
  if (Used == Resources{})
    return;
  Entry &Known = entry(Class);
  Known.Peak = Resources::max(Known.Peak, Used);
}

void UsageEstimator::recordRunTime(const std::string &Class, Duration Declared,
                                   Duration Elapsed) {
  Entry &Known = entry(Class);
  const double Sample =
      double(Elapsed.count()) / double(std::max(Declared, ShortestRun).count());
  if (++Known.Samples == 1) {
    Known.MeanRatio = Sample;
    return;
  }
  const double Error = Sample - Known.MeanRatio;
  Known.MeanRatio += SampleWeight * Error;
  Known.RatioDeviation +=
      SampleWeight * (std::abs(Error) - Known.RatioDeviation);
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
  const Entry &Known = Found->second;
  const double Ratio = Known.MeanRatio + DeviationFactor * Known.RatioDeviation;
  const double ScaledMs =
      double(std::max(Declared, ShortestRun).count()) * Ratio;
  return Duration(std::llround(std::min(ScaledMs, double(LongestRun.count()))));
}

} // namespace apricotwing
