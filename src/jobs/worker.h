/// \file
/// The scheduler's view of one worker: its resources and the runs that use
/// them.
#ifndef APRICOTWING_JOBS_WORKER_H
#define APRICOTWING_JOBS_WORKER_H

#include "core/resources.h"
#include "core/time.h"
#include "jobs/jobspec.h"
#include "jobs/run.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace apricotwing::jobs {

/// A run that has resources allocated on a worker: from the decision to start
/// it until the worker reports its end or it is certain that it never started.
struct AllocatedRun {
  std::int64_t Run = 0;
  Resources Request;
  bool BestEffort = false;
  std::string Account;
  TimePoint Since;
  /// Its job has ended, so what it uses is unknown.
  bool IsUnknown = false;
  /// The order to start it may have reached the worker.
  bool IsDispatched = false;
  /// Known only from the stored state: the worker has not listed it yet, so it
  /// may have ended long ago.
  bool IsRestored = false;
  bool IsSuspect = false; ///< It may crash the worker.
  bool IsLasting = false; ///< It runs until its job is cancelled.
  int Losses = 0;         ///< Of workers under its task so far.
  /// When it was placed, no other run was likely to crash the worker.
  bool IsApart = false;
  /// Nothing else is started on the worker until then; empty: no such limit.
  std::optional<TimePoint> AloneUntil = std::nullopt;
};

/// What a worker is reserved for. Those that sort first yield first: few losses
/// are weak suspicion, and a suspect that has run for long is little danger.
struct Isolation {
  int Losses = 0;  ///< Of the most suspect of the runs.
  TimePoint Since; ///< When the last of the runs was placed.

  // The name that clang-tidy reports belongs to the generated comparison.
  // NOLINTBEGIN(readability-identifier-naming)
  friend auto operator<=>(const Isolation &, const Isolation &) = default;
  // NOLINTEND(readability-identifier-naming)
};

/// One incarnation of a worker. Owned by a JobScheduler and used on its thread
/// only.
class Worker {
public:
  explicit Worker(WorkerInfo NewInfo) : Info(std::move(NewInfo)) {}

  /// The worker as the registry describes it.
  const WorkerInfo &info() const { return Info; }

  /// Replaces the description. Precondition: it is the same incarnation.
  void setInfo(WorkerInfo NewInfo) { Info = std::move(NewInfo); }

  /// Earliest time at which it leaves, if it has announced that.
  std::optional<TimePoint> leavesAt() const { return LeavesAt; }
  void setLeavesAt(std::optional<TimePoint> Value) { LeavesAt = Value; }

  /// True once the current owner has read its list of runs.
  bool isSynced() const { return Synced; }
  void setSynced(bool Value) { Synced = Value; }

  /// False while its agent cannot reach it.
  bool isReachable() const { return Reachable; }
  void setReachable(bool Value) { Reachable = Value; }

  /// True while its availability zone is evacuated: its runs go on, but it gets
  /// no new ones.
  bool isEvacuated() const { return Evacuated; }
  void setEvacuated(bool Value) { Evacuated = Value; }

  /// True while it is slow after the start of its process.
  bool isCold(TimePoint Now) const { return Now < ColdUntil; }
  void setColdUntil(TimePoint Until) { ColdUntil = Until; }

  /// True if new runs may be started on it at \p Now, unless it is reserved.
  /// Nothing is started beside a run of unknown size.
  bool isAvailable(TimePoint Now) const {
    return Synced && Reachable && !Info.Draining && !Evacuated &&
           Now >= AvoidedUntil && UnknownRuns == 0;
  }

  /// True if it is available and not reserved.
  bool isUsable(TimePoint Now) const {
    return isAvailable(Now) && !isReserved(Now);
  }

  /// True if a run on it is to have no company.
  bool isReserved(TimePoint Now) const {
    return LoneRuns > 0 && Now < ReservedUntil;
  }

  /// True if it is reserved for a run that is not one of step \p Step.
  bool isReservedForOthers(const std::string &Step, TimePoint Now) const;

  /// The runs that are to have no company. Precondition: it is reserved.
  Isolation isolation() const;

