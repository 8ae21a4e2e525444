/// \file
/// The part of JobScheduler that assigns waiting steps to workers.
#include "jobs/jobscheduler.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <numeric>
#include <tuple>

namespace apricotwing::jobs {

namespace {

/// Number of waiting steps considered in one round: first from the front of the
/// order, then from where the previous round ended, so that no step starves
/// behind others that cannot be placed. The limits keep a round short when
/// thousands of steps are waiting.
constexpr std::size_t FrontStepsPerRound = 96;
constexpr std::size_t FurtherStepsPerRound = 96;

/// Maximum number of these steps that are compared with every worker; applies
/// separately to the front and to the rest.
constexpr int MaxComparisonsPerRound = 24;

/// Maximum number of gangs among the compared steps. Gangs are compared even if
/// there are no free resources for them, unless they may not start anyway.
constexpr int MaxGangsPerRound = 12;

/// Maximum number of workers named in a call for a step without a gang. More
/// would make the call, and so the step's wait, longer, and its tasks rarely
/// need more workers.
constexpr std::size_t MaxWorkersForTasks = 30;

/// Number of steps at the front of the order that may request advice while
/// there are no free resources for them. Under full load, resources that become
/// free are taken within milliseconds by a step that already has tickets, so
/// without this urgent steps would lose them to other steps. Only for queues
/// whose advice costs at most CheapAdviceMs per call: with all queues, too
/// little of the advice service's time was left for gangs, and the result of
/// one site's days of high load fell by 5%.
constexpr int MaxPrefetchesPerRound = 16;
constexpr double CheapAdviceMs = 20;

/// The cost of the workers named in a call, needed or not, may reach this share
/// of the call's fixed cost. This reduces the number of calls: a call that
/// names a single worker costs hardly less than one that names 20, and free
/// resources are taken before the answer arrives.
constexpr double NamingCostShare = 0.5;

/// Free processors are compared in units of this, in thousandths of a core.
constexpr std::int64_t FitStepMillis = 4000;

/// Free slots for which advice is requested, as a multiple of what is needed,
/// because some are taken before the answer arrives.
constexpr double AdvisedSlotsMargin = 1.5;

/// Maximum share of all processors that waiting gangs may claim.
constexpr double MaxClaimedShare = 0.4;

/// Queues with a lower slack factor have low slack: their tasks prefer faster
/// workers, with the slowdown compared in steps of 1/6.
constexpr double LowSlackFactor = 2;
constexpr int FineSlowdownSteps = 6;

/// Time for which a step leaves resources to the gangs that have claimed them,
/// unless the cell is full. A job must not stand still for 3 s.
constexpr Duration MaxClaimWait{1500};

/// A run that has lasted for this long has not crashed its worker, or the crash
/// has been noticed: two refused connections and the report take 0.5 to 1 s.
constexpr Duration FreshTime{1500};

/// Longest time for which a task that is to run alone waits for a worker on
/// which it is apart from others.
constexpr Duration MaxApartWait{1500};

/// Time after which a step of a job that has nothing at work uses workers that
/// have been reserved for FreshTime, and after which it uses any reserved one.
/// A job may stand still for 3 s, and advice takes over half a second.
constexpr Duration MaxReservedWait{1500};
constexpr Duration MaxFreshReservedWait{2500};

/// The same for a step of tasks that are to have their workers to themselves.
/// Two suspects on one worker share the blame for a crash.
constexpr Duration MaxIsolatedWait{10'000};

/// Reserved workers yield only while a lower share of the processors is
/// allocated, so that a backlog does not end all isolation. A job may stand
/// still if half are in use, and fewer are in use than are allocated.
constexpr double MaxYieldingUse = 0.6;

/// Minimum remaining validity of a ticket that is used, because the start takes
/// time.
constexpr Duration TicketMargin{150};

/// How long a step whose call for advice was refused is remembered, if no round
/// has considered it again.
constexpr Duration RefusalMemory{1000};

/// Weights that combine several criteria into one cost of a worker: a step of
/// slowdown outweighs any difference in free processors, and a distant rack or
/// the claim of a gang or an urgent task outweighs any slowdown. A cold worker
/// is slower than a warm one in a distant rack.
constexpr std::int64_t SlowdownCost = std::int64_t(1) << 32;
constexpr std::int64_t DistanceCost = std::int64_t(1) << 48;
constexpr std::int64_t ColdCost = std::int64_t(1) << 49;
constexpr std::int64_t ClaimedCost = std::int64_t(1) << 50;

bool hasCheapAdvice(const Queue &JobQueue) {
  return JobQueue.Advice && JobQueue.Advice->BaseMs <= CheapAdviceMs;
}

/// Number of workers whose cost is NamingCostShare of a call's fixed cost.
std::size_t usefulWorkerCount(const Queue &JobQueue) {
  if (JobQueue.Advice->PerWorkerMs <= 0)
    return MaxWorkersForTasks;
  return std::min(MaxWorkersForTasks,
                  std::size_t(JobQueue.Advice->BaseMs * NamingCostShare /
                              JobQueue.Advice->PerWorkerMs));
}

} // namespace

Decisions JobScheduler::decide(TimePoint Now, const AdviceBudget &Advice) {
  Round Current;
  Current.Now = Now;
  Current.StillAtWork = stepsStillAtWork();
  Current.Advice = Advice;
  Current.FullAdvice.SlowCalls =
      std::max(Advice.SlowCalls, Advice.MaxSlowCalls);
  Current.FullAdvice.FastMs = std::max(Advice.FastMs, Advice.MaxFastMs);
  Current.PrefetchesLeft = MaxPrefetchesPerRound;
  std::int64_t TotalCpuMillis = 0;
  UsableCpuMillis = 0;
  UsableWorkers = 0;
  Resources Largest;
  Resources Capacity;
  for (auto &[Id, Host] : Workers) {
    Capacity += Host.info().Capacity;
    if (!Host.isEvacuated())
      TotalCpuMillis += Host.info().Capacity.CpuMillis;
    Largest = Resources::max(Largest, Host.info().Capacity);
    if (Host.isAvailable(Now)) {
      Current.Usable[Host.info().Upstream].push_back(
          {&Id, &Host, int(std::lround(Host.slowdown())),
           int(std::lround(Host.slowdown() * FineSlowdownSteps))});
      CpuUse &Use = Current.Use[Host.info().Upstream];
      Use.Capacity += Host.info().Capacity.CpuMillis;
      Use.Allocated +=
          Host.info().Capacity.CpuMillis - Host.freeResources().CpuMillis;
    }
    if (Host.isReserved(Now))
      Current.LargestReserved =
          Resources::max(Current.LargestReserved, Host.freeResources());
    if (Host.isUsable(Now)) {
      UsableCpuMillis += Host.info().Capacity.CpuMillis;
      ++UsableWorkers;
      Current.FreeCpuMillis +=
          std::max<std::int64_t>(Host.freeResources().CpuMillis, 0);
      Current.LargestFree =
          Resources::max(Current.LargestFree, Host.freeResources());
    }
    Current.ClaimableCpuMillis -= Host.claimed().CpuMillis;
  }
  setLargestCapacity(Largest);
  Usage.setCapacity(Capacity, Now);
  FreeCpuMillis = Current.FreeCpuMillis;
  Current.ClaimableCpuMillis +=
      std::int64_t(double(TotalCpuMillis) * MaxClaimedShare);
  if (!StartsHeld) {
    const std::optional<WaitRank> FrontEnd = scheduleFront(Current);
    const std::optional<WaitRank> Next =
        Current.SkippedGang ? Current.SkippedGang : FrontEnd;
    ResumeAt = Next ? scheduleRest(Current, std::max(*Next, ResumeAt), FrontEnd)
                          .value_or(WaitRank{})
                    : WaitRank{};
  }
  migrateLeavingRuns(Now, Current.Result);
  Current.Result.Stops = dueStops(Now);
  return std::move(Current.Result);
}

// Up to Limit waiting steps from First on, and the one after them.
std::vector<std::pair<WaitRank, JobScheduler::StepRef>>
JobScheduler::stepsFrom(const WaitRank &First, std::size_t Limit) const {
  std::vector<std::pair<WaitRank, StepRef>> Result;
  for (auto Next = Waiting.lower_bound(First);
       Next != Waiting.end() && Result.size() <= Limit; ++Next)
    Result.push_back(*Next);
  return Result;
}

// Schedules the steps at the front of the order. Returns the rank of the first
// one that was not considered; empty if all were. Gangs beyond the limit are
// left to scheduleRest(), so that they do not delay the tasks behind them.
std::optional<WaitRank> JobScheduler::scheduleFront(Round &Current) {
  Current.StepsLeft = MaxComparisonsPerRound;
  Current.GangsLeft = MaxGangsPerRound;
  std::size_t Considered = 0;
  for (const auto &[Rank, Ref] : stepsFrom(WaitRank{}, FrontStepsPerRound)) {
    if (Considered++ == FrontStepsPerRound)
      return Rank;
    if (scheduleStep(Current, Rank, Ref))
      continue;
    if (Current.StepsLeft <= 0)
      return Rank;
    if (!Current.SkippedGang)
      Current.SkippedGang = Rank;
  }
  return std::nullopt;
}

// Schedules the steps from First on that scheduleFront() has left out, which
// ended at FrontEnd. Returns the rank at which the next round continues; empty
// at the end of the order.
std::optional<WaitRank>
JobScheduler::scheduleRest(Round &Current, const WaitRank &First,
                           const std::optional<WaitRank> &FrontEnd) {
  Current.StepsLeft = MaxComparisonsPerRound;
  Current.GangsLeft = MaxGangsPerRound;
  std::size_t Considered = 0;
  for (const auto &[Rank, Ref] : stepsFrom(First, FurtherStepsPerRound)) {
    if (Considered++ == FurtherStepsPerRound)
      return Rank;
    const bool IsFront = !FrontEnd || Rank < *FrontEnd;
    if (IsFront && !Ref.Owner->Spec.Steps[std::size_t(Ref.Step)].Gang)
      continue;
    if (!scheduleStep(Current, Rank, Ref))
      return Rank;
  }
  return std::nullopt;
}

int JobScheduler::allowedByCap(const Job &CurrentJob,
                               const StepSpec &Spec) const {
  const auto Account = Accounts.find(CurrentJob.Spec.Account);
  if (Account == Accounts.end())
    return Spec.Count;
  const auto Found = Running.find(CurrentJob.Spec.Account);
  const Resources Taken = Found == Running.end() ? Resources{} : Found->second;
  int Allowed = Spec.Count;
  const auto Limit = [&Allowed](std::int64_t Cap, std::int64_t Used,
                                std::int64_t Wanted) {
    if (Cap > 0 && Wanted > 0)
      Allowed = std::min<int>(
          Allowed, int(std::max<std::int64_t>(Cap - Used, 0) / Wanted));
  };
  const Resources &Cap = Account->second.Cap;
  Limit(Cap.CpuMillis, Taken.CpuMillis, Spec.Request.CpuMillis);
  Limit(Cap.MemoryMib, Taken.MemoryMib, Spec.Request.MemoryMib);
  Limit(Cap.Accelerators, Taken.Accelerators, Spec.Request.Accelerators);
  return Allowed;
}

// Best fit keeps large amounts of free resources available for large tasks. A
// best-effort task prefers workers with many unused processors. Steps with low
// slack prefer faster workers; all other steps only avoid workers that are much
// slower than usual.
std::int64_t JobScheduler::costOf(const UsableWorker &Usable,
                                  const StepSpec &Spec, bool IsLowSlack) {
  const Worker &Host = *Usable.Host;
  const auto &Labels = Host.info().Labels;
  const bool IsDistant = !Spec.PreferredRack.empty() &&
                         std::find(Labels.begin(), Labels.end(),
                                   Spec.PreferredRack) == Labels.end();
  const std::int64_t Fit = (Spec.BestEffort ? -Host.unusedCpuMillis()
                                            : Host.freeResources().CpuMillis) /
                           FitStepMillis;
  const std::int64_t Slowdown =
      IsLowSlack ? Usable.FineSlowdown : Usable.Slowdown;
  return (IsDistant ? DistanceCost : 0) + Slowdown * SlowdownCost + Fit;
}

// Claims are for gangs that accumulate slots in a full cell. Where most of it
// is free, they must not keep a job from starting for long, and never a task
// that lasts.
bool JobScheduler::mayUseClaims(const Round &Current, const Job &CurrentJob,
                                int Step) const {
  const StepSpec &Spec = CurrentJob.Spec.Steps[std::size_t(Step)];
  const StepState &State = CurrentJob.Steps[std::size_t(Step)];
  const auto HasWaited = [&Current](TimePoint Since) {
    return Current.Now - Since >= MaxClaimWait;
  };
  if (Spec.LongRunning)
    return std::any_of(
        State.Tasks.begin(), State.Tasks.end(), [&](const TaskState &Task) {
          return Task.Phase == TaskPhase::Ready &&
                 HasWaited(std::max(Task.ReadySince, State.QueuedAt));
        });
  const auto Use = Current.Use.find(queueOf(CurrentJob).Upstream);
  return State.WaitingSince && HasWaited(*State.WaitingSince) &&
         Use != Current.Use.end() &&
         Use->second.Allocated * 2 < Use->second.Capacity;
}

JobScheduler::Candidates
JobScheduler::candidatesFor(Round &Current, Job &CurrentJob, int Step) {
  Candidates Result;
  const Queue &JobQueue = queueOf(CurrentJob);
  const StepSpec &Spec = CurrentJob.Spec.Steps[std::size_t(Step)];
  StepState &State = CurrentJob.Steps[std::size_t(Step)];
  const std::string Name = stepName(CurrentJob.Spec.Id, Step);
  const bool IsLowSlack = JobQueue.SlackFactor < LowSlackFactor;
  const bool StartsAlone = Spec.Gang ? needsIsolation(CurrentJob, Step)
                                     : isProbed(CurrentJob, Step, Current.Now);
  const bool MustBeApart =
      StartsAlone && !hasWaitedToRunAlone(State, Current.Now);
  Result.UseClaims = mayUseClaims(Current, CurrentJob, Step);
  const std::set<std::string> Yielding = Spec.Gang && State.Rank
                                             ? yieldingTo(*State.Rank)
                                             : std::set<std::string>();
  const std::optional<Duration> YieldingAge =
      yieldingAge(Current, CurrentJob, Step);
  Result.MayShare = YieldingAge.has_value();
  std::map<std::string, int> PlacedOnWorker;
  if (Spec.MaxPerWorker > 0)
    for (const TaskState &Task : State.Tasks)
      if (Task.Phase == TaskPhase::Placed)
        ++PlacedOnWorker[Task.Worker.Id];
  // Both lists are ordered by id, so one pass finds the advice about each
  // worker. Hundreds of workers are compared with each waiting step.
  auto Advice = State.Advice.begin();
  for (const UsableWorker &Usable : Current.Usable[JobQueue.Upstream]) {
    const std::string &Id = *Usable.Id;
    Worker &Host = *Usable.Host;
    while (Advice != State.Advice.end() && Advice->first < Id)
      ++Advice;
    if (!Spec.Request.fitsIn(Host.info().Capacity) || !Host.satisfies(Spec))
      continue;
    const auto Reservation = Current.ReservedHosts.find(&Host);
    const bool IsForUrgent = Reservation != Current.ReservedHosts.end() &&
                             JobQueue.Priority > Reservation->second;
    // The urgent tasks may be too large for what is free there, for as long as
    // their queue has work, so the reservation yields to a task that lasts.
    if (IsForUrgent && !(Spec.LongRunning && YieldingAge))
      continue;
    const bool HasAdvice = Advice != State.Advice.end() &&
                           Advice->first == Id &&
                           Advice->second.Worker == Host.info().Incarnation;
    if (JobQueue.Advice && HasAdvice && !Advice->second.Approved)
      continue;
    int Slots = Host.slotsFor(Spec, Name, Yielding);
    // If nothing else is free, steps with low slack use resources that gangs
    // have claimed. Such steps are short, so the gangs get them back soon.
    const bool MayTake = Slots == 0 ? IsLowSlack || Result.UseClaims
                                    : Spec.Gang && Result.UseClaims;
    const bool TakesClaimed = MayTake && !Host.claims().empty();
    if (TakesClaimed)
      Slots = Host.slotsInFreeResources(Spec);
    if (Spec.MaxPerWorker > 0)
      Slots = std::min(Slots, Spec.MaxPerWorker - PlacedOnWorker[Id]);
    if (MustBeApart && !isApart(Host, Current.Now))
      Slots = 0;
    const bool IsValid =
        !JobQueue.Advice ||
        (HasAdvice && Advice->second.Expires > Current.Now + TicketMargin);
    std::optional<Isolation> ReservedFor;
    if (Host.isReserved(Current.Now)) {
      ReservedFor = Host.isolation();
      // Advice takes time, so it is requested before the reservation yields.
      if (!YieldingAge ||
          (IsValid && Current.Now - ReservedFor->Since < *YieldingAge))
        Slots = 0;
    }
    const Candidate Option{&Host, std::max(Slots, 0),
                           HasAdvice ? &Advice->second : nullptr,
                           costOf(Usable, Spec, IsLowSlack) +
                               (TakesClaimed || IsForUrgent ? ClaimedCost : 0) +
                               (Host.isCold(Current.Now) ? ColdCost : 0),
                           ReservedFor};
    if (IsValid)
      Result.Valid.push_back(Option);
    else
      (HasAdvice ? Result.Expired : Result.Unadvised).push_back(Option);
  }
  // Steps that request advice at the same time start at different workers of
  // equal cost, so that they do not all count on the same free resources.
  if (!Result.Unadvised.empty())
    std::rotate(Result.Unadvised.begin(),
                Result.Unadvised.begin() +
                    std::ptrdiff_t(std::hash<std::string>()(Name) %
                                   Result.Unadvised.size()),
                Result.Unadvised.end());
  const auto Better = [](const Candidate &Left, const Candidate &Right) {
    return std::tuple(Left.ReservedFor, Left.Cost) <
           std::tuple(Right.ReservedFor, Right.Cost);
  };
  for (auto *Group : {&Result.Valid, &Result.Expired, &Result.Unadvised})
    std::stable_sort(Group->begin(), Group->end(), Better);
  // The job does not stand still once one of its tasks is at work.
  if (!Spec.Gang && !Spec.LongRunning) {
    bool HasSlot = false;
    for (Candidate &Option : Result.Valid) {
      if (Option.ReservedFor)
        Option.Slots = HasSlot ? 0 : std::min(Option.Slots, 1);
      HasSlot = HasSlot || Option.Slots > 0;
    }
  }
  return Result;
}

// True if a task of the step is to have its worker to itself.
bool JobScheduler::needsIsolation(const Job &CurrentJob, int Step) {
  const StepState &State = CurrentJob.Steps[std::size_t(Step)];
  if (!State.HasCrashes)
    return false;
  if (CurrentJob.Spec.Steps[std::size_t(Step)].Gang)
    return State.gangCrashes().needsIsolation();
  return std::any_of(
      State.Tasks.begin(), State.Tasks.end(),
      [](const TaskState &Task) { return Task.Crashes.needsIsolation(); });
}

// Time for which reserved workers must have been reserved to yield to a step;
// empty if they don't. They yield to a step whose job would stand still
// otherwise.
std::optional<Duration> JobScheduler::yieldingAge(const Round &Current,
                                                  const Job &CurrentJob,
                                                  int Step) const {
  const StepState &State = CurrentJob.Steps[std::size_t(Step)];
  const bool Lasts = CurrentJob.Spec.Steps[std::size_t(Step)].LongRunning;
  std::optional<TimePoint> Since = State.WaitingSince;
  // The starts of other tasks of the step must not delay one that lasts.
  if (Lasts && Since)
    for (const TaskState &Task : State.Tasks)
      if (Task.Phase == TaskPhase::Ready)
        Since = std::min(*Since, std::max(Task.ReadySince, State.QueuedAt));
  if (!Since || Current.Now - *Since < MaxReservedWait)
    return std::nullopt;
  if (!Lasts && Current.Now - *Since < MaxIsolatedWait &&
      needsIsolation(CurrentJob, Step))
    return std::nullopt;
  if (!Lasts) {
    const auto Use = Current.Use.find(queueOf(CurrentJob).Upstream);
    if (Use == Current.Use.end() ||
        double(Use->second.Allocated) >=
            MaxYieldingUse * double(Use->second.Capacity) ||
        CurrentJob.hasPlacedTask())
      return std::nullopt;
  }
  const bool HasWaitedLong = Current.Now - *Since >= MaxFreshReservedWait;
  return HasWaitedLong ? Duration{0} : FreshTime;
}

// Returns false if the step has yet to be compared with the workers, for which
// the limits of the pass leave no room.
bool JobScheduler::scheduleStep(Round &Current, const WaitRank &Rank,
                                const StepRef &Ref) {
  Job &CurrentJob = *Ref.Owner;
  const int Step = Ref.Step;
  if (tierOf(CurrentJob, Current.Now) != Rank.Tier ||
      mustDropDelay(CurrentJob, CurrentJob.Steps[std::size_t(Step)],
                    Current.Now)) {
    updateRank(CurrentJob, Current.Now);
    return true;
  }
  const StepSpec &Spec = CurrentJob.Spec.Steps[std::size_t(Step)];
  StepState &State = CurrentJob.Steps[std::size_t(Step)];
  if (!Current.StillAtWork.empty() &&
      Current.StillAtWork.contains(stepName(CurrentJob.Spec.Id, Step))) {
    State.Cause = WaitCause::RunActive;
    Current.ClaimableCpuMillis +=
        releaseClaims(stepName(CurrentJob.Spec.Id, Step), State);
    return true;
  }
  const int Fitting = allowedByCap(CurrentJob, Spec);
  if (Fitting == 0 || (Spec.Gang && Fitting < Spec.Count))
    State.WaitingSince.reset();
  else if (!State.WaitingSince)
    State.WaitingSince = Current.Now;
  if (Spec.Gang) {
    const auto Obstacle = obstacleOfGang(CurrentJob, Step, Current.Now);
    if (Obstacle) {
      State.Cause = *Obstacle;
      Current.ClaimableCpuMillis +=
          releaseClaims(stepName(CurrentJob.Spec.Id, Step), State);
      return true;
    }
  }
  // Free resources only shrink during a round, so a step that did not fit at
  // its start need not be compared. Gangs, steps with low slack and the first
  // steps that need advice plan ahead and are compared anyway.
  const bool FitsLargestFree = Spec.Request.fitsIn(Current.LargestFree);
  const bool PlansAhead =
      Spec.Gang || queueOf(CurrentJob).SlackFactor < LowSlackFactor ||
      (Current.PrefetchesLeft > 0 && hasCheapAdvice(queueOf(CurrentJob)) &&
       !State.AdviceInFlight);
  const bool MayShare = Spec.Request.fitsIn(Current.LargestReserved) &&
                        yieldingAge(Current, CurrentJob, Step);
  if (!FitsLargestFree && !PlansAhead && !MayShare) {
    State.Cause = WaitCause::NoSlots;
    return true;
  }
  if (!Spec.Gang && Fitting == 0) {
    State.Cause = WaitCause::AccountLimit;
    return true;
  }
  // While a request is in flight, nothing can be decided about a gang, or about
  // another step that has no advice yet.
  if (State.AdviceInFlight && (Spec.Gang || State.Advice.empty())) {
    State.Cause = WaitCause::AdvicePending;
    return true;
  }
  if (Current.StepsLeft <= 0 || (Spec.Gang && Current.GangsLeft <= 0))
    return false;
  --Current.StepsLeft;
  Current.GangsLeft -= Spec.Gang ? 1 : 0;
  State.ComparedAt = Current.Now;
  Candidates Found = candidatesFor(Current, CurrentJob, Step);
  if (Spec.Gang)
    scheduleGang(Current, CurrentJob, Step, std::move(Found));
  else
    scheduleTasks(Current, CurrentJob, Step, std::move(Found));
  return true;
}

int JobScheduler::freeSlots(const std::vector<Candidate> &Group) {
  return std::accumulate(
      Group.begin(), Group.end(), 0,
      [](int Sum, const Candidate &Option) { return Sum + Option.Slots; });
}

void JobScheduler::scheduleTasks(Round &Current, Job &CurrentJob, int Step,
                                 Candidates Found) {
  StepState &State = CurrentJob.Steps[std::size_t(Step)];
  const StepSpec &Spec = CurrentJob.Spec.Steps[std::size_t(Step)];
  int Startable = State.ReadyCount;
  if (Spec.LongRunning && State.HasCrashes)
    Startable = int(std::count_if(
        State.Tasks.begin(), State.Tasks.end(), [&](const TaskState &Task) {
          return Task.Phase == TaskPhase::Ready &&
                 !isHeldBack(CurrentJob, Step, Task, Current.Now);
        }));
  int Wanted = std::min(Startable, allowedByCap(CurrentJob, Spec));
  // The other tasks wait for the result of the probe.
  if (isProbed(CurrentJob, Step, Current.Now))
    Wanted = State.isSuspectPlaced() ? 0 : std::min(Wanted, 1);
  State.Cause = WaitCause::Suspect;
  if (Wanted == 0)
    return;
  State.Cause = WaitCause::NoSlots;
  const int Remaining =
      Wanted - place(Current, CurrentJob, Step, Found.Valid, Wanted, 0);
  if (Remaining == 0)
    return;
  if (State.Rank && State.Rank->Tier == 0)
    reserveForLargeTasks(Current, queueOf(CurrentJob), Found, Remaining);
  // Free resources go to the steps in their order, so only as many steps
  // request advice as can use them. Planned are those that a step is asking
  // for.
  const bool IsCpuExpected = Current.FreeCpuMillis > 0 || Found.UseClaims;
  const bool MayPrefetch =
      hasCheapAdvice(queueOf(CurrentJob)) && Current.PrefetchesLeft-- > 0;
  if (!queueOf(CurrentJob).Advice)
    return;
  const std::int64_t Demand =
      Spec.BestEffort ? 0
                      : Spec.Request.CpuMillis *
                            std::min(Remaining, freeSlots(Found.Expired) +
                                                    freeSlots(Found.Unadvised));
  if (State.AdviceInFlight) {
    Current.FreeCpuMillis -= Demand;
    State.Cause = WaitCause::AdvicePending;
    return;
  }
  if (!IsCpuExpected && !MayPrefetch && !Found.MayShare) {
    State.Cause = WaitCause::ResourcesDue;
    return;
  }
  std::vector<std::string> WorkerIds;
  double Slots = 0;
  const double EnoughSlots = AdvisedSlotsMargin * Remaining;
  const double ApprovalChance = approvalRate(queueOf(CurrentJob).Name);
  const std::size_t UsefulCount = usefulWorkerCount(queueOf(CurrentJob));
  const auto AddWithFreeSlots = [&](const std::vector<Candidate> &Group,
                                    double Approved) {
    for (const Candidate &Option : Group) {
      if ((Slots >= EnoughSlots && WorkerIds.size() >= UsefulCount) ||
          WorkerIds.size() >= MaxWorkersForTasks)
        return;
      if (Option.Slots == 0)
        continue;
      WorkerIds.push_back(Option.Host->info().Incarnation.Id);
      Slots += Option.Slots * Approved;
    }
  };
  AddWithFreeSlots(Found.Expired, 1);
  AddWithFreeSlots(Found.Unadvised, ApprovalChance);
  if (WorkerIds.empty() && !MayPrefetch)
    return;
  // Naming full workers costs little more, and resources may become free there
  // while the tickets are valid.
  const auto AddFull = [&](const std::vector<Candidate> &Group) {
    for (const Candidate &Option : Group) {
      if (Found.Valid.size() + WorkerIds.size() >= UsefulCount)
        return;
      if (Option.Slots == 0)
        WorkerIds.push_back(Option.Host->info().Incarnation.Id);
    }
  };
  AddFull(Found.Expired);
  AddFull(Found.Unadvised);
  if (WorkerIds.empty())
    return;
  requestAdvice(Current, CurrentJob, Step, std::move(WorkerIds));
  if (State.AdviceInFlight)
    Current.FreeCpuMillis -= Demand;
}

// Reserves full workers for urgent tasks. When all workers are full and urgent
// tasks are larger than those that end, small tasks of less urgent queues would
// otherwise take all resources that become free, and a larger urgent task would
// never fit.
void JobScheduler::reserveForLargeTasks(Round &Current, const Queue &JobQueue,
                                        const Candidates &Found, int Tasks) {
  if (JobQueue.SlackFactor >= LowSlackFactor)
    return;
  std::vector<const Worker *> Hosts;
  for (const Candidate &Option : Found.Valid)
    if (Option.Slots == 0 && !Option.ReservedFor &&
        !Current.ReservedHosts.contains(Option.Host))
      Hosts.push_back(Option.Host);
  const auto HasMoreFree = [](const Worker *Left, const Worker *Right) {
    return Left->freeResources().CpuMillis > Right->freeResources().CpuMillis;
  };
  std::stable_sort(Hosts.begin(), Hosts.end(), HasMoreFree);
  for (std::size_t Index = 0;
       Index < Hosts.size() && Index < std::size_t(Tasks); ++Index)
    Current.ReservedHosts[Hosts[Index]] = JobQueue.Priority;
}

int JobScheduler::place(Round &Current, Job &CurrentJob, int Step,
                        std::vector<Candidate> &Hosts, int Wanted,
                        std::int64_t GangRun) {
  StepState &State = CurrentJob.Steps[std::size_t(Step)];
  const StepSpec &Spec = CurrentJob.Spec.Steps[std::size_t(Step)];
  const bool Gang = GangRun > 0;
  const std::optional<WaitRank> Rank = State.Rank; // Reset with the last start.
  const int Probe =
      !Gang && isProbed(CurrentJob, Step, Current.Now) ? State.nextProbe() : -1;
  int Placed = 0;
  for (std::size_t Index = 0; Index < State.Tasks.size() && Placed < Wanted;
       ++Index) {
    TaskState &Task = State.Tasks[Index];
    if (Task.Phase != TaskPhase::Ready || (Probe >= 0 && int(Index) != Probe) ||
        isHeldBack(CurrentJob, Step, Task, Current.Now))
      continue;
    // The workers of a gang that runs alone were selected before.
    const bool Alone = !Gang && runsAlone(CurrentJob, Step, Task, Current.Now);
    // The starts of other tasks of the step must not delay one that lasts.
    const bool HasWaited = Spec.LongRunning
                               ? Current.Now - Task.ReadySince >= MaxApartWait
                               : hasWaitedToRunAlone(State, Current.Now);
    Candidate *Chosen =
        chooseHost(Current, Hosts, Task, Alone, Alone && !HasWaited);
    if (!Chosen && Alone)
      continue;
    if (!Chosen)
      return Placed;
    startOn(Current, CurrentJob, Step, int(Index), *Chosen,
            Gang ? GangRun : nextRun(Task.Run));
    if (Gang && Rank)
      takeClaims(Current, *Chosen->Host, *Rank);
    Chosen->Slots = Alone ? 0 : Chosen->Slots - 1;
    ++Placed;
  }
  return Placed;
}

// True if no other run on a worker is likely to crash it: suspects, and those
// that have just started.
bool JobScheduler::isApart(const Worker &Host, TimePoint Now) {
  return !Host.hasSuspectSince(Now - CrashHistory::DangerTime) &&
         !Host.hasStartSince(Now - FreshTime);
}

// After the loss of a rack there may be suspects on all workers, and in a busy
// cell there are fresh runs on all of them.
bool JobScheduler::hasWaitedToRunAlone(const StepState &State, TimePoint Now) {
  return State.WaitingSince && Now - *State.WaitingSince >= MaxApartWait;
}

// Returns the first worker with a free slot, but if possible none on which the
// task has failed or which crashed under it, and no two suspects on one worker,
// and last of all one that is reserved for other runs.
// A task that must be apart from others gets a worker on which it is, and null
// if there is none.
JobScheduler::Candidate *
JobScheduler::chooseHost(const Round &Current, std::vector<Candidate> &Hosts,
                         const TaskState &Task, bool Alone, bool MustBeApart) {
  const bool IsSuspect = Task.Crashes.isSuspect();
  Candidate *Chosen = nullptr;
  std::tuple<bool, bool, bool, std::size_t> Lowest;
  for (Candidate &Option : Hosts) {
    const Worker &Host = *Option.Host;
    const std::string &Id = Host.info().Incarnation.Id;
    if (Option.Slots <= 0)
      continue;
    const bool IsApart = !Alone || isApart(Host, Current.Now);
    if (MustBeApart && !IsApart)
      continue;
    const bool HasSuspects =
        IsSuspect &&
        Host.hasSuspectSince(Current.Now - CrashHistory::DangerTime);
    const bool IsAvoided = Task.FailedOn.contains(Id) || HasSuspects ||
                           (IsSuspect && Task.Crashes.includes(Id));
    const bool IsReserved = Option.ReservedFor.has_value();
    const std::tuple Cost(IsReserved, !IsApart, IsAvoided,
                          Alone && !IsReserved ? Host.runs().size()
                                               : std::size_t(0));
    if (!Chosen || Cost < Lowest) {
      Chosen = &Option;
      Lowest = Cost;
    }
    if (!Alone && !IsAvoided)
      break;
  }
  return Chosen;
}

void JobScheduler::startOn(Round &Current, Job &CurrentJob, int Step, int Index,
                           const Candidate &Option, std::int64_t Run) {
  StepState &State = CurrentJob.Steps[std::size_t(Step)];
  const StepSpec &Spec = CurrentJob.Spec.Steps[std::size_t(Step)];
  TaskState &Task = State.Tasks[std::size_t(Index)];
  Worker &Host = *Option.Host;
  const std::string Name = TaskId{CurrentJob.Spec.Id, 0, Step, Index}.text();
  std::string Checkpoint = Task.Checkpoint;
  // All members of a gang resume from the same checkpoint, that of any member.
  if (Spec.Gang) {
    for (TaskState &Member : State.Tasks)
      if (!Member.Checkpoint.empty() && Checkpoint.empty())
        Checkpoint = Member.Checkpoint;
    for (TaskState &Member : State.Tasks)
      Member.Checkpoint = Checkpoint;
  }
  std::optional<PreviousRun> Previous;
  if (Task.Previous || CurrentJob.Restored) {
    Previous = Task.Previous ? *Task.Previous : PreviousRun{};
    Previous->Age = Current.Now - std::max(Task.ReadySince, State.QueuedAt);
  }
  Task.Phase = TaskPhase::Placed;
  Task.Worker = Host.info().Incarnation;
  Task.Run = Run;
  Task.PlacedAt = Current.Now;
  Task.Confirmed = false;
  Task.Percent = 0;
  if (Option.ReservedFor)
    Host.endApartness();
  allocateRun(Host, CurrentJob, TaskId{CurrentJob.Spec.Id, 0, Step, Index}, Run,
              Spec, Current.Now);
  State.WaitingSince.reset();
  State.NextFewWorkersCall = TimePoint{};
  State.FewWorkersPause = Duration{0};
  Changed.insert(CurrentJob.Spec.Id);
  if (!Spec.BestEffort) {
    Current.FreeCpuMillis -= Spec.Request.CpuMillis;
    Current.Use[Host.info().Upstream].Allocated += Spec.Request.CpuMillis;
  }
  addWaitingWork(CurrentJob, Step, -1);
  if (--State.ReadyCount == 0)
    dequeue(CurrentJob, Step);
  Current.Result.Starts.push_back(
      {Host.info().Incarnation, Name, Run, CurrentJob.Spec.Payload,
       Option.Advice ? Option.Advice->Ticket : std::string(), Checkpoint,
       std::move(Previous)});
}

// Jobs past their firm deadline leave half of the advice budget to all other
// jobs. After an outage there can be hundreds of them, and each would request
// advice again whenever its tickets expire.
bool JobScheduler::mayRequestAdvice(Round &Current, const Queue &JobQueue,
                                    const StepState &State) {
  // The cost of the named workers is small compared with the fixed cost, so it
  // does not change the kind of call.
  const bool Slow =
      JobQueue.Advice && JobQueue.Advice->BaseMs >= AdviceBudget::SlowAdviceMs;
  const double Left = Slow ? Current.Advice.SlowCalls : Current.Advice.FastMs;
  const double Full =
      Slow ? Current.FullAdvice.SlowCalls : Current.FullAdvice.FastMs;
  const bool IsExpired = State.Rank && State.Rank->Tier == ExpiredTier;
  if (!Slow || !IsExpired)
    return Left > 0 && (!IsExpired || Left * 2 >= Full);
  if (Left > 0 && Left * 2 >= Full && !mustYieldCall(State, Current.Now))
    return true;
  const TimePoint Since = State.waitsForCallSince();
  const bool IsRecent = Refused && Current.Now - Refused->At < RefusalMemory;
  if (!IsRecent || Since <= Refused->WaitsSince)
    Refused = RefusedCall{Since, Current.Now};
  return false;
}

// True if a step that has asked before would take the slow call of one past its
// firm deadline that has waited for one longer. Otherwise steps at the front
// that cannot start ask again and again, and those behind them never do.
bool JobScheduler::mustYieldCall(const StepState &State, TimePoint Now) const {
  return State.LastCallAt && Refused && Now - Refused->At < RefusalMemory &&
         Refused->WaitsSince < State.waitsForCallSince();
}

// If the budget does not allow the call, the step makes it in a later round.
void JobScheduler::requestAdvice(Round &Current, Job &CurrentJob, int Step,
                                 std::vector<std::string> WorkerIds) {
  StepState &State = CurrentJob.Steps[std::size_t(Step)];
  if (!mayRequestAdvice(Current, queueOf(CurrentJob), State)) {
    State.Cause = WaitCause::AdviceBudget;
    return;
  }
  const AdviceSettings &Settings = *queueOf(CurrentJob).Advice;
  const TimePoint Since = State.waitsForCallSince();
  if (Refused && Since <= Refused->WaitsSince)
    Refused.reset();
  State.LastCallAt = Current.Now;
  State.AdviceInFlight = true;
  State.Cause = WaitCause::AdvicePending;
  const double Cost =
      Settings.BaseMs + Settings.PerWorkerMs * double(WorkerIds.size());
  if (Cost >= AdviceBudget::SlowAdviceMs)
    --Current.Advice.SlowCalls;
  else
    Current.Advice.FastMs -= Cost;
  Current.Result.Advice.push_back(
      {stepName(CurrentJob.Spec.Id, Step), std::move(WorkerIds), Cost});
}

} // namespace apricotwing::jobs
