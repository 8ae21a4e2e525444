/// \file
/// The workers that were lost while they ran a task.
#ifndef APRICOTWING_JOBS_CRASHHISTORY_H
#define APRICOTWING_JOBS_CRASHHISTORY_H

#include "jobs/run.h"

#include <cstdint>
#include <string>
#include <vector>

namespace apricotwing::jobs {

/// The loss of the worker of one run.
struct CrashRecord {
  WorkerIncarnation Worker;
  std::int64_t Run = 0;
  WorkerLoss Cause = WorkerLoss::ProcessEnded;
  /// No other run on the worker is likely to have been the cause.
  bool Apart = false;
  /// The leader that noticed the loss had placed the run itself or seen it in
  /// the worker's list. Any other run may have ended before the worker.
  bool Witnessed = false;

  /// True if the process of the worker has ended, as far as is known.
  bool isProcessEnd() const {
    return Cause == WorkerLoss::ProcessEnded || Cause == WorkerLoss::Refused;
  }

  /// True unless the worker may still exist.
  bool counts() const { return isProcessEnd() || Cause == WorkerLoss::Gone; }

  friend bool operator==(const CrashRecord &, const CrashRecord &) = default;
};

/// Decides, from the workers that were lost under a task, whether the task may
/// be the cause. Answers a load of tasks that crash each worker that starts
/// them, among many that only shared a worker with one of these or met crashes
/// by chance. A worker whose lease expired may only have been silent, so that
/// does not count until the worker is gone. A task that is done at some time is
/// given up; one that lasts until its job is cancelled is started again, at
/// growing intervals. A value type; stored with the job.
class CrashHistory {
public:
  /// Losses of workers under a task after which it is started on a worker of
  /// its own, so that at its next crash no other task is to blame.
  static constexpr int IsolationThreshold = 2;

  /// Ends of worker processes after which a task is given up in any case. It
  /// may be started twice more after three crashes.
  static constexpr int MaxProcessEnds = 5;

  /// Number of workers whose processes have ended, witnessed, after which it is
  /// given up if it was apart from others at one of them and no other worker
  /// has crashed lately.
  static constexpr int MaxUniqueEnds = 3;

  /// The same as MaxProcessEnds for losses that include silent workers. These
  /// count late, when the task may have been started again.
  static constexpr int MaxLosses = 4;

  /// A worker that ended within this time speaks for crashes by chance. It
  /// covers several runs of a task whose crashes are noticed late.
  static constexpr Duration ChanceWindow{60'000};

  /// A task that crashes its worker usually does so within this time after its
  /// start. Afterwards it is no danger to others, and its worker is shared
  /// again.
  static constexpr Duration DangerTime{30'000};

  /// Longest interval between two starts of a task that lasts. It must be at
  /// work again 6 s after its last run, which includes the time until a crash
  /// is noticed and a worker is found.
  static constexpr Duration MaxRestartInterval{4000};

  /// Adds a loss. Ignores causes that the task cannot have.
  void add(const CrashRecord &Record);

  /// Removes all but the latest losses, for a task that is never given up.
  void keepLatest();

  /// Corrects the cause of losses of a worker. Returns whether there are any.
  bool update(const WorkerIncarnation &Worker, WorkerLoss Cause);

  /// Removes losses of a worker, as it still exists. Returns whether there were
  /// any.
  bool remove(const WorkerIncarnation &Worker);

  void clear() { Records.clear(); }

  /// Adds the losses of another task of the same gang. Those during the same
  /// run count as one, because the members end together.
  void mergeGangMember(const CrashHistory &Member);

  /// Number of losses that count.
  int losses() const;

  /// True if the task may crash its workers.
  bool isSuspect() const { return losses() > 0; }

  /// True if the task must run on a worker of its own.
  bool needsIsolation() const { return losses() >= IsolationThreshold; }

  /// True if the task must not be started again, unless it lasts. \p
  /// CrashesElsewhere: a worker has ended within ChanceWindow that did not run
  /// the task.
  bool isExhausted(bool CrashesElsewhere) const;

  /// Minimum time from one start to the next of a task that lasts.
  Duration restartInterval() const;

  /// True if a loss that counts was that of a worker with the id \p Worker.
  bool includes(const std::string &Worker) const;

  /// True if there is a loss of \p Worker, whether it counts or not.
  bool mentions(const WorkerIncarnation &Worker) const;

  const std::vector<CrashRecord> &records() const { return Records; }

private:
  std::vector<CrashRecord> Records;
};

} // namespace apricotwing::jobs

#endif
