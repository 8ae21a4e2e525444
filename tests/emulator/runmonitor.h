/// \file
/// Checks that only tasks of active jobs are at work in an emulated cell.
#ifndef APRICOTWING_TESTS_EMULATOR_RUNMONITOR_H
#define APRICOTWING_TESTS_EMULATOR_RUNMONITOR_H

#include "emulatedcell.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace apricotwing::emulator {

/// Repeats the cancellations of callers, and records the runs that go on, or
/// are started, although their job was cancelled, has ended or was refused.
/// Refers to a cell, which must outlive it. Not thread-safe.
class RunMonitor {
public:
  /// Time from an acknowledged cancellation during which the platform accepts
  /// starts, and time after which no run may be at work.
  static constexpr Duration CancelTime{3000};
  static constexpr Duration StopTime{3200};

  /// A cell is calm if nothing has disturbed it for this long.
  static constexpr Duration CalmTime{10'000};

  explicit RunMonitor(EmulatedCell &Cell);

  /// Advances the virtual time by \p Length. Repeats the cancellations, and
  /// checks the runs while the cell is calm.
  void run(Duration Length);

  /// Records that a fault has begun or ended.
  void noteDisturbance();

  /// Cancels a job, first at \p Instance, and repeats the call at the other
  /// instances until one acknowledges it or the job is known to be refused.
  void cancel(const std::string &Instance, const std::string &Id);

  /// Cancels the jobs \p Ids as soon as all shards have a leader, and checks
  /// that no run without an active job is at work when the time for its stop is
  /// over. Precondition: all faults have ended.
  void settle(const std::vector<std::string> &Ids);

  /// Descriptions of the violations found so far.
  const std::vector<std::string> &violations() const { return Violations; }

private:
  void repeatCancels();
  void checkWhileCalm();
  void checkTask(const JobRecord &Job, const std::string &Task, bool AtWork);
  void runUntilCancelled(const std::vector<std::string> &Ids);
  void readAll();
  void checkOrphans();
  void fail(const std::string &Task, const std::string &Text);

  EmulatedCell &Cell;
  const std::vector<std::string> Instances;
  /// Cancellations without an acknowledgement: the index of the instance to
  /// call next, by job id.
  std::map<std::string, std::size_t> PendingCancels;
  TimePoint NextCancels;
  TimePoint LastDisturbance;
  int SeenCrashes = 0;
  std::set<std::string> Reported; ///< Tasks with a violation.
  std::vector<std::string> Violations;
};

} // namespace apricotwing::emulator

#endif
