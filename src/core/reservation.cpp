#include "core/reservation.h"

#include <algorithm>
#include <tuple>

namespace apricotwing {

namespace {

/// Looking at every worker of a large shard takes longer than a tick affords;
/// the search ends once this many workers were compared and they offer this
/// many times the slots needed.
constexpr std::uint32_t ComparedWorkers = 128;
constexpr std::size_t OfferedFactor = 4;

constexpr Duration PlanTolerance{30'000};

/// Expected end of a task. One that has outlived its estimate is expected to
/// run as long again.
TimePoint expectedEnd(const TaskRef &Task, TimePoint Now) {
  const TaskEntry &Entry = Task.task();
  if (Entry.State == TaskState::Stopping)
    return Now;
  const TimePoint End = Entry.Since + Task.Run->Work.Expected;
  return End > Now ? End : Now + (Now - Entry.Since);
}

} // namespace

Resources Reservation::heldOn(WorkerIndex Worker) const {
  const auto Found = Held.find(Worker);
  return Found == Held.end() ? Resources{} : Found->second;
}

bool Reservation::isOutdated(TimePoint Now) const {
  if (Now > Start + (Start - PlannedAt) / 2 + PlanTolerance)
    return true;
  return std::ranges::any_of(
      Held, [this](const auto &One) { return !Index.isOpen(One.first); });
}

void Reservation::suspend() {
  if (IsSuspended)
    return;
  IsSuspended = true;
  for (const auto &[Worker, Amount] : Held)
    Index.hold(Worker, Resources{} - Amount);
}

void Reservation::resume() {
  if (!IsSuspended)
    return;
  IsSuspended = false;
  for (const auto &[Worker, Amount] : Held)
    Index.hold(Worker, Amount);
}

void Reservation::release() {
  suspend();
  IsSuspended = false;
  Run.clear();
  Held.clear();
}

void Reservation::addSlots(const SchedulerData &Data, WorkerIndex Worker,
                           const Resources &Need, std::uint32_t Count,
                           bool Preempting, TimePoint Now,
                           std::vector<Slot> &Slots) {
  std::vector<std::pair<TimePoint, Resources>> Ends;
  for (const TaskRef &Task : Data.State.tasksOn(Worker)) {
    const RunSpec &Spec = Task.Run->Record.Spec;
    const Resources Size = Task.task().Reserved + Task.task().Excess;
    if (Preempting && Spec.Urgency == Priority::Normal)
      Ends.emplace_back(Now, Size);
    else if (Spec.Kind != RunKind::Service)
      Ends.emplace_back(expectedEnd(Task, Now), Size);
  }
  std::ranges::sort(Ends, {}, &std::pair<TimePoint, Resources>::first);
  Resources Room = Data.Index.unused(Worker);
  std::uint64_t Found = 0;
  const auto AddUpTo = [&](std::uint64_t Fitting, TimePoint From) {
    for (; Found < std::min<std::uint64_t>(Fitting, Count); ++Found)
      Slots.push_back({From, Worker});
  };
  AddUpTo(slotsIn(Room, Need), Now);
  for (const auto &[End, Size] : Ends) {
    Room += Size;
    AddUpTo(slotsIn(Room, Need), End);
  }
}

bool Reservation::plan(const SchedulerData &Data, const RunEntry &Entry,
                       const Resources &Need, std::uint32_t Count,
                       const WorkerMask &Candidates, bool Preempting,
                       TimePoint Now) {
  release();
  std::vector<Slot> Slots;
  std::uint32_t Compared = 0;
  Candidates.forEach([&](WorkerIndex Worker) {
    const bool IsEnough =
        Compared >= ComparedWorkers && Slots.size() >= OfferedFactor * Count;
    if (IsEnough || !Data.Index.isOpen(Worker) || Data.Index.isProbing(Worker))
      return;
    ++Compared;
    addSlots(Data, Worker, Need, Count, Preempting, Now, Slots);
  });
  if (Slots.size() < Count)
    return false;
  std::ranges::sort(Slots, [](const Slot &Left, const Slot &Right) {
    return std::tie(Left.Free, Left.Worker) <
           std::tie(Right.Free, Right.Worker);
  });
  Slots.resize(Count);
  for (const Slot &Chosen : Slots)
    Held[Chosen.Worker] += Need;
  for (const auto &[Worker, Amount] : Held)
    Index.hold(Worker, Amount);
  Start = Slots.back().Free;
  Run = Entry.Record.Id;
  PlannedAt = Now;
  return true;
}

} // namespace apricotwing
