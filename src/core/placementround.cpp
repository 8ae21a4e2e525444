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

constexpr std::size_t MaxFailedSearches = 64;
constexpr std::size_t MaxRunsWithoutRoom = 256;
/// A task is large if fewer than this many fit on the largest worker.
constexpr std::int64_t LargeTasksPerWorker = 2;

/// Maximum number of failed searches for preemption victims in a tick, because
/// a failed search has examined every worker.
constexpr std::uint32_t MaxFailedPreemptions = 4;
constexpr std::size_t MaxRechecksPerTick = 1000;

bool isUrgentGang(const RunEntry &Run) {
  return Run.Record.Spec.Kind == RunKind::Gang &&
         Run.Record.Spec.Urgency == Priority::Urgent;
}

} // namespace

void PlacementRound::run(TimePoint Now) {
  StartsLeft = Data.Options.MaxStartsPerTick;
  SearchesLeft = Data.Options.MaxSearchesPerTick;
  RunsWithoutResources.clear();
  FailedSearches.clear();
  Spreads.clear();
  Claims.releaseStale(Now);
  recheckUnschedulable(Now);
  placeByTurns(Now);
  updateReservation(Now);
  preempt(Now);
}

void PlacementRound::placeByTurns(TimePoint Now) {
  std::priority_queue<Turn, std::vector<Turn>, std::greater<>> Turns;
  for (TeamIndex Team = 0; Team < Data.Queues.size(); ++Team)
    if (const auto &Runs = Data.queue(Team).runs(); !Runs.empty())
      Turns.push({Data.Shares.rank(Team), Team, Runs.begin()->first, 0});
  tryReservedRun(Now);
  BlockedTeamCache.beginRound();
  while (!Turns.empty() && StartsLeft > 0 && SearchesLeft > 0) {
    Turn Current = Turns.top();
    Turns.pop();
    if (Current.Tried == 0 && BlockedTeamCache.isBlocked(Current.Team)) {
      if (RunEntry *Run = BlockedTeamCache.longestBlocked(Current.Team))
        RunsWithoutResources.push_back(Run);
      continue;
    }
    if (takeTurn(Current, Now))
      Turns.push(Current);
    else
      BlockedTeamCache.finish(Current.Team);
  }
  // Keep the list if some teams had no turn: they have not yet considered the
  // workers whose available resources increased.
  if (Turns.empty())
    Data.Index.clearIncreased();
}

void PlacementRound::tryReservedRun(TimePoint Now) {
  // Try the run with the reservation first: it might never get a turn behind
  // the other runs of its team.
  RunEntry *ReservedRun = Data.State.find(CurrentReservation.run());
  if (ReservedRun && ReservedRun->Scheduling.Queued)
    tryRun(*ReservedRun, Now);
}

bool PlacementRound::takeTurn(Turn &Current, TimePoint Now) {
  const TeamQueue::Runs &Runs = Data.queue(Current.Team).runs();
  const auto Next = Runs.lower_bound(Current.Next);
  if (Next == Runs.end() || Current.Tried >= Data.Options.BackfillDepth)
    return false;
  Current.Next = Next->first;
  const Attempt Result = tryRun(*Next->second, Now);
  if (Result == Attempt::Started) {
    BlockedTeamCache.recordStart();
    Current.Rank = Data.Shares.rank(Current.Team);
    return true;
  }
  if (Result == Attempt::Blocked)
    ++Current.Tried;
  ++Current.Next.Order;
  return true;
}

PlacementRound::Attempt PlacementRound::block(RunEntry &Run,
                                              WaitReason Reason) {
  Run.Scheduling.BlockReason = Reason;
  return Attempt::Blocked;
}

PlacementRound::Attempt
PlacementRound::blockForResources(RunEntry &Run, bool IncludesReserved) {
  if (RunsWithoutResources.size() < MaxRunsWithoutRoom)
    RunsWithoutResources.push_back(&Run);
  return block(Run, IncludesReserved ? WaitReason::NoRoom
                                     : WaitReason::ReservedRoom);
}

bool PlacementRound::checkFeasible(RunEntry &Run, TimePoint Now) {
  if (Run.Scheduling.CheckedGeneration == Data.Generation)
    return true;
  const std::string Obstacle = Feasible.obstacle(Run);
  Run.Scheduling.CheckedGeneration = Data.Generation;
  if (Obstacle.empty())
    return true;
  Lifecycle.markUnschedulable(Run, Obstacle, Now);
  Unschedulable.push_back(Run.Record.Id);
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
    return Attempt::Removed;
  const Resources Need = Feasible.reservation(Run);
  const Attempt Result = Run.Record.Spec.Kind == RunKind::Gang
                             ? tryGang(Run, Need, Now)
                             : tryTask(Run, Need, Now);
  if (Result == Attempt::Blocked)
    BlockedTeamCache.recordBlocked(Run, Need, isReservable(Run));
  return Result;
}

