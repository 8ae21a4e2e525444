/// \file
/// All runs of the tasks, as the workers have seen them, and the tasks that ran
/// twice.
#ifndef APRICOTWING_SOAK_RUNHISTORY_H
#define APRICOTWING_SOAK_RUNHISTORY_H

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <vector>

namespace apricotwing::soak {

/// How a call got through to a worker.
enum class Delivery {
  Direct,
  Late,          ///< Carried out seconds after it was sent.
  ToNextProcess, ///< Sent to the former process of the worker.
  LateToNextProcess,
};

const char *deliveryName(Delivery How);

struct RunRecord {
  std::string Task;
  std::int64_t Run = 0;
  std::string Worker;
  std::int64_t Token = 0; ///< Fencing token of the start.
  Delivery StartedBy = Delivery::Direct;
  std::int64_t StartMs = 0, EndMs = 0;
  std::string EndKind; ///< Empty while the run is at work.
  /// The lease lapsed after the end and before an acknowledgement of it.
  bool Lapsed = false;
  bool Noted = false; ///< Acknowledged, without a lapse before.
  /// Positions among all starts and ends, as several share a millisecond.
  std::uint64_t StartOrder = 0;
  std::uint64_t EndOrder = std::numeric_limits<std::uint64_t>::max();

  std::string describe(std::int64_t OriginMs) const;
};

/// A task with two runs that exclude each other.
struct RepeatedTask {
  std::string Reason;
  RunRecord Earlier, Later;
};

/// Judges the runs when all is over, so that it does not matter whether an end
/// is acknowledged before the next start or after it. Not thread-safe.
class RunHistory {
public:
  /// Returns the number of the record, for the other functions.
  std::size_t start(const std::string &Task, std::int64_t Run,
                    const std::string &Worker, std::int64_t Token,
                    Delivery StartedBy, std::int64_t NowMs);
  /// \p Kind is not empty. The end of its process ends a run, too.
  void end(std::size_t Record, const std::string &Kind, std::int64_t NowMs);
  /// The lease of the worker lapsed while it listed the end of this run.
  void lapse(std::size_t Record);
  /// An acknowledgement has reached the end of this run.
  void acknowledge(std::size_t Record);

  /// One entry for each run that was at work beside an earlier one, or that
  /// started after the task was done and its end was noted at any time.
  std::vector<RepeatedTask> repeatedTasks() const;

private:
  std::vector<RunRecord> Records;
  std::uint64_t LastOrder = 0;
};

} // namespace apricotwing::soak

#endif
