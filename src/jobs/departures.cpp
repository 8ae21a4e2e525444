/// \file
/// The part of JobScheduler that stops runs before their workers leave.
#include "jobs/departurepolicy.h"
#include "jobs/jobscheduler.h"

#include <algorithm>

namespace apricotwing::jobs {

namespace {

/// Time left on a worker that drains without saying for how long. The platform
/// gives it 2 to 3 s.
constexpr Duration DefaultDrainTime{2000};

/// Time after which a long-running task that was placed counts as running.
constexpr Duration StartupTime{1000};

} // namespace

// The row may be repeated unchanged, so its time counts from the first time.
void JobScheduler::updateDeparture(Worker &Host, const WorkerInfo &Before,
                                   TimePoint Now) {
  const WorkerInfo &Info = Host.info();
  if (!Info.Draining || Info.DrainAssumed) {
    Host.setLeavesAt(std::nullopt);
    return;
  }
  if (Host.leavesAt() && Before.Remaining == Info.Remaining)
    return;
  const Duration Left =
      Info.Remaining > Duration::zero() ? Info.Remaining : DefaultDrainTime;
  Host.setLeavesAt(Now + Left);
}

void JobScheduler::migrateLeavingRuns(TimePoint Now, Decisions &Result) {
  const bool IsAnyLeaving =
      std::any_of(Workers.begin(), Workers.end(), [](const auto &Entry) {
        return Entry.second.leavesAt().has_value();
      });
  if (!Options.MigrateFromLeavingWorkers || !IsAnyLeaving)
    return;
  // Room that runs which are being stopped will take is not promised again.
  std::int64_t PromisedCpuMillis = 0;
  for (const auto &[Order, Progress] : RunsToStop) {
    const auto Id = TaskId::parse(Order.Task);
    const Job *Owner = Id ? find(Id->Job) : nullptr;
    if (Owner && Progress.Cause == StopCause::WorkerLeaving)
      PromisedCpuMillis +=
          Owner->Spec.Steps[std::size_t(Id->Step)].Request.CpuMillis;
  }
  for (auto &[WorkerId, Host] : Workers)
    if (Host.leavesAt())
      for (const auto &[Name, Run] : Host.runs())
        if (const auto Id = TaskId::parse(Name))
          migrateRun(Host, *Id, Run.Run, PromisedCpuMillis, Now, Result);
}

// The time left and the expected time of a run on a worker that leaves, or of
// its whole gang. Room and tolerance are set as if nothing spoke against a
// stop.
DepartingRun JobScheduler::departingRun(const Worker &Host,
                                        const Job &CurrentJob, const TaskId &Id,
                                        TimePoint Now) const {
  const StepSpec &Spec = CurrentJob.Spec.Steps[std::size_t(Id.Step)];
  const StepState &State = CurrentJob.Steps[std::size_t(Id.Step)];
  const TaskState &Task = State.Tasks[std::size_t(Id.Index)];
  DepartingRun Facts;
  Facts.TimeLeft = *Host.leavesAt() - Now;
  double Slowdown = Host.slowdown();
  if (Spec.Gang)
    for (const TaskState &Member : State.Tasks) {
      const Worker *MemberHost = worker(Member.Worker.Id);
      if (Member.Phase != TaskPhase::Placed || !MemberHost ||
          MemberHost->info().Incarnation != Member.Worker)
        continue;
      Slowdown = std::max(Slowdown, MemberHost->slowdown());
      if (MemberHost->leavesAt())
        Facts.TimeLeft =
            std::min(Facts.TimeLeft, *MemberHost->leavesAt() - Now);
    }
  const auto Ratio = EstimateRatio.find(CurrentJob.Spec.Queue);
  Facts.ExpectedTime = Duration(
      Duration::rep(double(Spec.Estimate.count()) * Slowdown *
                    (Ratio == EstimateRatio.end() ? 1 : Ratio->second)));
  Facts.Elapsed = Now - Task.PlacedAt;
  Facts.IsStartKnown = Task.Run > (Term - 1) * RunsPerTerm;
  if (Task.Percent > 0) {
    Facts.Percent = Task.Percent;
    Facts.PercentAge = Now - Task.PercentAt;
  }
  Facts.Checkpointing = Spec.Checkpointing;
  Facts.LongRunning = Spec.LongRunning;
  Facts.HasRoomElsewhere = true;
  return Facts;
}

void JobScheduler::migrateRun(Worker &Host, const TaskId &Id, std::int64_t Run,
                              std::int64_t &PromisedCpuMillis, TimePoint Now,
                              Decisions &Result) {
  Job *Owner = nullptr;
  const TaskState *Task = findTask(Id, Owner);
  if (!Task || Owner->Phase != JobPhase::Active ||
      Task->Phase != TaskPhase::Placed || Task->Run != Run ||
      Task->Worker != Host.info().Incarnation ||
      RunsToStop.contains({Task->Worker, Id.text(), Run}))
    return;
  const StepSpec &Spec = Owner->Spec.Steps[std::size_t(Id.Step)];
  // The rest of an incomplete gang is being stopped.
  if (Spec.Gang && Owner->Steps[std::size_t(Id.Step)].ReadyCount > 0)
    return;
  DepartingRun Facts = departingRun(Host, *Owner, Id, Now);
  // Room is looked for only if it matters: all workers are compared.
  if (DeparturePolicy::decide(Facts) == DepartureAction::Keep)
    return;
  Facts.HasRoomElsewhere =
      hasRoomElsewhere(*Owner, Id.Step, PromisedCpuMillis, Now);
  Facts.IsWithinTolerance =
      Spec.Gang || (!Spec.LongRunning && Spec.MissTolerance == 0) ||
      missingTasks(*Owner, Id.Step, Now) < std::max(Spec.MissTolerance, 1);
  if (DeparturePolicy::decide(Facts) == DepartureAction::Keep)
    return;
  const int Tasks = Spec.Gang ? Spec.Count : 1;
  Result.Migrations.push_back({{Host.info().Incarnation, Id.text(), Run},
                               Facts.TimeLeft,
                               Spec.LongRunning
                                   ? Duration{-1}
                                   : DeparturePolicy::expectedRemaining(Facts),
                               Tasks});
  MigratedRuns += std::size_t(Tasks);
  PromisedCpuMillis += Spec.Request.CpuMillis * Tasks;
  if (Spec.Gang)
    stopPlaced(*Owner, Id.Step, StopCause::WorkerLeaving, Now);
  else
    stopRun(Host, Id.text(), Run, StopCause::WorkerLeaving, Now);
}

// True if a task of a step, or its whole gang, is likely to find room now, if
// others take PromisedCpuMillis of the free processors. The members of a gang
// on workers that stay leave their room to it. Workers without advice count as
// far as the queue's calls for advice are usually answered with approvals.
bool JobScheduler::hasRoomElsewhere(const Job &CurrentJob, int Step,
                                    std::int64_t PromisedCpuMillis,
                                    TimePoint Now) const {
  const Queue &JobQueue = queueOf(CurrentJob);
  const StepSpec &Spec = CurrentJob.Spec.Steps[std::size_t(Step)];
  const StepState &State = CurrentJob.Steps[std::size_t(Step)];
  const std::string Name = stepName(CurrentJob.Spec.Id, Step);
  int Missing = Spec.Gang ? Spec.Count : 1;
  if (Spec.Gang)
    for (const TaskState &Member : State.Tasks) {
      const Worker *Host = worker(Member.Worker.Id);
      Missing -= Host && Host->isAvailable(Now) ? 1 : 0;
    }
  const bool LimitsCpu = Spec.Request.CpuMillis > 0 && !Spec.BestEffort;
  if (LimitsCpu &&
      FreeCpuMillis - PromisedCpuMillis < Missing * Spec.Request.CpuMillis)
    return false;
  double Slots = 0;
  std::int64_t Free = -PromisedCpuMillis;
  for (const auto &[Id, Host] : Workers) {
    if (Host.info().Upstream != JobQueue.Upstream || !Host.isUsable(Now))
      continue;
    Free += std::max<std::int64_t>(
        Host.freeResources().CpuMillis - Host.claimed().CpuMillis, 0);
    if (!Host.satisfies(Spec))
      continue;
    const auto Advice = State.Advice.find(Id);
    const bool IsAdvised = Advice != State.Advice.end() &&
                           Advice->second.Worker == Host.info().Incarnation;
    double Chance = 1;
    if (JobQueue.Advice && IsAdvised)
      Chance = Advice->second.Approved ? 1 : 0;
    else if (JobQueue.Advice)
      Chance = approvalRate(JobQueue.Name);
    Slots += Chance * Host.slotsFor(Spec, Name);
  }
  return Slots >= Missing &&
         (!LimitsCpu || Free >= Missing * Spec.Request.CpuMillis);
}

// Number of tasks of a step that don't run, or are being stopped.
int JobScheduler::missingTasks(const Job &CurrentJob, int Step,
                               TimePoint Now) const {
  const StepState &State = CurrentJob.Steps[std::size_t(Step)];
  int Missing = State.ReadyCount;
  for (std::size_t Index = 0; Index < State.Tasks.size(); ++Index) {
    const TaskState &Task = State.Tasks[Index];
    if (Task.Phase != TaskPhase::Placed)
      continue;
    const std::string Name =
        TaskId{CurrentJob.Spec.Id, 0, Step, int(Index)}.text();
    Missing += Now - Task.PlacedAt < StartupTime ||
                       RunsToStop.contains({Task.Worker, Name, Task.Run})
                   ? 1
                   : 0;
  }
  return Missing;
}

} // namespace apricotwing::jobs
