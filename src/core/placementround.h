/// \file
/// The placement part of a tick.
#ifndef APRICOTWING_CORE_PLACEMENTROUND_H
#define APRICOTWING_CORE_PLACEMENTROUND_H

#include "core/feasibility.h"
#include "core/placer.h"
#include "core/preemptionclaims.h"
#include "core/preemptionplanner.h"
#include "core/reservation.h"
#include "core/runlifecycle.h"
#include "core/teamstalls.h"

#include <deque>
#include <map>
#include <vector>

namespace apricotwing {

/// Binds waiting tasks to workers: the team with the lowest use for its share
/// is next; its runs are tried in order, later ones as backfill; urgent runs
/// without room displace others; a run that waits long gets a reservation.
/// Owned by the shard's scheduler; not thread-safe.
class PlacementRound {
public:
  /// Both arguments must outlive this object.
  PlacementRound(SchedulerData &Data, RunLifecycle &Lifecycle)
      : Data(Data), Lifecycle(Lifecycle), Possible(Data), Planner(Data) {}

  /// One round; bounded by the options.
  void run(TimePoint Now);

  /// Checks a part of the runs that were set aside after workers or limits
  /// have changed.
  void reconsiderSetAside(TimePoint Now);

  /// Adds the runs that a restored state has set aside.
  void adoptSetAside();

  /// Run that workers are being freed for; empty if none.
  const RunId &reservedFor() const { return Reserved.run(); }

  /// Runs that were set aside; some may have ended since.
  const std::deque<RunId> &setAsideRuns() const { return SetAside; }

private:
  enum class Attempt { Started, Blocked, Left };

  struct Turn {
    double Rank = 0;
    TeamIndex Team = 0;
    QueueKey Next; ///< First run to try.
    std::uint32_t Tried = 0;

    friend bool operator>(const Turn &Left, const Turn &Right) {
      return std::tie(Left.Rank, Left.Team) > std::tie(Right.Rank, Right.Team);
    }
  };
  /// A search that found nothing; room only shrinks within a round.
  struct Miss {
    Resources Need;
    const WorkerMask *Matching = nullptr;
  };

  void placeByTurns(TimePoint Now);
  void tryHolder(TimePoint Now);
  bool isReservable(const RunEntry &Run) const;
  bool mayReserve(const RunEntry &Run, TimePoint Now) const;
  bool takeTurn(Turn &Current, TimePoint Now);
  Attempt tryRun(RunEntry &Run, TimePoint Now);
  Attempt tryGang(RunEntry &Run, const Resources &Need, TimePoint Now);
  Attempt tryTask(RunEntry &Run, const Resources &Need, TimePoint Now);
  Attempt block(RunEntry &Run, WaitReason Why);
  Attempt blockForRoom(RunEntry &Run, bool WithReserved);
  bool checkFeasible(RunEntry &Run, TimePoint Now);
  bool exceedsCap(RunEntry &Run, const Resources &Needed);
  bool mayUseReserved(const RunEntry &Run, TimePoint Now) const;
  WorkerIndex search(RunEntry &Run, const Resources &Need);
  WorkerIndex backfill(const RunEntry &Run, const Resources &Need);
  bool isKnownMiss(const Resources &Need, const WorkerMask *Matching) const;
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
  Feasibility Possible;
  PreemptionPlanner Planner;
  Reservation Reserved{Data.Index};
  TeamStalls Stalls{Data, Reserved};
  TimePoint NextReservation; ///< Earliest new attempt to reserve.
  PreemptionClaims Claims{Data};
  std::deque<RunId> SetAside;
  std::size_t ToReconsider = 0;
  std::uint64_t ReconsideredGeneration = 0;

  // Within one round.
  std::uint32_t StartsLeft = 0;
  std::uint32_t SearchesLeft = 0;
  std::vector<RunEntry *> WithoutRoom;
  std::vector<Miss> Misses;
  std::map<const RunEntry *, SpreadCounts> Spreads;
};

} // namespace apricotwing

#endif
