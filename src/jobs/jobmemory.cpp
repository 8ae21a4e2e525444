#include "jobs/jobmemory.h"

#include "jobs/job.h"

namespace apricotwing::jobs {

namespace {

/// What a task adds beside its state: the id of a worker and a checkpoint,
/// which are too long to be stored within their strings, and its place in the
/// stored rows.
constexpr std::size_t ExtraTaskBytes = 80;

/// What a step adds beside its state: its place in the order of waiting work
/// and its names.
constexpr std::size_t ExtraStepBytes = 256;

/// What a job adds beside its state: its entries in tables by id.
constexpr std::size_t ExtraJobBytes = 512;

} // namespace

std::size_t specBytes(const JobSpec &Spec) {
  std::size_t Result = sizeof(JobSpec) + Spec.Id.size() + Spec.Queue.size() +
                       Spec.Account.size() + Spec.Payload.size();
  for (const StepSpec &Step : Spec.Steps)
    Result += sizeof(StepSpec) + Step.After.size() * sizeof(int) +
              Step.RequiredLabel.size() + Step.PreferredRack.size() +
              Step.Image.size();
  return Result;
}

std::size_t activeJobBytes(const JobSpec &Spec) {
  std::size_t Result = specBytes(Spec) + sizeof(Job) + ExtraJobBytes;
  for (const StepSpec &Step : Spec.Steps)
    Result += sizeof(StepState) + ExtraStepBytes +
              std::size_t(Step.Count) * (sizeof(TaskState) + ExtraTaskBytes);
  return Result;
}

} // namespace apricotwing::jobs
