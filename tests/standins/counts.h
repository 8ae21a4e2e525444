/// \file
/// Counters of the requests, attempts and calls that reached the stand-ins.
#ifndef APRICOTWING_STANDINS_COUNTS_H
#define APRICOTWING_STANDINS_COUNTS_H

#include "core/run.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace apricotwing::standins {

/// Counts executions and refusals at the stand-ins themselves, so that a test
/// can compare them with what callers were told. Shared by all stand-ins;
/// thread-safe.
class Counts {
public:
  /// An executor started to execute a request and now has \p BusySlots slots in
  /// use.
  void requestExecuted(const std::string &RequestId, const std::string &Body,
                       std::uint32_t BusySlots);

  /// An executor finished a request.
  void requestEnded();

  /// An executor refused a request because all its slots were in use.
  void slotRefused();

  /// An executor refused a request because it is leaving, i.e. shutting down.
  void leavingRefused();

  /// A worker started to execute an attempt.
  void attemptStarted(const AttemptId &Id);

  /// The worker of an attempt was paused, or resumed. A paused attempt does not
  /// count as running.
  void attemptPaused(const AttemptId &Id);
  void attemptResumed(const AttemptId &Id);

  /// An attempt ended in \p State.
  void attemptEnded(const AttemptId &Id, TaskState State);

  /// A worker refused an attempt because its free capacity is too small.
  void capacityRefused();

  /// A worker has reserved \p Fraction of its capacity; 1 is all of it.
  void workerUtilization(double Fraction);

  /// The table service handled a read, a scan or a transaction.
  void tableRead();
  void tableScanned();
  void tableTransaction(bool Committed);

  /// Resets the peaks of concurrent requests and attempts to the numbers that
  /// run now.
  void resetPeaks();

  /// Returns all counters as JSON text.
  std::string toJson() const;

private:
  mutable std::mutex Mutex;
  std::map<std::string, std::uint64_t> Requests;
  std::map<std::string, std::uint64_t> Bodies;
  std::map<std::string, std::uint64_t> Attempts;
  std::map<TaskId, std::map<std::uint32_t, std::uint32_t>> RunningByTask;
  std::map<std::string, std::uint64_t>
      EndedByState;           ///< Number of attempts by final state.
  std::uint64_t Overlaps = 0; ///< Starts of a task that was already running.
  std::uint64_t RunningRequests = 0; ///< On all executors.
  std::uint64_t PeakRequests = 0;
  std::uint64_t RunningAttempts = 0; ///< On all workers that are not paused.
  std::uint64_t PeakAttempts = 0;
  std::uint32_t MaxBusySlots = 0;
  double MaxUtilization = 0;
  std::uint64_t SlotRefusals = 0;
  std::uint64_t LeavingRefusals = 0;
  std::uint64_t CapacityRefusals = 0;
  std::uint64_t Reads = 0;
  std::uint64_t Scans = 0;
  std::uint64_t Commits = 0;
  std::uint64_t Conflicts = 0;

  void addRunning(const AttemptId &Id);
  void removeRunning(const AttemptId &Id);
};

} // namespace apricotwing::standins

#endif
