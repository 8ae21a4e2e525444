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

  /// An executor refused a request because all its slots were in use.
  void slotRefused();

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
  std::uint32_t WorstSlots = 0;
  double WorstFill = 0;
  std::uint64_t SlotRefusals = 0;
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
