#include "jobs/jobspec.h"

#include <algorithm>
#include <charconv>

namespace apricotwing::jobs {

namespace {

/// Removes the last dot and the number after it from \p Text and returns the
/// number; empty if there is no such number.
std::optional<int> takeLastNumber(std::string_view &Text) {
  const std::size_t Dot = Text.rfind('.');
  if (Dot == std::string_view::npos)
    return std::nullopt;
  const std::string_view Digits = Text.substr(Dot + 1);
  int Value = 0;
  const auto [End, Problem] =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Value);
  if (Problem != std::errc() || End != Digits.data() + Digits.size() ||
      Value < 0)
    return std::nullopt;
  Text = Text.substr(0, Dot);
  return Value;
}

} // namespace

std::string TaskId::text() const {
  return Job + '.' + std::to_string(Occurrence) + '.' + std::to_string(Step) +
         '.' + std::to_string(Index);
}

std::optional<TaskId> TaskId::parse(std::string_view Text) {
  const auto Index = takeLastNumber(Text);
  const auto Step = Index ? takeLastNumber(Text) : std::nullopt;
  const auto Occurrence = Step ? takeLastNumber(Text) : std::nullopt;
  if (!Occurrence || Text.empty())
    return std::nullopt;
  return TaskId{std::string(Text), *Occurrence, *Step, *Index};
}

std::string stepName(const std::string &Job, int Step) {
  return Job + ".0." + std::to_string(Step);
}

std::optional<std::string> validationError(const JobSpec &Spec) {
  if (Spec.Steps.empty())
    return "a job needs at least one step";
  if (Spec.Steps.size() > MaxStepsPerJob)
    return "a job may have at most " + std::to_string(MaxStepsPerJob) +
           " steps";
  if (Spec.Payload.size() > MaxPayloadBytes)
    return "the payload of a job may have at most " +
           std::to_string(MaxPayloadBytes) + " bytes";
  std::int64_t Tasks = 0;
  for (std::size_t Number = 0; Number < Spec.Steps.size(); ++Number) {
    const StepSpec &Step = Spec.Steps[Number];
    if (Step.Count < 1)
      return "the count of a step must be at least 1";
    Tasks += Step.Count;
    if (Tasks > MaxTasksPerJob)
      return "a job may have at most " + std::to_string(MaxTasksPerJob) +
             " tasks";
    if (!Step.Request.isNonNegative())
      return "the resources of a step must not be negative";
    if (!Step.Request.fitsIn(
            {MaxAmountPerTask, MaxAmountPerTask, MaxAmountPerTask}))
      return "the resources of a step are too large";
    if (Step.Estimate < Duration::zero() || Step.Estimate > MaxEstimate)
      return "the estimated duration of a step must be between 0 and one year";
    for (const int Earlier : Step.After)
      if (Earlier < 0 || std::size_t(Earlier) >= Number)
        return "a step may only wait for earlier steps";
    if (Step.After.size() > MaxStepsPerJob)
      return "a step may wait for at most " + std::to_string(MaxStepsPerJob) +
             " steps";
    if (std::max({Step.RequiredLabel.size(), Step.PreferredRack.size(),
                  Step.Image.size()}) > MaxNameBytes)
      return "a label, a rack or an image may have at most " +
             std::to_string(MaxNameBytes) + " bytes";
  }
  return std::nullopt;
}

Duration criticalPath(const JobSpec &Spec) {
  std::vector<Duration> EndOf;
  Duration Longest{0};
  for (const StepSpec &Step : Spec.Steps) {
    Duration Start{0};
    for (const int Earlier : Step.After)
      Start = std::max(Start, EndOf[std::size_t(Earlier)]);
    EndOf.push_back(Start + Step.Estimate);
    Longest = std::max(Longest, EndOf.back());
  }
  return Longest;
}

} // namespace apricotwing::jobs
