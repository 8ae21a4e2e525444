/// \file
/// Teams whose waiting runs cannot start for now.
#ifndef APRICOTWING_CORE_TEAMSTALLS_H
#define APRICOTWING_CORE_TEAMSTALLS_H

#include "core/reservation.h"
#include "core/schedulerdata.h"

#include <vector>

namespace apricotwing {

/// Remembers what the last look at a team's runs found, so that the team is
/// skipped until something changes that could let one of them start: its queue,
/// its use or bounds, workers or limits, the reservation, or a worker whose
/// room has grown to the least need of its runs. Owned by the placement round;
/// not thread-safe.
class TeamStalls {
public:
  /// Both arguments must outlive this object.
  TeamStalls(SchedulerData &Data, const Reservation &Reserved)
      : Data(Data), Reserved(Reserved) {}

  /// Begins a round; call it before the first isStalled().
  void beginRound();

  /// True if no run of the team can start. Otherwise the caller looks at the
  /// team's runs, passes those without a start to noteBlocked(), and calls
  /// finish() if it has tried all that it may.
  bool isStalled(TeamIndex Team);

  /// A run of a team that is looked at did not start for want of \p Need.
  /// \p IsReservable if a reservation may be made for it.
  void noteBlocked(RunEntry &Run, const Resources &Need, bool IsReservable);

  void finish(TeamIndex Team);

  /// Counts a start, which takes up room that had grown.
  void noteStart() { ++StartsSinceGrown; }

  /// Ends the stalls of all teams, after reserved room has changed.
  void noteReservationChange() { ++RoomVersion; }

  /// The run of a stalled team that has waited longest for room among those
  /// that may have a reservation; null if there is none.
  RunEntry *longestBlocked(TeamIndex Team) const {
    return Stalls[Team].Longest;
  }

private:
  struct Stall {
    std::uint64_t Version = 0; ///< Of the queue; 0: not stalled.
    std::uint64_t Generation = 0;
    std::uint64_t RoomVersion = 0;
    Resources Allocated;
    Resources Cap;
    Resources LeastNeed; ///< Component-wise least of all runs tried.
    RunEntry *Longest = nullptr;
    bool IsOpen = false; ///< Must be looked at in every round.
  };

  void refreshGrown();

  SchedulerData &Data;
  const Reservation &Reserved;
  std::vector<Stall> Stalls;
  std::uint64_t RoomVersion = 1; ///< Grows when reserved room changes.
  Resources LargestGrown; ///< At least the room of each worker that grew.
  std::size_t StartsSinceGrown = 0;
};

} // namespace apricotwing

#endif
