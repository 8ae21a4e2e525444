/// \file
/// Workers that are kept free for a run that has waited long.
#ifndef APRICOTWING_CORE_RESERVATION_H
#define APRICOTWING_CORE_RESERVATION_H

#include "core/schedulerdata.h"

#include <vector>

namespace apricotwing {

/// The one reservation of a shard: workers that other runs may use only for
/// tasks that are expected to end before the reservation starts. Owned by the
/// shard's scheduler; not thread-safe.
class Reservation {
public:
  bool isActive() const { return !Run.empty(); }
  const RunId &run() const { return Run; }
  const WorkerMask &workers() const { return Workers; }

  /// When the run is expected to find all its room.
  TimePoint start() const { return Start; }

  bool isOlderThan(Duration Age, TimePoint Now) const {
    return Now - PlannedAt > Age;
  }

  /// Picks the workers that are expected to have room for \p Count tasks of
  /// \p Entry first, among \p Candidates. With \p Preempting, tasks of normal
  /// priority do not count as in the way. Returns false and releases the
  /// reservation if the workers cannot hold the tasks.
  bool plan(const SchedulerData &Data, const RunEntry &Entry,
            const Resources &Need, std::uint32_t Count,
            const WorkerMask &Candidates, bool Preempting, TimePoint Now);

  void release();

private:
  struct Offer {
    TimePoint Free;
    std::uint64_t Slots = 0;
    WorkerIndex Worker = NoWorker;
  };

  static Offer offer(const SchedulerData &Data, WorkerIndex Worker,
                     const Resources &Need, std::uint32_t Count,
                     bool Preempting, TimePoint Now);

  RunId Run;
  WorkerMask Workers;
  TimePoint Start;
  TimePoint PlannedAt;
};

} // namespace apricotwing

#endif
