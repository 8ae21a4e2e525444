#include "core/usageestimator.h"

#include <cmath>

namespace apricotwing {

namespace {

constexpr std::size_t MaxClasses = 20'000;
constexpr std::size_t MaxClassWordBytes = 64;
constexpr std::uint32_t SamplesForRunTime = 3;

/// Weight of a new sample in the moving means.
constexpr double SampleWeight = 0.125;

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

void UsageEstimator::recordUse(const std::string &Class,
                               const Resources &Used) {
  if (Used == Resources{})
    return;
  // Estimates only speed things up, so a full table may start again.
  if (Classes.size() >= MaxClasses && !Classes.contains(Class))
    Classes.clear();
  Entry &Known = Classes[Class];
  Known.Peak = Resources::max(Known.Peak, Used);
}

void UsageEstimator::recordRunTime(const std::string &Class, Duration Elapsed) {
  if (Classes.size() >= MaxClasses && !Classes.contains(Class))
    Classes.clear();
  Entry &Known = Classes[Class];
  const auto Sample = double(Elapsed.count());
  if (++Known.Samples == 1) {
    Known.MeanMs = Sample;
    return;
  }
  const double Error = Sample - Known.MeanMs;
  Known.MeanMs += SampleWeight * Error;
  Known.DeviationMs += SampleWeight * (std::abs(Error) - Known.DeviationMs);
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
  return Duration(
      std::llround(Known.MeanMs + DeviationFactor * Known.DeviationMs));
}

} // namespace apricotwing
