#include "core/blockedteams.h"

namespace apricotwing {

void BlockedTeams::beginRound() {
  refreshIncreased();
  Teams.resize(Data.Queues.size());
}

void BlockedTeams::refreshIncreased() {
  LargestIncreased = {-1, -1, -1};
  for (const WorkerIndex Worker : Data.Index.increasedWorkers())
    LargestIncreased = Resources::max(
        LargestIncreased,
        Data.Index.available(Worker) + CurrentReservation.reservedOn(Worker));
  StartsSinceRefresh = 0;
}

bool BlockedTeams::isBlocked(TeamIndex Team) {
  BlockedState &Cached = Teams[Team];
  const TeamQueue &Queue = Data.queue(Team);
  // An outdated bound is at worst too large; computing a new one takes a look
  // at each of the workers.
  if (StartsSinceRefresh > Data.Index.increasedWorkers().size() / 8)
    refreshIncreased();
  const bool IsUnchanged =
      Cached.Version == Queue.version() && !Cached.AlwaysRetry &&
      Cached.Generation == Data.Generation &&
      Cached.ReservationVersion == ReservationVersion &&
      Cached.Allocated == Data.Shares.allocated(Team) &&
      Cached.Cap == Queue.cap() && !Cached.MinNeed.fitsIn(LargestIncreased);
  if (IsUnchanged)
    return true;
  Cached = {};
  Cached.MinNeed = {MaxCpuMillisPerTask, MaxMemoryMibPerTask,
                    MaxAcceleratorsPerTask};
  return false;
}

void BlockedTeams::recordBlocked(RunEntry &Run, const Resources &Need,
                                 bool IsReservable) {
  BlockedState &Cached = Teams[Run.Team];
  Cached.MinNeed = Resources::min(Cached.MinNeed, Need);
  // Preemption and the use of claims must continue while the run fits nowhere.
  Cached.AlwaysRetry |=
      Run.Scheduling.Claims > 0 || Run.Record.Spec.Urgency == Priority::Urgent;
  if (Run.Scheduling.BlockReason == WaitReason::NoRoom && IsReservable &&
      (!Cached.LongestWaiting ||
       Run.Scheduling.ReadySince <
           Cached.LongestWaiting->Scheduling.ReadySince))
    Cached.LongestWaiting = &Run;
}

void BlockedTeams::finish(TeamIndex Team) {
  BlockedState &Cached = Teams[Team];
  Cached.Version = Data.queue(Team).version();
  Cached.Generation = Data.Generation;
  Cached.ReservationVersion = ReservationVersion;
  Cached.Allocated = Data.Shares.allocated(Team);
  Cached.Cap = Data.queue(Team).cap();
}

} // namespace apricotwing
