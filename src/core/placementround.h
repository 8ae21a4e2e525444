/// \file
/// Placement of waiting tasks within a tick.
#ifndef APRICOTWING_CORE_PLACEMENTROUND_H
#define APRICOTWING_CORE_PLACEMENTROUND_H

#include "core/blockedteams.h"
#include "core/feasibility.h"
#include "core/placer.h"
#include "core/preemptionclaims.h"
#include "core/preemptionplanner.h"
#include "core/reservation.h"
#include "core/runlifecycle.h"

#include <deque>
#include <map>
#include <vector>

namespace apricotwing {

/// Assigns waiting tasks to workers. The team with the lowest allocation
/// relative to its weight is next; its runs are tried in order, later ones as
/// backfill. Urgent runs that do not fit preempt others; a run that has waited
/// long gets a reservation. Owned by the shard's scheduler; not thread-safe.
class PlacementRound {
public:
  /// Both arguments must outlive this object.
  PlacementRound(SchedulerData &Data, RunLifecycle &Lifecycle)
      : Data(Data), Lifecycle(Lifecycle), Feasible(Data), Planner(Data) {}

  /// Executes one round; its work is bounded by the options.
  void run(TimePoint Now);

  /// Checks some of the unschedulable runs again after workers or limits have
  /// changed.
  void recheckUnschedulable(TimePoint Now);

  /// Adds the unschedulable runs of a restored state.
  void restoreUnschedulable();

  /// Run that has the reservation; empty if there is none.
  const RunId &reservedFor() const { return CurrentReservation.run(); }

  /// Runs that were marked unschedulable; some may have ended since.
  const std::deque<RunId> &unschedulableRuns() const { return Unschedulable; }

private:
  enum class Attempt { Started, Blocked, Removed };

  struct Turn {
    double Rank = 0;
    TeamIndex Team = 0;
    QueueKey Next; ///< First run to try.
    std::uint32_t Tried = 0;

    friend bool operator>(const Turn &Left, const Turn &Right) {
      return std::tie(Left.Rank, Left.Team) > std::tie(Right.Rank, Right.Team);
    }
  };
  /// A search that found no worker. Available resources only shrink within a
  /// round, so a search for the same or more would fail as well.
  struct FailedSearch {
    Resources Need;
    const WorkerMask *Matching = nullptr;
  };

  void placeByTurns(TimePoint Now);
  void tryReservedRun(TimePoint Now);
  bool isReservable(const RunEntry &Run) const;
  bool mayReserve(const RunEntry &Run, TimePoint Now) const;
  bool takeTurn(Turn &Current, TimePoint Now);
  Attempt tryRun(RunEntry &Run, TimePoint Now);
  Attempt tryGang(RunEntry &Run, const Resources &Need, TimePoint Now);
  Attempt tryTask(RunEntry &Run, const Resources &Need, TimePoint Now);
  Attempt block(RunEntry &Run, WaitReason Reason);
  Attempt blockForResources(RunEntry &Run, bool IncludesReserved);
  bool checkFeasible(RunEntry &Run, TimePoint Now);
  bool exceedsCap(RunEntry &Run, const Resources &Needed);
  bool mayUseReserved(const RunEntry &Run, TimePoint Now) const;
  WorkerIndex search(RunEntry &Run, const Resources &Need);
  WorkerIndex backfill(const RunEntry &Run, const Resources &Need);
  bool isKnownToFail(const Resources &Need, const WorkerMask *Matching) const;
  void preempt(TimePoint Now);
  void preemptFor(RunEntry &Run, TimePoint Now);
  void updateReservation(TimePoint Now);
  void chooseReservation(TimePoint Now);
  bool renewReservation(TimePoint Now);
  void releaseReservation(const RunEntry &Run);
  bool reserveFor(RunEntry &Run, TimePoint Now);
  void preemptOnReserved(const RunEntry &Run, TimePoint Now);
  SpreadCounts &spreadOf(const RunEntry &Run);

  SchedulerData &Data;
  RunLifecycle &Lifecycle;
  Feasibility Feasible;
  PreemptionPlanner Planner;
  Reservation CurrentReservation{Data.Index};
  BlockedTeams BlockedTeamCache{Data, CurrentReservation};
  TimePoint NextReservation; ///< Earliest time of the next new reservation.
  PreemptionClaims Claims{Data};
  std::deque<RunId> Unschedulable;
  std::size_t RechecksLeft = 0;
  std::uint64_t RecheckedGeneration = 0;

  // State of one round.
  std::uint32_t StartsLeft = 0;
  std::uint32_t SearchesLeft = 0;
  std::vector<RunEntry *> RunsWithoutResources;
  std::vector<FailedSearch> FailedSearches;
  std::map<const RunEntry *, SpreadCounts> Spreads;
};

} // namespace apricotwing

#endif