bool PlacementRound::mayUseReserved(const RunEntry &Run, TimePoint Now) const {
  if (!CurrentReservation.isActive() ||
      CurrentReservation.run() == Run.Record.Id)
    return true;
  return Run.Record.Spec.Kind != RunKind::Service &&
         Now + Run.Scheduling.Expected <= CurrentReservation.start();
}

PlacementRound::Attempt
PlacementRound::tryGang(RunEntry &Run, const Resources &Need, TimePoint Now) {
  const auto Count = std::uint32_t(Run.Scheduling.Ready.size());
  if (Run.Active > 0 || Run.Scheduling.Delayed > 0)
    return block(Run, WaitReason::GangIncomplete);
  if (exceedsCap(Run, Need * Count))
    return Attempt::Blocked;
  --SearchesLeft;
  const bool HasReservation = CurrentReservation.run() == Run.Record.Id;
  if (HasReservation)
    CurrentReservation.suspend();
  PlacementRequest Request;
  Request.Need = Need;
  Request.Count = Count;
  Request.Candidates = &Data.Index.matching(Run.Record.Spec.Selector);
  const std::vector<WorkerIndex> Workers =
      GangPlacer().place(Data.Index, Request);
  CurrentReservation.resume();
  if (Workers.empty())
    return blockForResources(Run,
                             HasReservation || !CurrentReservation.isActive());
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
  const bool HasReservation = CurrentReservation.run() == Run.Record.Id;
  if (HasReservation)
    CurrentReservation.suspend();
  WorkerIndex Worker = Claims.take(Run, Need);
  // Prefer reserved resources for the few runs that may use them, which leaves
  // the rest to the others.
  if (Worker == NoWorker && !HasReservation && mayUseReserved(Run, Now))
    Worker = backfill(Run, Need);
  if (Worker == NoWorker)
    Worker = search(Run, Need);
  CurrentReservation.resume();
  if (Worker == NoWorker)
    return blockForResources(Run,
                             HasReservation || !CurrentReservation.isActive());
  releaseReservation(Run);
  if (Run.Record.Spec.Kind == RunKind::Service)
    spreadOf(Run).add(Data.Index, Worker);
  Lifecycle.start(Run, Worker, Need, Now);
  --StartsLeft;
  return Attempt::Started;
}

void PlacementRound::releaseReservation(const RunEntry &Run) {
  if (CurrentReservation.run() != Run.Record.Id)
    return;
  CurrentReservation.release();
  BlockedTeamCache.recordReservationChange();
}

bool PlacementRound::isKnownToFail(const Resources &Need,
                                   const WorkerMask *Matching) const {
  return std::ranges::any_of(FailedSearches, [&](const FailedSearch &Earlier) {
    return Earlier.Matching == Matching && Earlier.Need.fitsIn(Need);
  });
}

