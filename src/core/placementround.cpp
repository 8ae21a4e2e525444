#include "core/placementround.h"

#include "core/batchplacer.h"
#include "core/gangplacer.h"
#include "core/serviceplacer.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <tuple>

namespace apricotwing {

namespace {

constexpr std::size_t MaxMisses = 64;
constexpr std::size_t MaxRunsWithoutRoom = 256;
/// A task is large if fewer than this many fit on the largest worker.
constexpr std::int64_t LargeTasksPerWorker = 2;

/// A search for victims that fails has looked at every worker, so a tick
/// affords only a few.
constexpr std::uint32_t MaxFailedPreemptions = 4;
constexpr std::size_t ReconsideredPerTick = 1000;

bool isUrgentGang(const RunEntry &Run) {
  return Run.Record.Spec.Kind == RunKind::Gang &&
         Run.Record.Spec.Urgency == Priority::Urgent;
}

} // namespace

void PlacementRound::run(TimePoint Now) {
  StartsLeft = Data.Options.MaxStartsPerTick;
  SearchesLeft = Data.Options.MaxSearchesPerTick;
  WithoutRoom.clear();
  Misses.clear();
  Spreads.clear();
  Claims.dropStale(Now);
  reconsiderSetAside(Now);
  placeByTurns(Now);
  updateReservation(Now);
  preempt(Now);
}

void PlacementRound::placeByTurns(TimePoint Now) {
  std::priority_queue<Turn, std::vector<Turn>, std::greater<>> Turns;
  for (TeamIndex Team = 0; Team < Data.Queues.size(); ++Team)
    if (const auto &Runs = Data.queue(Team).runs(); !Runs.empty())
      Turns.push({Data.Shares.rank(Team), Team, Runs.begin()->first, 0});
  tryHolder(Now);
  Stalls.beginRound();
  while (!Turns.empty() && StartsLeft > 0 && SearchesLeft > 0) {
    Turn Current = Turns.top();
    Turns.pop();
    if (Current.Tried == 0 && Stalls.isStalled(Current.Team)) {
      if (RunEntry *Run = Stalls.longestBlocked(Current.Team))
        WithoutRoom.push_back(Run);
      continue;
    }
    if (takeTurn(Current, Now))
      Turns.push(Current);
    else
      Stalls.finish(Current.Team);
  }
  // Teams that were not reached have not seen the workers that grew.
  if (Turns.empty())
    Data.Index.clearGrown();
}

void PlacementRound::tryHolder(TimePoint Now) {
  // Its turn may never come behind the other runs of its team.
  RunEntry *Holder = Data.State.find(Reserved.run());
  if (Holder && Holder->Work.Queued)
    tryRun(*Holder, Now);
}

bool PlacementRound::takeTurn(Turn &Current, TimePoint Now) {
  const TeamQueue::Runs &Runs = Data.queue(Current.Team).runs();
  const auto Next = Runs.lower_bound(Current.Next);
  if (Next == Runs.end() || Current.Tried >= Data.Options.BackfillDepth)
    return false;
  Current.Next = Next->first;
  const Attempt Result = tryRun(*Next->second, Now);
  if (Result == Attempt::Started) {
    Stalls.noteStart();
    Current.Rank = Data.Shares.rank(Current.Team);
    return true;
  }
  if (Result == Attempt::Blocked)
    ++Current.Tried;
  ++Current.Next.Order;
  return true;
}

PlacementRound::Attempt PlacementRound::block(RunEntry &Run, WaitReason Why) {
  Run.Work.Why = Why;
  return Attempt::Blocked;
}

PlacementRound::Attempt PlacementRound::blockForRoom(RunEntry &Run,
                                                     bool WithReserved) {
  if (WithoutRoom.size() < MaxRunsWithoutRoom)
    WithoutRoom.push_back(&Run);
  return block(Run,
               WithReserved ? WaitReason::NoRoom : WaitReason::ReservedRoom);
}

bool PlacementRound::checkFeasible(RunEntry &Run, TimePoint Now) {
  if (Run.Work.CheckedGeneration == Data.Generation)
    return true;
  const std::string Obstacle = Possible.obstacle(Run);
  Run.Work.CheckedGeneration = Data.Generation;
  if (Obstacle.empty())
    return true;
  Lifecycle.setAside(Run, Obstacle, Now);
  SetAside.push_back(Run.Record.Id);
  return false;
}

bool PlacementRound::exceedsCap(RunEntry &Run, const Resources &Needed) {
  const TeamQueue &Queue = Data.queue(Run);
  const Resources After = Data.Shares.allocated(Run.Team) + Needed;
  if (After.fitsIn(Queue.cap()))
    return false;
  block(Run,
        After.fitsIn(Queue.Limit) ? WaitReason::Grant : WaitReason::TeamLimit);
  return true;
}

PlacementRound::Attempt PlacementRound::tryRun(RunEntry &Run, TimePoint Now) {
  if (!checkFeasible(Run, Now))
    return Attempt::Left;
  const Resources Need = Possible.reservation(Run);
  const Attempt Result = Run.Record.Spec.Kind == RunKind::Gang
                             ? tryGang(Run, Need, Now)
                             : tryTask(Run, Need, Now);
  if (Result == Attempt::Blocked)
    Stalls.noteBlocked(Run, Need, isReservable(Run));
  return Result;
}

bool PlacementRound::mayUseReserved(const RunEntry &Run, TimePoint Now) const {
  if (!Reserved.isActive() || Reserved.run() == Run.Record.Id)
    return true;
  return Run.Record.Spec.Kind != RunKind::Service &&
         Now + Run.Work.Expected <= Reserved.start();
}

PlacementRound::Attempt
PlacementRound::tryGang(RunEntry &Run, const Resources &Need, TimePoint Now) {
  const auto Count = std::uint32_t(Run.Work.Ready.size());
  if (Run.Active > 0 || Run.Work.Delayed > 0)
    return block(Run, WaitReason::GangIncomplete);
  if (exceedsCap(Run, Need * Count))
    return Attempt::Blocked;
  --SearchesLeft;
  const bool IsHolder = Reserved.run() == Run.Record.Id;
  if (IsHolder)
    Reserved.suspend();
  PlacementRequest Request;
  Request.Need = Need;
  Request.Count = Count;
  Request.Candidates = &Data.Index.matching(Run.Record.Spec.Selector);
  const std::vector<WorkerIndex> Workers =
      GangPlacer().place(Data.Index, Request);
  Reserved.resume();
  if (Workers.empty())
    return blockForRoom(Run, IsHolder || !Reserved.isActive());
  releaseReservation(Run);
  for (const WorkerIndex Worker : Workers)
    Lifecycle.start(Run, Worker, Need, Now);
  StartsLeft -= std::min(StartsLeft, Count);
  return Attempt::Started;
}

PlacementRound::Attempt
PlacementRound::tryTask(RunEntry &Run, const Resources &Need, TimePoint Now) {
  if (exceedsCap(Run, Need))
    return Attempt::Blocked;
  const bool IsHolder = Reserved.run() == Run.Record.Id;
  if (IsHolder)
    Reserved.suspend();
  WorkerIndex Worker = Claims.take(Run, Need);
  // Few runs may use reserved room, so they leave the rest to the others.
  if (Worker == NoWorker && !IsHolder && mayUseReserved(Run, Now))
    Worker = backfill(Run, Need);
  if (Worker == NoWorker)
    Worker = search(Run, Need);
  Reserved.resume();
  if (Worker == NoWorker)
    return blockForRoom(Run, IsHolder || !Reserved.isActive());
  releaseReservation(Run);
  if (Run.Record.Spec.Kind == RunKind::Service)
    spreadOf(Run).add(Data.Index, Worker);
  Lifecycle.start(Run, Worker, Need, Now);
  --StartsLeft;
  return Attempt::Started;
}

void PlacementRound::releaseReservation(const RunEntry &Run) {
  if (Reserved.run() != Run.Record.Id)
    return;
  Reserved.release();
  Stalls.noteReservationChange();
}

bool PlacementRound::isKnownMiss(const Resources &Need,
                                 const WorkerMask *Matching) const {
  return std::ranges::any_of(Misses, [&](const Miss &Known) {
    return Known.Matching == Matching && Known.Need.fitsIn(Need);
  });
}

WorkerIndex PlacementRound::backfill(const RunEntry &Run,
                                     const Resources &Need) {
  const WorkerMask &Matching = Data.Index.matching(Run.Record.Spec.Selector);
  const std::set<WorkerIndex> *Failed = Data.Health.failedOn(Run.Record.Id);
  for (const auto &[Worker, Amount] : Reserved.held())
    if (Matching.test(Worker) && Data.Index.isOpen(Worker) &&
        !(Failed && Failed->contains(Worker)) &&
        Need.fitsIn(Data.Index.unused(Worker) + Amount))
      return Worker;
  return NoWorker;
}

SpreadCounts &PlacementRound::spreadOf(const RunEntry &Run) {
  const auto [Found, Inserted] = Spreads.try_emplace(&Run);
  if (Inserted)
    for (const TaskEntry &Task : Run.Tasks)
      if (Task.isActive())
        Found->second.add(Data.Index, Task.Worker);
  return Found->second;
}

WorkerIndex PlacementRound::search(RunEntry &Run, const Resources &Need) {
  const WorkerMask *Matching = &Data.Index.matching(Run.Record.Spec.Selector);
  // The holder sees more room than others, so their misses say nothing.
  const bool IsHolder = Reserved.run() == Run.Record.Id;
  if (SearchesLeft == 0 || (!IsHolder && isKnownMiss(Need, Matching)))
    return NoWorker;
  --SearchesLeft;
  const WorkerMask &Mask = *Matching;
  // A worker on which the run has failed is the last choice.
  const std::set<WorkerIndex> *Failed = Data.Health.failedOn(Run.Record.Id);
  WorkerMask Preferred = Mask;
  if (Failed)
    for (const WorkerIndex Worker : *Failed)
      Preferred.set(Worker, false);
  const bool IsService = Run.Record.Spec.Kind == RunKind::Service;
  PlacementRequest Request;
  Request.Need = Need;
  Request.Candidates = &Preferred;
  Request.Dominant = dominantResource(Need, Data.Index.totalCapacity());
  Request.Placed = IsService ? &spreadOf(Run) : nullptr;
  const auto Place = [&] {
    if (!IsService)
      return BatchPlacer::placeOne(Data.Index, Request);
    const std::vector<WorkerIndex> Found =
        ServicePlacer().place(Data.Index, Request);
    return Found.empty() ? NoWorker : Found.front();
  };
  WorkerIndex Worker = Place();
  if (Worker == NoWorker && Failed) {
    Request.Candidates = &Mask;
    Worker = Place();
  }
  if (Worker == NoWorker && Misses.size() < MaxMisses)
    Misses.push_back({Need, Matching});
  return Worker;
}

void PlacementRound::preempt(TimePoint Now) {
  std::uint32_t Left = Data.Options.MaxPreemptionsPerTick;
  std::uint32_t FailuresLeft = MaxFailedPreemptions;
  for (RunEntry *Run : WithoutRoom) {
    const RunSpec &Spec = Run->Record.Spec;
    if (Spec.Urgency != Priority::Urgent || Spec.Kind == RunKind::Gang ||
        Run->isEnding())
      continue;
    while (Left > 0 && Run->Work.Claims < Run->Work.Ready.size()) {
      --Left;
      const std::uint32_t Before = Run->Work.Claims;
      preemptFor(*Run, Now);
      if (Run->Work.Claims != Before)
        continue;
      --FailuresLeft;
      break;
    }
    if (FailuresLeft == 0)
      return;
  }
}

void PlacementRound::preemptFor(RunEntry &Run, TimePoint Now) {
  const Resources Need = Possible.reservation(Run);
  const Resources After = Data.Shares.allocated(Run.Team) +
                          Need * (std::int64_t(Run.Work.Claims) + 1);
  if (!After.fitsIn(Data.queue(Run).cap()))
    return;
  const std::optional<PreemptionPlan> Plan = Planner.plan(
      Run, Need, Data.Index.matching(Run.Record.Spec.Selector), Now);
  if (!Plan || Plan->Victims.size() > Data.StopBudget)
    return;
  for (const TaskRef &Victim : Plan->Victims)
    Lifecycle.stop(Victim, StopReason::Preempted, Now);
  Claims.add(Run, Plan->Worker, Need, Now);
}

bool PlacementRound::reserveFor(RunEntry &Run, TimePoint Now) {
  const RunSpec &Spec = Run.Record.Spec;
  const bool IsGang = Spec.Kind == RunKind::Gang;
  const bool Preempting = isUrgentGang(Run);
  const Resources Need = Possible.reservation(Run);
  if (!Reserved.plan(Data, Run, Need,
                     IsGang ? std::uint32_t(Run.Work.Ready.size()) : 1,
                     Data.Index.matching(Spec.Selector), Preempting, Now))
    return false;
  if (Preempting)
    preemptOnReserved(Run, Now);
  return true;
}

void PlacementRound::preemptOnReserved(const RunEntry &Run, TimePoint Now) {
  for (const auto &[Worker, Amount] : Reserved.held()) {
    Resources Room = Data.Index.unused(Worker) + Amount;
    const std::vector<TaskRef> Tasks = Data.State.tasksOn(Worker);
    for (const TaskRef &Task : Tasks)
      if (Task.task().State == TaskState::Stopping)
        Room += Task.task().occupied();
    for (const TaskRef &Task : Tasks) {
      if (Amount.fitsIn(Room))
        break;
      if (Planner.isVictim(Task, Run, Now) &&
          Lifecycle.stop(Task, StopReason::Preempted, Now))
        Room += Task.task().occupied();
    }
  }
}

bool PlacementRound::renewReservation(TimePoint Now) {
  if (!Reserved.isActive())
    return false;
  RunEntry *Run = Data.State.find(Reserved.run());
  if (!Run || Run->isEnding() || !Run->Work.Queued) {
    Reserved.release();
    return false;
  }
  if (Reserved.isOutdated(Now))
    return reserveFor(*Run, Now);
  // Stops that exceeded an earlier tick's budget are made up for.
  if (isUrgentGang(*Run))
    preemptOnReserved(*Run, Now);
  return true;
}

void PlacementRound::updateReservation(TimePoint Now) {
  const RunId Before = Reserved.run();
  const TimePoint StartBefore = Reserved.start();
  chooseReservation(Now);
  if (Reserved.run() != Before || Reserved.start() != StartBefore)
    Stalls.noteReservationChange();
}

bool PlacementRound::isReservable(const RunEntry &Run) const {
  const RunSpec &Spec = Run.Record.Spec;
  // Small tasks find room as soon as it is their team's turn.
  return Spec.Kind == RunKind::Gang ||
         (Spec.PerTask * LargeTasksPerWorker)
                 .dominantFraction(Data.Index.largestCapacity()) > 1;
}

bool PlacementRound::mayReserve(const RunEntry &Run, TimePoint Now) const {
  if (isUrgentGang(Run))
    return true;
  return Now - Run.Work.ReadySince >= Data.Options.ReservationDelay &&
         isReservable(Run);
}

void PlacementRound::chooseReservation(TimePoint Now) {
  const bool IsHeld = renewReservation(Now);
  RunEntry *Holder = IsHeld ? Data.State.find(Reserved.run()) : nullptr;
  RunEntry *Best = nullptr;
  const auto Urgency = [this](const RunEntry &Entry) {
    return std::tuple(Entry.Record.Spec.Urgency == Priority::Normal,
                      Data.Shares.isAboveShare(Entry.Team),
                      Entry.Work.ReadySince);
  };
  for (RunEntry *Run : WithoutRoom) {
    if (Run == Holder || !mayReserve(*Run, Now))
      continue;
    if (!Best || Urgency(*Run) < Urgency(*Best))
      Best = Run;
  }
  if (!Best)
    return;
  const bool Replaces = Holder &&
                        Best->Record.Spec.Urgency == Priority::Urgent &&
                        Holder->Record.Spec.Urgency == Priority::Normal;
  if ((Holder && !Replaces) || Now < NextReservation)
    return;
  NextReservation = Now + Data.Options.ReservationRetry;
  reserveFor(*Best, Now);
}

void PlacementRound::adoptSetAside() {
  for (const auto &[Order, Run] : Data.State.runs())
    if (Run->Record.State == RunState::Unschedulable)
      SetAside.push_back(Run->Record.Id);
}

void PlacementRound::reconsiderSetAside(TimePoint Now) {
  if (ReconsideredGeneration != Data.Generation) {
    ReconsideredGeneration = Data.Generation;
    ToReconsider = SetAside.size();
  }
  for (std::size_t Done = 0; Done < ReconsideredPerTick && ToReconsider > 0;
       ++Done) {
    --ToReconsider;
    const RunId Id = SetAside.front();
    SetAside.pop_front();
    RunEntry *Run = Data.State.find(Id);
    if (!Run || Run->Record.State != RunState::Unschedulable)
      continue;
    Run->Work.CheckedGeneration = Data.Generation;
    if (Possible.obstacle(*Run).empty())
      Lifecycle.bringBack(*Run, Now);
    else
      SetAside.push_back(Id);
  }
}

} // namespace apricotwing
