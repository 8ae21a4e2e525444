#include "core/teamstalls.h"

namespace apricotwing {

void TeamStalls::beginRound() {
  refreshGrown();
  Stalls.resize(Data.Queues.size());
}

void TeamStalls::refreshGrown() {
  LargestGrown = {-1, -1, -1};
  for (const WorkerIndex Worker : Data.Index.grown())
    LargestGrown = Resources::max(LargestGrown, Data.Index.room(Worker) +
                                                    Reserved.heldOn(Worker));
  StartsSinceGrown = 0;
}

bool TeamStalls::isStalled(TeamIndex Team) {
  Stall &Known = Stalls[Team];
  const TeamQueue &Queue = Data.queue(Team);
  // An old bound is too large at worst; a new one costs a look at each worker.
  if (StartsSinceGrown > Data.Index.grown().size() / 8)
    refreshGrown();
  const bool Holds =
      Known.Version == Queue.version() && !Known.IsOpen &&
      Known.Generation == Data.Generation && Known.RoomVersion == RoomVersion &&
      Known.Allocated == Data.Shares.allocated(Team) &&
      Known.Cap == Queue.cap() && !Known.LeastNeed.fitsIn(LargestGrown);
  if (Holds)
    return true;
  Known = {};
  Known.LeastNeed = {MaxCpuMillisPerTask, MaxMemoryMibPerTask,
                     MaxAcceleratorsPerTask};
  return false;
}

void TeamStalls::noteBlocked(RunEntry &Run, const Resources &Need,
                             bool IsReservable) {
  Stall &Known = Stalls[Run.Team];
  Known.LeastNeed = Resources::min(Known.LeastNeed, Need);
  // Preemption and claims go on while no worker has room.
  Known.IsOpen |=
      Run.Work.Claims > 0 || Run.Record.Spec.Urgency == Priority::Urgent;
  if (Run.Work.Why == WaitReason::NoRoom && IsReservable &&
      (!Known.Longest || Run.Work.ReadySince < Known.Longest->Work.ReadySince))
    Known.Longest = &Run;
}

void TeamStalls::finish(TeamIndex Team) {
  Stall &Known = Stalls[Team];
  Known.Version = Data.queue(Team).version();
  Known.Generation = Data.Generation;
  Known.RoomVersion = RoomVersion;
  Known.Allocated = Data.Shares.allocated(Team);
  Known.Cap = Data.queue(Team).cap();
}

} // namespace apricotwing
