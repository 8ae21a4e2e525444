#include "core/reservation.h"

#include <algorithm>
#include <tuple>

namespace apricotwing {

namespace {

/// The search ends once this many workers were compared and they offer this
/// many times the needed slots, because comparing every worker of a large shard
/// would exceed the time of a tick.
constexpr std::uint32_t MinComparedWorkers = 128;
constexpr std::size_t MinOfferedFactor = 4;

/// A later start is chosen if fewer resources are idle until then, up to this
/// many times the shortest wait.
constexpr std::int64_t MaxWaitFactor = 2;
constexpr std::size_t MaxComparedStarts = 32;

constexpr Duration PlanTolerance{30'000};

/// Expected end of a task. A task that has exceeded its estimate is expected to
/// run for as long again as it has run.
TimePoint expectedEnd(const TaskRef &Task, TimePoint Now) {
  const TaskEntry &Entry = Task.task();
  if (Entry.State == TaskState::Stopping)
    return Now;
  const TimePoint End = Entry.Since + Task.Run->Scheduling.Expected;
  return End > Now ? End : Now + (Now - Entry.Since);
}

} // namespace

Resources Reservation::reservedOn(WorkerIndex Worker) const {
  const auto Found = ReservedByWorker.find(Worker);
  return Found == ReservedByWorker.end() ? Resources{} : Found->second;
}

bool Reservation::isOutdated(TimePoint Now) const {
  if (Now > Start + (Start - PlannedAt) / 2 + PlanTolerance)
    return true;
  return std::ranges::any_of(ReservedByWorker, [this](const auto &Reserved) {
    return !Index.isEligible(Reserved.first);
  });
}

void Reservation::suspend() {
  if (IsSuspended)
    return;
  IsSuspended = true;
  for (const auto &[Worker, Amount] : ReservedByWorker)
    Index.reserve(Worker, Resources{} - Amount);
}

void Reservation::resume() {
  if (!IsSuspended)
    return;
  IsSuspended = false;
  for (const auto &[Worker, Amount] : ReservedByWorker)
    Index.reserve(Worker, Amount);
}

void Reservation::release() {
  suspend();
  IsSuspended = false;
  Run.clear();
  ReservedByWorker.clear();
}

Reservation::Offer Reservation::offerOf(const SchedulerData &Data,
                                        WorkerIndex Worker,
                                        const Resources &Need,
                                        std::uint32_t Count, bool Preempting,
                                        TimePoint Now) {
  std::vector<std::pair<TimePoint, Resources>> Ends;
  for (const TaskRef &Task : Data.State.tasksOn(Worker)) {
    const RunSpec &Spec = Task.Run->Record.Spec;
    const Resources Size = Task.task().occupied();
    if (Preempting && Spec.Urgency == Priority::Normal)
      Ends.emplace_back(Now, Size);
    else if (Spec.Kind != RunKind::Service)
      Ends.emplace_back(expectedEnd(Task, Now), Size);
  }
  std::ranges::sort(Ends, {}, &std::pair<TimePoint, Resources>::first);
  Offer Result{Worker, {}};
  Resources Available = Data.Index.unused(Worker);
  double Amount = Resources::max(Available, {})
                      .dominantFraction(Data.Index.totalCapacity());
  double AmountByMs = 0;
  const auto AddUpTo = [&](std::uint64_t Fitting, TimePoint From) {
    const std::uint64_t Wanted = std::min<std::uint64_t>(Fitting, Count);
    if (Result.Slots.size() >= Wanted)
      return;
    const auto New = double(Wanted - Result.Slots.size());
    Result.Slots.resize(Wanted, {From, Amount / New, AmountByMs / New});
    Amount = AmountByMs = 0;
  };
  AddUpTo(slotsIn(Available, Need), Now);
  for (const auto &[End, Size] : Ends) {
    Available += Size;
    const double Fraction = Size.dominantFraction(Data.Index.totalCapacity());
    Amount += Fraction;
    AmountByMs += Fraction * double((End - Now).count());
    AddUpTo(slotsIn(Available, Need), End);
  }
  return Result;
}

Reservation::Choice Reservation::choose(const std::vector<Offer> &Offers,
                                        std::uint32_t Count, TimePoint Start,
                                        TimePoint Now) {
  struct Candidate {
    double Idle = 0; ///< Per slot.
    std::uint32_t Slots = 0;
    WorkerIndex Worker = NoWorker;
  };
  std::vector<Candidate> Candidates;
  for (const Offer &WorkerOffer : Offers) {
    Candidate New{0, 0, WorkerOffer.Worker};
    for (const Slot &OfferedSlot : WorkerOffer.Slots) {
      if (OfferedSlot.FreeAt > Start)
        break;
      New.Idle += OfferedSlot.Amount * double((Start - Now).count()) -
                  OfferedSlot.AmountByMs;
      ++New.Slots;
    }
    if (New.Slots == 0)
      continue;
    New.Idle /= New.Slots;
    Candidates.push_back(New);
  }
  std::ranges::sort(Candidates,
                    [](const Candidate &Left, const Candidate &Right) {
                      return std::tie(Left.Idle, Left.Worker) <
                             std::tie(Right.Idle, Right.Worker);
                    });
  Choice Result;
  Result.Start = Start;
  std::uint32_t Left = Count;
  for (const Candidate &Cheapest : Candidates) {
    const std::uint32_t Taken = std::min(Left, Cheapest.Slots);
    if (Taken == 0)
      break;
    Left -= Taken;
    Result.Idle += Cheapest.Idle * Taken;
    Result.Tasks.emplace_back(Cheapest.Worker, Taken);
  }
  return Result;
}

std::vector<Reservation::Offer>
Reservation::collectOffers(const SchedulerData &Data, const Resources &Need,
                           std::uint32_t Count, const WorkerMask &Candidates,
                           bool Preempting, TimePoint Now) {
  std::vector<Offer> Offers;
  std::size_t Slots = 0;
  Candidates.forEach([&](WorkerIndex Worker) {
    const bool IsEnough = Offers.size() >= MinComparedWorkers &&
                          Slots >= MinOfferedFactor * Count;
    if (IsEnough || !Data.Index.isEligible(Worker) ||
        Data.Index.isProbing(Worker))
      return;
    Offers.push_back(offerOf(Data, Worker, Need, Count, Preempting, Now));
    Slots += Offers.back().Slots.size();
  });
  return Offers;
}

std::optional<Reservation::Choice>
Reservation::chooseStart(const std::vector<Offer> &Offers, std::uint32_t Count,
                         TimePoint Now) {
  std::vector<TimePoint> Starts;
  for (const Offer &WorkerOffer : Offers)
    for (const Slot &OfferedSlot : WorkerOffer.Slots)
      Starts.push_back(OfferedSlot.FreeAt);
  if (Starts.size() < Count)
    return std::nullopt;
  std::ranges::sort(Starts);
  const TimePoint Earliest = Starts[Count - 1];
  const TimePoint Latest = Now + (Earliest - Now) * MaxWaitFactor;
  Choice Best = choose(Offers, Count, Earliest, Now);
  const std::size_t Step = 1 + (Starts.size() - Count) / MaxComparedStarts;
  for (std::size_t Next = Count - 1 + Step;
       Next < Starts.size() && Starts[Next] <= Latest; Next += Step) {
    Choice Other = choose(Offers, Count, Starts[Next], Now);
    if (Other.Idle < Best.Idle)
      Best = std::move(Other);
  }
  return Best;
}

bool Reservation::plan(const SchedulerData &Data, const RunEntry &Entry,
                       const Resources &Need, std::uint32_t Count,
                       const WorkerMask &Candidates, bool Preempting,
                       TimePoint Now) {
  release();
  const std::optional<Choice> Best =
      chooseStart(collectOffers(Data, Need, Count, Candidates, Preempting, Now),
                  Count, Now);
  if (!Best)
    return false;
  for (const auto &[Worker, Tasks] : Best->Tasks)
    ReservedByWorker[Worker] = Need * Tasks;
  for (const auto &[Worker, Amount] : ReservedByWorker)
    Index.reserve(Worker, Amount);
  Start = Best->Start;
  Run = Entry.Record.Id;
  PlannedAt = Now;
  return true;
}

} // namespace apricotwing
