/// \file
/// What really happened at the stand-ins.
#ifndef APRICOTWING_STANDINS_COUNTS_H
#define APRICOTWING_STANDINS_COUNTS_H

#include "core/run.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace apricotwing::standins {

/// Counts taken where the effects happen. Shared by all sites; thread-safe.
class Counts {
public:
  /// An executor began to execute a request, with \p Busy slots in use.
  void requestExecuted(const std::string &RequestId, const std::string &Body,
                       std::uint32_t Busy);

  /// An executor ended a request.
  void requestEnded();

  /// An executor refused a request because all its slots were in use.
  void slotRefused();

  /// An executor refused a request because it is leaving.
  void leavingRefused();

  /// A worker began to execute an attempt.
  void attemptStarted(const AttemptId &Id);

  /// An attempt stands still because its worker is paused, or goes on.
  void attemptFrozen(const AttemptId &Id);
  void attemptThawed(const AttemptId &Id);

  /// An attempt ended in \p State.
  void attemptEnded(const AttemptId &Id, TaskState State);

  /// A worker refused an attempt for want of capacity.
  void capacityRefused();

  /// A worker uses \p Fraction of its capacity, from 0 to 1.
  void workerFilled(double Fraction);

  /// The table service served a call.
  void tableRead();
  void tableScanned();
  void tableTransaction(bool Committed);

  /// Starts the peaks of what runs at once again from what runs now.
  void forgetPeaks();

  /// All counts as JSON text.
  std::string toJson() const;

private:
  mutable std::mutex Mutex;
  std::map<std::string, std::uint64_t> Requests;
  std::map<std::string, std::uint64_t> Bodies;
  std::map<std::string, std::uint64_t> Attempts;
  std::map<TaskId, std::map<std::uint32_t, std::uint32_t>> Running;
  std::map<std::string, std::uint64_t> Ended; ///< By state.
  std::uint64_t Overlaps = 0;
  std::uint64_t LiveRequests = 0; ///< On all executors.
  std::uint64_t PeakRequests = 0;
  std::uint64_t LiveAttempts = 0; ///< On all workers, paused ones left out.
  std::uint64_t PeakAttempts = 0;
  std::uint32_t WorstSlots = 0;
  double WorstFill = 0;
  std::uint64_t SlotRefusals = 0;
  std::uint64_t LeavingRefusals = 0;
  std::uint64_t CapacityRefusals = 0;
  std::uint64_t Reads = 0;
  std::uint64_t Scans = 0;
  std::uint64_t Commits = 0;
  std::uint64_t Conflicts = 0;

  void enter(const AttemptId &Id);
  void leave(const AttemptId &Id);
};

} // namespace apricotwing::standins

#endif
