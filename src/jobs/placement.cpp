/// \file
/// The part of JobScheduler that assigns waiting steps to workers.
#include "jobs/jobscheduler.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>

namespace apricotwing::jobs {

namespace {

/// Waiting steps considered in one round from the front, and then from where
/// the last round ended, so that none is passed over for good behind others
/// that cannot be placed. Keep a round short when thousands are waiting.
constexpr std::size_t FrontStepsPerRound = 96;
constexpr std::size_t FurtherStepsPerRound = 96;

/// Those of them that are compared with every worker, from the front and
/// further on.
constexpr int MaxComparisonsPerRound = 24;

/// Gangs among them, which are compared even if there is no freeResources for
/// them.
constexpr int MaxGangsPerRound = 12;

/// Workers named for a step of separate tasks. More would cost time that the
/// step spends waiting, and its tasks rarely need more hosts.
constexpr std::size_t MaxWorkersForTasks = 30;

/// Steps at the front that ask for advice while there is no freeResources for
/// them. Room that comes free is taken within milliseconds by a step that has
/// tickets, so without this urgent steps would lose it to others under full
/// load. Only for queues with cheap advice: for all of them it took the advice
/// service's time from gangs (scale days of Koksne lost 5%).
constexpr int AskAheadSteps = 16;
constexpr double CheapAdviceMs = 20;

/// Part of a call's fixed cost that is spent on naming more workers than are
/// needed. Fewer calls are made with it: a call that names a single worker
/// costs hardly less than one that names twenty, and rooms are taken until the
/// answer comes.
constexpr double CheapShare = 0.5;

/// Rooms that differ by less suit alike.
constexpr std::int64_t FitStepMillis = 4000;

/// Room asked for as a multiple of what is needed, as some of it is taken
/// before the answer comes.
constexpr double RoomMargin = 1.5;

/// Largest share of all processors that waiting gangs may claim.
constexpr double MaxClaimedShare = 0.4;

/// Queues with less slack place by the workers' pace, in steps of a sixth.
constexpr double TightSlack = 2;
constexpr int FinePaceSteps = 6;

/// A ticket that expires sooner is not used, as the start takes time.
constexpr Duration TicketMargin{150};

/// One number orders the workers by several criteria: a step of pace outweighs
/// any difference in freeResources, which is in thousandths of a core, and a
/// distant rack or the claim of a gang outweighs any pace.
constexpr std::int64_t PaceCost = std::int64_t(1) << 32;
constexpr std::int64_t DistanceCost = std::int64_t(1) << 48;
constexpr std::int64_t ClaimedCost = std::int64_t(1) << 49;

bool hasCheapAdvice(const Queue &Terms) {
  return Terms.Advice && Terms.Advice->BaseMs <= CheapAdviceMs;
}

/// Number of workers that can be named for CheapShare of a call's fixed cost.
std::size_t usefulNames(const Queue &Terms) {
  if (Terms.Advice->PerWorkerMs <= 0)
    return MaxWorkersForTasks;
  return std::min(MaxWorkersForTasks,
                  std::size_t(Terms.Advice->BaseMs * CheapShare /
                              Terms.Advice->PerWorkerMs));
}

} // namespace

Decisions JobScheduler::decide(TimePoint Now, const AdviceBudget &Advice) {
  Round Present;
  Present.Now = Now;
  Present.Advice = Advice;
  Present.FullAdvice.SlowCalls =
      std::max(Advice.SlowCalls, Advice.MaxSlowCalls);
  Present.FullAdvice.FastMs = std::max(Advice.FastMs, Advice.MaxFastMs);
  Present.AskAheadLeft = AskAheadSteps;
  Present.StepsLeft = MaxComparisonsPerRound;
  Present.GangsLeft = MaxGangsPerRound;
  std::int64_t TotalCpuMillis = 0;
  UsableCpuMillis = 0;
  for (auto &[Id, Host] : Workers) {
    TotalCpuMillis += Host.info().Capacity.CpuMillis;
    if (Host.isUsable(Now)) {
      Present.Usable[Host.info().Upstream].push_back(
          {&Id, &Host, int(std::lround(Host.pace())),
           int(std::lround(Host.pace() * FinePaceSteps))});
      UsableCpuMillis += Host.info().Capacity.CpuMillis;
      Present.FreeCpuMillis += Host.freeResources().CpuMillis;
      Present.LargestRoom =
          Resources::max(Present.LargestRoom, Host.freeResources());
    }
    Present.ClaimableCpuMillis -= Host.claimed().CpuMillis;
  }
  Present.ClaimableCpuMillis +=
      std::int64_t(double(TotalCpuMillis) * MaxClaimedShare);
  const std::optional<WaitRank> FrontEnd =
      serveFrom(Present, WaitRank{}, FrontStepsPerRound);
  if (FrontEnd) {
    Present.StepsLeft = MaxComparisonsPerRound;
    Present.GangsLeft = MaxGangsPerRound;
    ResumeAt =
        serveFrom(Present, std::max(*FrontEnd, ResumeAt), FurtherStepsPerRound)
            .value_or(WaitRank{});
  }
  Present.Result.Stops = std::move(Stops);
  Stops.clear();
  return std::move(Present.Result);
}

// Serves up to Limit waiting steps from First on. Returns where to go on; empty
// at the end of the order.
std::optional<WaitRank>
JobScheduler::serveFrom(Round &Now, const WaitRank &First, std::size_t Limit) {
  std::vector<std::pair<WaitRank, StepRef>> Order;
  auto Next = Waiting.lower_bound(First);
  for (; Next != Waiting.end() && Order.size() < Limit; ++Next)
    Order.push_back(*Next);
  std::optional<WaitRank> End;
  if (Next != Waiting.end())
    End = Next->first;
  for (const auto &[Rank, Ref] : Order) {
    if (Now.StepsLeft <= 0)
      return Rank;
    if (tierOf(*Ref.Owner, Now.Now) != Rank.Tier)
      rankAgain(*Ref.Owner, Now.Now);
    else
      serve(Now, *Ref.Owner, Ref.Step);
  }
  return End;
}

int JobScheduler::allowedByCap(const Job &Entry, const StepSpec &Spec) const {
  const auto Account = Accounts.find(Entry.Spec.Account);
  if (Account == Accounts.end())
    return Spec.Count;
  const auto Found = Running.find(Entry.Spec.Account);
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

// Best fit keeps large rooms for large tasks; a filling task looks for
// processors that nobody uses. Work with little slack takes the faster worker;
// all other work only stays away from workers that are far slower than usual.
std::int64_t JobScheduler::costOf(const UsableWorker &Entry,
                                  const StepSpec &Spec, bool Tight) {
  const Worker &Host = *Entry.Host;
  const auto &Labels = Host.info().Labels;
  const bool Far = !Spec.PreferredRack.empty() &&
                   std::find(Labels.begin(), Labels.end(),
                             Spec.PreferredRack) == Labels.end();
  const std::int64_t Fit = (Spec.BestEffort ? -Host.unusedCpuMillis()
                                            : Host.freeResources().CpuMillis) /
                           FitStepMillis;
  const std::int64_t Pace = Tight ? Entry.FinePace : Entry.Pace;
  return (Far ? DistanceCost : 0) + Pace * PaceCost + Fit;
}

JobScheduler::Candidates JobScheduler::candidatesFor(Round &Now, Job &Entry,
                                                     int Step) {
  Candidates Result;
  const Queue &Terms = queueOf(Entry);
  const StepSpec &Spec = Entry.Spec.Steps[std::size_t(Step)];
  StepState &State = Entry.Steps[std::size_t(Step)];
  const std::string Name = stepName(Entry.Spec.Id, Step);
  const bool Tight = Terms.SlackFactor < TightSlack;
  std::map<std::string, int> OnWorker;
  if (Spec.MaxPerWorker > 0)
    for (const TaskState &Task : State.Tasks)
      if (Task.Phase == TaskPhase::Placed)
        ++OnWorker[Task.Worker.Id];
  // Both lists are in the order of ids, so one walk finds what is known of
  // each worker. Load: hundreds of workers, compared with each waiting step.
  auto Known = State.Advice.begin();
  for (const UsableWorker &Usable : Now.Usable[Terms.Upstream]) {
    const std::string &Id = *Usable.Id;
    Worker &Host = *Usable.Host;
    while (Known != State.Advice.end() && Known->first < Id)
      ++Known;
    if (!Spec.Request.fitsIn(Host.info().Capacity) || !Host.satisfies(Spec))
      continue;
    const auto Kept = Now.KeptFree.find(&Host);
    if (Kept != Now.KeptFree.end() && Terms.Priority > Kept->second)
      continue;
    const bool IsKnown = Known != State.Advice.end() && Known->first == Id &&
                         Known->second.Worker == Host.info().Life;
    if (Terms.Advice && IsKnown && !Known->second.Approved)
      continue;
    int Slots = Host.slotsFor(Spec, Name);
    // Work with little slack and a short run time takes freeResources that
    // gangs still gather, if there is no other; they get it back soon.
    const bool TakesClaimed = Slots == 0 && Tight && !Host.claims().empty();
    if (TakesClaimed)
      Slots = Host.slotsInRoom(Spec);
    if (Spec.MaxPerWorker > 0)
      Slots = std::min(Slots, Spec.MaxPerWorker - OnWorker[Id]);
    const Candidate At{
        &Host, std::max(Slots, 0), IsKnown ? &Known->second : nullptr,
        costOf(Usable, Spec, Tight) + (TakesClaimed ? ClaimedCost : 0)};
    if (!Terms.Advice ||
        (IsKnown && Known->second.Expires > Now.Now + TicketMargin))
      Result.Valid.push_back(At);
    else
      (IsKnown ? Result.Expired : Result.Unasked).push_back(At);
  }
  // Steps that ask at the same time begin at different workers among those that
  // suit alike, so that not all of them count on the same rooms.
  if (!Result.Unasked.empty())
    std::rotate(Result.Unasked.begin(),
                Result.Unasked.begin() +
                    std::ptrdiff_t(std::hash<std::string>()(Name) %
                                   Result.Unasked.size()),
                Result.Unasked.end());
  const auto Better = [](const Candidate &Left, const Candidate &Right) {
    return Left.Cost < Right.Cost;
  };
  for (auto *Part : {&Result.Valid, &Result.Expired, &Result.Unasked})
    std::stable_sort(Part->begin(), Part->end(), Better);
  return Result;
}

void JobScheduler::serve(Round &Now, Job &Entry, int Step) {
  const StepSpec &Spec = Entry.Spec.Steps[std::size_t(Step)];
  const StepState &State = Entry.Steps[std::size_t(Step)];
  // The rooms only shrink during a round. A gang plans ahead, as do the first
  // steps that need advice.
  const bool HasRoom = Spec.Request.fitsIn(Now.LargestRoom);
  const bool PlansAhead =
      Spec.Gang || queueOf(Entry).SlackFactor < TightSlack ||
      (Now.AskAheadLeft > 0 && hasCheapAdvice(queueOf(Entry)) &&
       !State.AdviceInFlight);
  if (!HasRoom && !PlansAhead)
    return;
  if (!Spec.Gang && allowedByCap(Entry, Spec) == 0)
    return;
  // Nothing can be decided about a gang before the answer, nor about other
  // steps before the first one.
  if (State.AdviceInFlight && (Spec.Gang || State.Advice.empty()))
    return;
  if (Spec.Gang && Now.GangsLeft-- <= 0)
    return;
  --Now.StepsLeft;
  Candidates Found = candidatesFor(Now, Entry, Step);
  if (Spec.Gang)
    serveGang(Now, Entry, Step, std::move(Found));
  else
    serveTasks(Now, Entry, Step, std::move(Found));
}

void JobScheduler::serveTasks(Round &Now, Job &Entry, int Step,
                              Candidates Found) {
  StepState &State = Entry.Steps[std::size_t(Step)];
  const StepSpec &Spec = Entry.Spec.Steps[std::size_t(Step)];
  const int Wanted = std::min(State.ReadyCount, allowedByCap(Entry, Spec));
  if (Wanted == 0)
    return;
  const int Left = Wanted - place(Now, Entry, Step, Found.Valid, Wanted, 0);
  if (Left == 0)
    return;
  if (State.Rank && State.Rank->Tier == 0)
    keepFree(Now, queueOf(Entry), Found, Left);
  // Room that is free now goes to the steps in their order, so no more steps
  // ask for advice than can use it.
  const std::int64_t Demand =
      Spec.BestEffort ? 0 : Spec.Request.CpuMillis * Left;
  const bool Expected = Now.FreeCpuMillis > 0;
  Now.FreeCpuMillis -= Demand;
  const bool MayAskAhead =
      hasCheapAdvice(queueOf(Entry)) && Now.AskAheadLeft-- > 0;
  if (State.AdviceInFlight || !mayAsk(Now, queueOf(Entry), State) ||
      (!Expected && !MayAskAhead))
    return;
  std::vector<std::string> Names;
  double Slots = 0;
  const double Enough = RoomMargin * Left;
  const double Chance = approvalRate(queueOf(Entry).Name);
  const std::size_t Useful = usefulNames(queueOf(Entry));
  const auto TakeWithRoom = [&](const std::vector<Candidate> &Part,
                                double Approved) {
    for (const Candidate &At : Part) {
      if ((Slots >= Enough && Names.size() >= Useful) ||
          Names.size() >= MaxWorkersForTasks)
        return;
      if (At.Slots == 0)
        continue;
      Names.push_back(At.Host->info().Life.Id);
      Slots += At.Slots * Approved;
    }
  };
  TakeWithRoom(Found.Expired, 1);
  TakeWithRoom(Found.Unasked, Chance);
  if (Names.empty() && !MayAskAhead)
    return;
  // Workers without freeResources cost little more, and freeResources may come
  // free there while the tickets are valid.
  const auto TakeFull = [&](const std::vector<Candidate> &Part) {
    for (const Candidate &At : Part) {
      if (Found.Valid.size() + Names.size() >= Useful)
        return;
      if (At.Slots == 0)
        Names.push_back(At.Host->info().Life.Id);
    }
  };
  TakeFull(Found.Expired);
  TakeFull(Found.Unasked);
  if (!Names.empty())
    ask(Now, Entry, Step, std::move(Names));
}

// Small tasks of less urgent queues fill each hole as it comes, so that a
// larger urgent task would never find freeResources on a full cell. Load: all
// workers full, urgent tasks larger than those that end.
void JobScheduler::keepFree(Round &Now, const Queue &Terms,
                            const Candidates &Found, int Tasks) {
  if (Terms.SlackFactor >= TightSlack)
    return;
  std::vector<const Worker *> Hosts;
  for (const Candidate &At : Found.Valid)
    if (At.Slots == 0 && !Now.KeptFree.contains(At.Host))
      Hosts.push_back(At.Host);
  const auto MoreRoom = [](const Worker *Left, const Worker *Right) {
    return Left->freeResources().CpuMillis > Right->freeResources().CpuMillis;
  };
  std::stable_sort(Hosts.begin(), Hosts.end(), MoreRoom);
  for (std::size_t Index = 0;
       Index < Hosts.size() && Index < std::size_t(Tasks); ++Index)
    Now.KeptFree[Hosts[Index]] = Terms.Priority;
}

int JobScheduler::place(Round &Now, Job &Entry, int Step,
                        std::vector<Candidate> &Hosts, int Wanted,
                        std::int64_t GangRun) {
  StepState &State = Entry.Steps[std::size_t(Step)];
  int Placed = 0;
  for (std::size_t Index = 0; Index < State.Tasks.size() && Placed < Wanted;
       ++Index) {
    TaskState &Task = State.Tasks[Index];
    if (Task.Phase != TaskPhase::Ready)
      continue;
    Candidate *Chosen = nullptr;
    for (Candidate &At : Hosts) {
      if (At.Slots <= 0)
        continue;
      const bool FailedThere = Task.FailedOn.contains(At.Host->info().Life.Id);
      if (!Chosen || !FailedThere)
        Chosen = &At;
      if (!FailedThere)
        break;
    }
    if (!Chosen)
      return Placed;
    startOn(Now, Entry, Step, int(Index), *Chosen,
            GangRun > 0 ? GangRun : nextRun(Task.Run));
    --Chosen->Slots;
    ++Placed;
  }
  return Placed;
}

void JobScheduler::startOn(Round &Now, Job &Entry, int Step, int Index,
                           const Candidate &At, std::int64_t Run) {
  StepState &State = Entry.Steps[std::size_t(Step)];
  const StepSpec &Spec = Entry.Spec.Steps[std::size_t(Step)];
  TaskState &Task = State.Tasks[std::size_t(Index)];
  Worker &Host = *At.Host;
  const std::string Name = TaskId{Entry.Spec.Id, 0, Step, Index}.text();
  std::string Checkpoint = Task.Checkpoint;
  // The members of a gang resume from one checkpoint, that of any of them.
  if (Spec.Gang) {
    for (TaskState &Member : State.Tasks)
      if (!Member.Checkpoint.empty() && Checkpoint.empty())
        Checkpoint = Member.Checkpoint;
    for (TaskState &Member : State.Tasks)
      Member.Checkpoint = Checkpoint;
  }
  Task.Phase = TaskPhase::Placed;
  Task.Worker = Host.info().Life;
  Task.Run = Run;
  Task.PlacedAt = Now.Now;
  holdRoom(Host, Entry, TaskId{Entry.Spec.Id, 0, Step, Index}, Run, Spec,
           Now.Now);
  Changed.insert(Entry.Spec.Id);
  if (!Spec.BestEffort)
    Now.FreeCpuMillis -= Spec.Request.CpuMillis;
  if (!Entry.Started) {
    Entry.Started = true;
    --PendingJobs[Entry.Spec.Queue];
  }
  countWaiting(Entry, Step, -1);
  if (--State.ReadyCount == 0)
    dequeue(Entry, Step);
  Now.Result.Starts.push_back({Host.info().Life, Name, Run, Entry.Spec.Payload,
                               At.Advice ? At.Advice->Ticket : std::string(),
                               Checkpoint});
}

// Jobs that are of no use any more leave half of the advice service's time to
// all others. Load: hundreds of them after an outage, each of which would ask
// again whenever its tickets had run out.
bool JobScheduler::mayAsk(const Round &Now, const Queue &Terms,
                          const StepState &State) {
  const bool Useless = State.Rank && State.Rank->Tier == UselessTier;
  if (Useless && (Now.Advice.FastMs * 2 < Now.FullAdvice.FastMs ||
                  Now.Advice.SlowCalls * 2 < Now.FullAdvice.SlowCalls))
    return false;
  // The cost for the workers named is a small part in either case.
  const bool Slow =
      Terms.Advice && Terms.Advice->BaseMs >= AdviceBudget::SlowAdviceMs;
  return Slow ? Now.Advice.SlowCalls > 0 : Now.Advice.FastMs > 0;
}

void JobScheduler::ask(Round &Now, Job &Entry, int Step,
                       std::vector<std::string> Names) {
  StepState &State = Entry.Steps[std::size_t(Step)];
  const AdviceSettings &Terms = *queueOf(Entry).Advice;
  State.AdviceInFlight = true;
  const double Cost = Terms.BaseMs + Terms.PerWorkerMs * double(Names.size());
  if (Cost >= AdviceBudget::SlowAdviceMs)
    --Now.Advice.SlowCalls;
  else
    Now.Advice.FastMs -= Cost;
  Now.Result.Advice.push_back(
      {stepName(Entry.Spec.Id, Step), std::move(Names), Cost});
}

} // namespace apricotwing::jobs