WorkerIndex PlacementRound::backfill(const RunEntry &Run,
                                     const Resources &Need) {
  const WorkerMask &Matching = Data.Index.matching(Run.Record.Spec.Selector);
  const std::set<WorkerIndex> *Failed = Data.Health.failedOn(Run.Record.Id);
  for (const auto &[Worker, Amount] : CurrentReservation.reserved())
    if (Matching.test(Worker) && Data.Index.isEligible(Worker) &&
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
  // The run with the reservation has more resources available than others, so
  // the failed searches of others do not apply to it.
  const bool HasReservation = CurrentReservation.run() == Run.Record.Id;
  if (SearchesLeft == 0 || (!HasReservation && isKnownToFail(Need, Matching)))
    return NoWorker;
  --SearchesLeft;
  const WorkerMask &Mask = *Matching;
  // Use a worker on which the run has failed only as a last resort.
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
  if (Worker == NoWorker && FailedSearches.size() < MaxFailedSearches)
    FailedSearches.push_back({Need, Matching});
  return Worker;
}

void PlacementRound::preempt(TimePoint Now) {
  std::uint32_t Left = Data.Options.MaxPreemptionsPerTick;
  std::uint32_t FailuresLeft = MaxFailedPreemptions;
  for (RunEntry *Run : RunsWithoutResources) {
    const RunSpec &Spec = Run->Record.Spec;
    if (Spec.Urgency != Priority::Urgent || Spec.Kind == RunKind::Gang ||
        Run->isEnding())
      continue;
    while (Left > 0 && Run->Scheduling.Claims < Run->Scheduling.Ready.size()) {
      --Left;
      const std::uint32_t Before = Run->Scheduling.Claims;
      preemptFor(*Run, Now);
      if (Run->Scheduling.Claims != Before)
        continue;
      --FailuresLeft;
      break;
    }
    if (FailuresLeft == 0)
      return;
  }
}

void PlacementRound::preemptFor(RunEntry &Run, TimePoint Now) {
  const Resources Need = Feasible.reservation(Run);
  const Resources After = Data.Shares.allocated(Run.Team) +
                          Need * (std::int64_t(Run.Scheduling.Claims) + 1);
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
  const Resources Need = Feasible.reservation(Run);
  if (!CurrentReservation.plan(
          Data, Run, Need,
          IsGang ? std::uint32_t(Run.Scheduling.Ready.size()) : 1,
          Data.Index.matching(Spec.Selector), Preempting, Now))
    return false;
  if (Preempting)
    preemptOnReserved(Run, Now);
  return true;
}

void PlacementRound::preemptOnReserved(const RunEntry &Run, TimePoint Now) {
  for (const auto &[Worker, Amount] : CurrentReservation.reserved()) {
    Resources Available = Data.Index.unused(Worker) + Amount;
    const std::vector<TaskRef> Tasks = Data.State.tasksOn(Worker);
    for (const TaskRef &Task : Tasks)
      if (Task.task().State == TaskState::Stopping)
        Available += Task.task().occupied();
    for (const TaskRef &Task : Tasks) {
      if (Amount.fitsIn(Available))
        break;
      if (Planner.isVictim(Task, Run, Now) &&
          Lifecycle.stop(Task, StopReason::Preempted, Now))
        Available += Task.task().occupied();
    }
  }
}

bool PlacementRound::renewReservation(TimePoint Now) {
  if (!CurrentReservation.isActive())
    return false;
  RunEntry *Run = Data.State.find(CurrentReservation.run());
  if (!Run || Run->isEnding() || !Run->Scheduling.Queued) {
    CurrentReservation.release();
    return false;
  }
  if (CurrentReservation.isOutdated(Now))
    return reserveFor(*Run, Now);
  // Make up for stops that exceeded the budget of an earlier tick.
  if (isUrgentGang(*Run))
    preemptOnReserved(*Run, Now);
  return true;
}

void PlacementRound::updateReservation(TimePoint Now) {
  const RunId Before = CurrentReservation.run();
  const TimePoint StartBefore = CurrentReservation.start();
  chooseReservation(Now);
  if (CurrentReservation.run() != Before ||
      CurrentReservation.start() != StartBefore)
    BlockedTeamCache.recordReservationChange();
}

bool PlacementRound::isReservable(const RunEntry &Run) const {
  const RunSpec &Spec = Run.Record.Spec;
  // Small tasks need no reservation: they fit as soon as their team has its
  // turn.
  return Spec.Kind == RunKind::Gang ||
         (Spec.PerTask * LargeTasksPerWorker)
                 .dominantFraction(Data.Index.largestCapacity()) > 1;
}

bool PlacementRound::mayReserve(const RunEntry &Run, TimePoint Now) const {
  if (isUrgentGang(Run))
    return true;
  return Now - Run.Scheduling.ReadySince >= Data.Options.ReservationDelay &&
         isReservable(Run);
}

void PlacementRound::chooseReservation(TimePoint Now) {
  const bool IsActive = renewReservation(Now);
  RunEntry *ReservedRun =
      IsActive ? Data.State.find(CurrentReservation.run()) : nullptr;
  RunEntry *Best = nullptr;
  const auto Urgency = [this](const RunEntry &Entry) {
    return std::tuple(Entry.Record.Spec.Urgency == Priority::Normal,
                      Data.Shares.isAboveShare(Entry.Team),
                      Entry.Scheduling.ReadySince);
  };
  for (RunEntry *Run : RunsWithoutResources) {
    if (Run == ReservedRun || !mayReserve(*Run, Now))
      continue;
    if (!Best || Urgency(*Run) < Urgency(*Best))
      Best = Run;
  }
  if (!Best)
    return;
  const bool Replaces = ReservedRun &&
                        Best->Record.Spec.Urgency == Priority::Urgent &&
                        ReservedRun->Record.Spec.Urgency == Priority::Normal;
  if ((ReservedRun && !Replaces) || Now < NextReservation)
    return;
  NextReservation = Now + Data.Options.ReservationRetry;
  reserveFor(*Best, Now);
}

void PlacementRound::restoreUnschedulable() {
  for (const auto &[Order, Run] : Data.State.runs())
    if (Run->Record.State == RunState::Unschedulable)
      Unschedulable.push_back(Run->Record.Id);
}

void PlacementRound::recheckUnschedulable(TimePoint Now) {
  if (RecheckedGeneration != Data.Generation) {
    RecheckedGeneration = Data.Generation;
    RechecksLeft = Unschedulable.size();
  }
  for (std::size_t Done = 0; Done < MaxRechecksPerTick && RechecksLeft > 0;
       ++Done) {
    --RechecksLeft;
    const RunId Id = Unschedulable.front();
    Unschedulable.pop_front();
    RunEntry *Run = Data.State.find(Id);
    if (!Run || Run->Record.State != RunState::Unschedulable)
      continue;
    Run->Scheduling.CheckedGeneration = Data.Generation;
    if (Feasible.obstacle(*Run).empty())
      Lifecycle.markSchedulable(*Run, Now);
    else
      Unschedulable.push_back(Id);
  }
}

} // namespace apricotwing
