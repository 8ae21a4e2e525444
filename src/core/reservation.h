/// \file
/// Reservation of resources for a run that has waited long.
#ifndef APRICOTWING_CORE_RESERVATION_H
#define APRICOTWING_CORE_RESERVATION_H

#include "core/schedulerdata.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace apricotwing {

/// The single reservation of a shard: resources on some workers that other runs
/// may use only for tasks that are expected to end before the reservation
/// starts. Reserving resources instead of whole workers leaves the rest of each
/// worker to other runs. Owned by the shard's scheduler; not thread-safe.
class Reservation {
public:
  /// \p Index must outlive this object.
  explicit Reservation(PlacementIndex &Index) : Index(Index) {}

  bool isActive() const { return !Run.empty(); }
  const RunId &run() const { return Run; }

  /// Reserved resources, by worker.
  const std::map<WorkerIndex, Resources> &reserved() const {
    return ReservedByWorker;
  }

  /// Resources reserved on one worker.
  Resources reservedOn(WorkerIndex Worker) const;

  /// When all reserved resources are expected to be free.
  TimePoint start() const { return Start; }

  /// True if a worker of the plan is not eligible, or the expected start of the
  /// plan has passed by far. Planning more often would lose resources on
  /// workers where some have already been freed.
  bool isOutdated(TimePoint Now) const;

  /// Reserves resources for \p Count tasks of \p Entry on workers of
  /// \p Candidates, chosen so that the fewest resources are idle until all are
  /// free; the wait until the start is at most twice the shortest possible one.
  /// With \p Preempting, tasks of normal priority are expected to end at once.
  /// Replaces an earlier plan; returns false and reserves nothing if the tasks
  /// do not fit on the workers.
  bool plan(const SchedulerData &Data, const RunEntry &Entry,
            const Resources &Need, std::uint32_t Count,
            const WorkerMask &Candidates, bool Preempting, TimePoint Now);

  /// Makes the reserved resources available to a search for the run itself.
  void suspend();

  /// Undoes suspend().
  void resume();

  void release();

private:
  /// A slot for one task on a worker, free from a point in time on. The
  /// resources of each task that ends before the reservation starts are idle
  /// from its end until the start.
  struct Slot {
    TimePoint FreeAt;
    double Amount = 0;     ///< Dominant fraction of the shard.
    double AmountByMs = 0; ///< Sum of amount times end, in ms from now.
  };
  /// The slots of one worker, ordered by time.
  struct Offer {
    WorkerIndex Worker = NoWorker;
    std::vector<Slot> Slots;
  };
  /// The slots to reserve for a given start of the reservation.
  struct Choice {
    TimePoint Start;
    double Idle = 0; ///< Fraction of the shard times milliseconds.
    std::vector<std::pair<WorkerIndex, std::uint32_t>> Tasks;
  };

  static Offer offerOf(const SchedulerData &Data, WorkerIndex Worker,
                       const Resources &Need, std::uint32_t Count,
                       bool Preempting, TimePoint Now);
  static std::vector<Offer> collectOffers(const SchedulerData &Data,
                                          const Resources &Need,
                                          std::uint32_t Count,
                                          const WorkerMask &Candidates,
                                          bool Preempting, TimePoint Now);
  static Choice choose(const std::vector<Offer> &Offers, std::uint32_t Count,
                       TimePoint Start, TimePoint Now);
  static std::optional<Choice> chooseStart(const std::vector<Offer> &Offers,
                                           std::uint32_t Count, TimePoint Now);

  PlacementIndex &Index;
  RunId Run;
  std::map<WorkerIndex, Resources> ReservedByWorker;
  bool IsSuspended = false;
  TimePoint Start;
  TimePoint PlannedAt;
};

} // namespace apricotwing

#endif
