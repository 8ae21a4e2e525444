/// \file
/// Cache of the teams whose waiting runs currently cannot start.
#ifndef APRICOTWING_CORE_BLOCKEDTEAMS_H
#define APRICOTWING_CORE_BLOCKEDTEAMS_H

#include "core/reservation.h"
#include "core/schedulerdata.h"

#include <vector>

namespace apricotwing {

/// Caches that none of a team's runs could start, so that the team is skipped
/// until a change could let one of them start: in its queue, its allocation or
/// cap, the workers or limits, the reservation, or a worker whose available
/// resources have increased to the minimum need of its runs. Owned by the
/// placement round; not thread-safe.
class BlockedTeams {
public:
  /// Both arguments must outlive this object.
  BlockedTeams(SchedulerData &Data, const Reservation &CurrentReservation)
      : Data(Data), CurrentReservation(CurrentReservation) {}

  /// Begins a round; call it before the first isBlocked() of the round.
  void beginRound();

  /// True if no run of the team can start. Otherwise the caller tries the
  /// team's runs, passes those that did not start to recordBlocked(), and calls
  /// finish() once it has tried all that it may.
  bool isBlocked(TeamIndex Team);

  /// Records that a run, whose tasks need \p Need each, did not start.
  /// \p IsReservable is true if it may get a reservation.
  void recordBlocked(RunEntry &Run, const Resources &Need, bool IsReservable);

  void finish(TeamIndex Team);

  /// Counts a start, which uses up some of the resources that became available.
  void recordStart() { ++StartsSinceRefresh; }

  /// Invalidates the cache of all teams after the reservation has changed.
  void recordReservationChange() { ++ReservationVersion; }

  /// The run of a blocked team that has waited longest for resources, among the
  /// runs that may get a reservation; null if there is none.
  RunEntry *longestBlocked(TeamIndex Team) const {
    return Teams[Team].LongestWaiting;
  }

private:
  struct BlockedState {
    std::uint64_t Version = 0; ///< Version of the queue; 0 if not blocked.
    std::uint64_t Generation = 0;
    std::uint64_t ReservationVersion = 0;
    Resources Allocated;
    Resources Cap;
    Resources MinNeed; ///< Component-wise minimum over all tried runs.
    RunEntry *LongestWaiting = nullptr;
    bool AlwaysRetry = false; ///< Must be tried in every round.
  };

  void refreshIncreased();

  SchedulerData &Data;
  const Reservation &CurrentReservation;
  std::vector<BlockedState> Teams;
  std::uint64_t ReservationVersion = 1; ///< Incremented on each change.
  /// Upper bound of the resources available on each worker with an increase.
  Resources LargestIncreased;
  std::size_t StartsSinceRefresh = 0;
};

} // namespace apricotwing

#endif