  /// Records that the runs on it get company that may crash it as well.
  void endApartness();

  /// True if a suspect has been started on it since \p Since.
  bool hasSuspectSince(TimePoint Since) const;

  /// True if any run has been started on it since \p Since.
  bool hasStartSince(TimePoint Since) const;

  /// Starts no new runs on it until \p Until.
  void avoidUntil(TimePoint Until) {
    AvoidedUntil = std::max(AvoidedUntil, Until);
  }

  /// Records whether a run succeeded, to detect workers on which every run
  /// fails. After ConsecutiveFailureLimit failures in a row, the worker gets no
  /// new runs for AvoidTime and is then tried again.
  void recordOutcome(bool Success, TimePoint Now);

  /// Records the run time of a task as a multiple of the usual run time.
  void recordSlowdown(double Multiple);

  /// Learned run time on this worker as a multiple of the usual run time; 1
  /// until the first observation.
  double slowdown() const { return Slowdown; }

  /// Allocates the resources of a run.
  void allocate(const std::string &Task, AllocatedRun Run);

  /// Frees the resources of a run; true if they were allocated to run \p Run
  /// of \p Task.
  bool release(const std::string &Task, std::int64_t Run);

  /// The runs with allocated resources, by task.
  std::map<std::string, AllocatedRun> &runs() { return Runs; }
  const std::map<std::string, AllocatedRun> &runs() const { return Runs; }

  /// Resources that are not allocated. Best-effort runs are charged for their
  /// memory and accelerators, but not for processors.
  Resources freeResources() const { return Info.Capacity - Used; }

  /// Processors that neither ordinary nor best-effort runs use.
  std::int64_t unusedCpuMillis() const {
    return Info.Capacity.CpuMillis - Used.CpuMillis - FillingCpuMillis;
  }

  /// How many tasks of \p Step fit into the free resources, without those that
  /// gangs of steps other than \p Name and \p Yielding claim.
  int slotsFor(const StepSpec &Step, const std::string &Name,
               const std::set<std::string> &Yielding = {}) const;

  /// How many tasks of \p Step fit into the free resources, claimed or not.
  int slotsInFreeResources(const StepSpec &Step) const;

  /// How many tasks of \p Step would fit if the worker were empty.
  int slotsIfEmpty(const StepSpec &Step) const;

  /// How many would fit if all runs but those that last had ended.
  int slotsBesideLasting(const StepSpec &Step) const;

  /// True if the worker has the label that \p Step requires.
  bool satisfies(const StepSpec &Step) const;

  /// Claims free resources for \p Slots tasks of the gang of step \p Name,
  /// which waits until all its tasks can be placed. Replaces its earlier claim.
  void claim(const std::string &Name, const StepSpec &Step, int Slots);

  /// Releases the claim of a step's gang; returns the claimed resources.
  Resources releaseClaim(const std::string &Name);

  /// Resources claimed by gangs, in total and by step.
  const Resources &claimed() const { return Claimed; }
  const std::map<std::string, Resources> &claims() const { return Claims; }

  /// Consecutive failures after which a worker is suspected to be faulty. Only
  /// a few percent of the jobs can never succeed, so 4 failures in a row point
  /// to the worker.
  static constexpr int ConsecutiveFailureLimit = 4;

  /// Time after which a suspected worker is tried again.
  static constexpr Duration AvoidTime{3000};

private:
  int slotsIn(const Resources &Room, const StepSpec &Step) const;

  WorkerInfo Info;
  std::optional<TimePoint> LeavesAt;
  bool Synced = false;
  bool Reachable = false;
  bool Evacuated = false;
  TimePoint ColdUntil;
  TimePoint AvoidedUntil;
  int ConsecutiveFailures = 0;
  double Slowdown = 1;
  Resources Used;
  Resources UsedByLasting;
  std::int64_t FillingCpuMillis = 0;
  std::map<std::string, AllocatedRun> Runs;
  int UnknownRuns = 0;
  int LoneRuns = 0;
  TimePoint ReservedUntil; ///< Valid while there are lone runs.
  Resources Claimed;
  std::map<std::string, Resources> Claims; ///< By step name.
};

} // namespace apricotwing::jobs

#endif
