#include "core/reservation.h"

#include <algorithm>
#include <tuple>

namespace apricotwing {

namespace {

/// Looking at every worker of a large shard takes longer than a tick affords;
/// the search ends once this many workers were compared and they offer this
/// many times the slots needed.
constexpr std::uint32_t ComparedWorkers = 128;
constexpr std::uint64_t OfferedFactor = 4;

} // namespace

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
      LastEnd = std::max(LastEnd, Task.task().Since + Task.Run->Work.Expected);
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
  std::uint64_t Offered = 0;
  std::uint32_t Compared = 0;
  Candidates.forEach([&](WorkerIndex Worker) {
    if ((Compared >= ComparedWorkers &&
         Offered >= std::uint64_t(Count) * OfferedFactor) ||
        !Data.Index.isOpen(Worker) || Data.Index.isProbing(Worker))
      return;
    const Offer Next = offer(Data, Worker, Need, Count, Preempting, Now);
    ++Compared;
    Offered += Next.Slots;
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
