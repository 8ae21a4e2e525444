/// \file
/// The scheduler's view of one worker: its freeResources and the runs that take
/// it.
#ifndef APRICOTWING_JOBS_WORKER_H
#define APRICOTWING_JOBS_WORKER_H

#include "core/resources.h"
#include "core/time.h"
#include "jobs/jobspec.h"
#include "jobs/run.h"

#include <cstdint>
#include <map>
#include <string>

namespace apricotwing::jobs {

/// A run that may take freeResources on a worker, from its order until its end
/// is listed or it is certain that it never started.
struct HeldRun {
  std::int64_t Run = 0;
  Resources Request;
  bool BestEffort = false;
  std::string Account;
  bool Stopping = false;
  TimePoint Since;
};

/// One life of a worker. Owned by a JobScheduler and used on its thread only.
class Worker {
public:
  explicit Worker(WorkerInfo Known) : Info(std::move(Known)) {}

  /// What the registry says of it.
  const WorkerInfo &info() const { return Info; }

  /// Replaces what is known. Precondition: it is the same life.
  void setInfo(WorkerInfo Known) { Info = std::move(Known); }

  /// True once its list of runs has been read by the present owner.
  bool isSynced() const { return Synced; }
  void setSynced(bool Value) { Synced = Value; }

  /// False while its agent has no contact to it.
  bool isReachable() const { return Reachable; }
  void setReachable(bool Value) { Reachable = Value; }

  /// True if new runs may be ordered at \p Now.
  bool isUsable(TimePoint Now) const {
    return Synced && Reachable && !Info.Draining && Now >= AvoidedUntil;
  }

  /// Keeps new runs away until \p Until.
  void avoidUntil(TimePoint Until) {
    AvoidedUntil = std::max(AvoidedUntil, Until);
  }

  /// Notes how a run ended, for the detection of workers that fail whatever
  /// they start: after FailuresToAvoid failures in a row it is avoided for
  /// AvoidTime, then tried again.
  void noteEnd(bool Success, TimePoint Now);

  /// Notes the run time of a task as a multiple of the usual.
  void notePace(double Multiple);

  /// Run time here as a multiple of the usual; 1 until it is known better.
  double pace() const { return Pace; }

  /// Adds a run that takes freeResources.
  void hold(const std::string &Task, HeldRun Run);

  /// Removes a run; true if \p Task was held with that run.
  bool release(const std::string &Task, std::int64_t Run);

  /// The runs that take freeResources, by task.
  std::map<std::string, HeldRun> &runs() { return Runs; }
  const std::map<std::string, HeldRun> &runs() const { return Runs; }

  /// What is not taken. BestEffort runs take memory only.
  Resources freeResources() const { return Info.Capacity - Used; }

  /// Processors that neither counted nor filling runs take.
  std::int64_t unusedCpuMillis() const {
    return Info.Capacity.CpuMillis - Used.CpuMillis - FillingCpuMillis;
  }

  /// How many tasks of \p Step fit into the present freeResources, but for what
  /// gangs other than that of the step \p Name claim of it.
  int slotsFor(const StepSpec &Step, const std::string &Name) const;

  /// How many tasks of \p Step fit into the present freeResources, claimed or
  /// not.
  int slotsInRoom(const StepSpec &Step) const;

  /// How many tasks of \p Step the worker could run if it were empty.
  int slotsIfEmpty(const StepSpec &Step) const;

  /// True if it carries the label that \p Step requires.
  bool satisfies(const StepSpec &Step) const;

  /// Keeps freeResources for \p Slots tasks of the gang of the step \p Name,
  /// which is yet to find freeResources for all. Replaces an earlier claim of
  /// it.
  void claim(const std::string &Name, const StepSpec &Step, int Slots);

  /// Gives up the claim of a step's gang; returns the freeResources that it
  /// held.
  Resources releaseClaim(const std::string &Name);

  /// Room that gangs claim, in all and by step.
  const Resources &claimed() const { return Claimed; }
  const std::map<std::string, Resources> &claims() const { return Claims; }

  /// Failures in a row that make a worker suspect. Jobs that can never
  /// succeed are a few percent, so four in a row point to the worker.
  static constexpr int FailuresToAvoid = 4;

  /// Pause before a suspect worker is tried again.
  static constexpr Duration AvoidTime{3000};

private:
  int slotsIn(const Resources &Room, const StepSpec &Step) const;

  WorkerInfo Info;
  bool Synced = false;
  bool Reachable = false;
  TimePoint AvoidedUntil;
  int FailuresInRow = 0;
  double Pace = 1;
  Resources Used;
  std::int64_t FillingCpuMillis = 0;
  std::map<std::string, HeldRun> Runs;
  Resources Claimed;
  std::map<std::string, Resources> Claims; ///< By step.
};

} // namespace apricotwing::jobs

#endif
