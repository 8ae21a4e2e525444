/// \file
/// Resources that are kept free for a run that has waited long.
#ifndef APRICOTWING_CORE_RESERVATION_H
#define APRICOTWING_CORE_RESERVATION_H

#include "core/schedulerdata.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace apricotwing {

/// The one reservation of a shard: resources held on some workers, which other
/// runs may use only for tasks that are expected to end before the reservation
/// starts. Holding resources instead of whole workers leaves the rest of each
/// worker to the others. Owned by the shard's scheduler; not thread-safe.
class Reservation {
public:
  /// \p Index must outlive this object.
  explicit Reservation(PlacementIndex &Index) : Index(Index) {}

  bool isActive() const { return !Run.empty(); }
  const RunId &run() const { return Run; }

  /// Resources held, by worker.
  const std::map<WorkerIndex, Resources> &held() const { return Held; }

  /// What is held on one worker.
  Resources heldOn(WorkerIndex Worker) const;

  /// When the run is expected to find all its room.
  TimePoint start() const { return Start; }

  /// True if a worker of the plan is closed, or the plan is well behind its
  /// expected start. Planning more often would give up room on workers where
  /// it has already accumulated.
  bool isOutdated(TimePoint Now) const;

  /// Holds room for \p Count tasks of \p Entry among \p Candidates, where
  /// least of it is idle until all is free; the start is at most twice as far
  /// away as the earliest possible one. With \p Preempting, tasks of normal
  /// priority do not count as in the way. Replaces an earlier plan; returns
  /// false and holds nothing if the workers cannot take the tasks.
  bool plan(const SchedulerData &Data, const RunEntry &Entry,
            const Resources &Need, std::uint32_t Count,
            const WorkerMask &Candidates, bool Preempting, TimePoint Now);

  /// Makes the held resources free for a search of the run itself.
  void suspend();

  /// Undoes suspend().
  void resume();

  void release();

private:
  /// Room for one task on a worker from a moment on. From the end of each
  /// task that leaves the room until the reservation starts, its part is idle.
  struct Slot {
    TimePoint Free;
    double Amount = 0;     ///< Dominant fraction of the shard.
    double AmountByMs = 0; ///< Sum of amount times end, counted from now.
  };
  /// The slots of one worker, the earliest first.
  struct Offer {
    WorkerIndex Worker = NoWorker;
    std::vector<Slot> Slots;
  };
  /// Which slots to hold for one start of the reservation.
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
  std::map<WorkerIndex, Resources> Held;
  bool IsSuspended = false;
  TimePoint Start;
  TimePoint PlannedAt;
};

} // namespace apricotwing

#endif
