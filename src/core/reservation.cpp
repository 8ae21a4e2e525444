#include "core/reservation.h"

#include <algorithm>
#include <tuple>

namespace apricotwing {

void Reservation::release() {
  Run.clear();
  Workers.clear();
}

Reservation::Offer Reservation::offer(const SchedulerData &Data,
                                      WorkerIndex Worker, const Resources &Need,
                                      std::uint32_t Count, bool Preempting,
                                      TimePoint Now) {
  Resources Room = Data.Index.view(Worker).Capacity;
  TimePoint LastEnd = Now;
  for (const TaskRef &Task : Data.State.tasksOn(Worker)) {
    const RunSpec &Spec = Task.Run->Record.Spec;
    const bool Stays = Preempting ? Spec.Urgency == Priority::Urgent
                                  : Spec.Kind == RunKind::Service;
    if (Stays)
      Room -= Task.task().Reserved + Task.task().Excess;
    else
      LastEnd = std::max(LastEnd, Task.task().Since + Data.runTime(*Task.Run));
  }
  const std::uint64_t Slots =
      std::min<std::uint64_t>(slotsIn(Room, Need), Count);
  const bool IsFree = slotsIn(Data.Index.unused(Worker), Need) >= Slots;
  return {IsFree ? Now : LastEnd, Slots, Worker};
}

bool Reservation::plan(const SchedulerData &Data, const RunEntry &Entry,
                       const Resources &Need, std::uint32_t Count,
                       const WorkerMask &Candidates, bool Preempting,
                       TimePoint Now) {
  release();
  std::vector<Offer> Offers;
  Candidates.forEach([&](WorkerIndex Worker) {
    if (!Data.Index.isOpen(Worker) || Data.Index.isProbing(Worker))
      return;
    const Offer Next = offer(Data, Worker, Need, Count, Preempting, Now);
    if (Next.Slots > 0)
      Offers.push_back(Next);
  });
  std::ranges::sort(Offers, [](const Offer &Left, const Offer &Right) {
    return std::tuple(Left.Free, Right.Slots, Left.Worker) <
           std::tuple(Right.Free, Left.Slots, Right.Worker);
  });
  std::uint64_t Covered = 0;
  for (const Offer &Next : Offers) {
    if (Covered >= Count)
      break;
    Covered += Next.Slots;
    Workers.set(Next.Worker, true);
    Start = Next.Free;
  }
  if (Covered < Count) {
    release();
    return false;
  }
  Run = Entry.Record.Id;
  PlannedAt = Now;
  return true;
}

} // namespace apricotwing
