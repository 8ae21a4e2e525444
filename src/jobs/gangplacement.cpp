/// \file
/// The part of JobScheduler that places gangs, whose tasks all run at the same
/// time or not at all.
#include "jobs/jobscheduler.h"

#include <algorithm>
#include <tuple>

namespace apricotwing::jobs {

namespace {

/// Maximum number of workers that the advice service accepts in one call.
constexpr std::size_t MaxWorkersPerAdvice = 100;

/// Approved workers named in addition to those that a gang needs, because free
/// resources on some are taken before the answer arrives.
constexpr int SpareWorkersForGang = 4;

/// The cost of the workers named in a call may always reach this share of the
/// call's fixed cost: a second call costs far more than a few unneeded workers
/// in the first.
constexpr double NamingCostShare = 0.5;

/// Free slots that a call for advice should be expected to find, as a multiple
/// of what the gang needs: approvals vary, and some slots are taken before the
/// answer arrives.
constexpr double ExpectedSlotsMargin = 2;

/// Slots that the approved workers of a gang should have when empty, as a
/// multiple of what the gang needs. With fewer, the gang would have to wait for
/// particular workers.
constexpr int GangChoiceFactor = 5;

/// A waiting gang requests advice about further workers if these are likely to
/// provide this share of the slots that it needs now.
constexpr double WorthwhileFreeShare = 0.25;

/// How long a gang that cannot start waits after a call that names only a few
/// workers, before it makes another such call. Doubles with each of them.
constexpr Duration FirstFewWorkersPause{1000};
constexpr Duration MaxFewWorkersPause{4000};

/// Lower bound of the approval rate in estimates, so that the number of workers
/// named for a gang stays finite while none has been approved.
constexpr double MinApprovalRate = 0.05;

/// Workers with a slowdown above this are used last, because a gang is as slow
/// as its slowest member.
constexpr double SlowWorkerThreshold = 1.5;

/// Number of workers whose cost is NamingCostShare of a call's fixed cost.
std::size_t usualWorkerCount(const AdviceSettings &Settings) {
  if (Settings.PerWorkerMs <= 0)
    return MaxWorkersPerAdvice;
  return std::min(
      MaxWorkersPerAdvice,
      std::size_t(Settings.BaseMs * NamingCostShare / Settings.PerWorkerMs));
}

} // namespace

// Why a gang may not start, whatever room there is; empty if it may.
std::optional<WaitCause> JobScheduler::obstacleOfGang(const Job &CurrentJob,
                                                      int Step,
                                                      TimePoint Now) const {
  const StepState &State = CurrentJob.Steps[std::size_t(Step)];
  const StepSpec &Spec = CurrentJob.Spec.Steps[std::size_t(Step)];
  if (std::any_of(State.Tasks.begin(), State.Tasks.end(),
                  [&](const TaskState &Task) {
                    return isHeldBack(CurrentJob, Step, Task, Now);
                  }))
    return WaitCause::Suspect;
  // Members of the previous run that are being stopped still count as placed.
  if (allowedByCap(CurrentJob, Spec) < Spec.Count)
    return WaitCause::AccountLimit;
  if (State.ReadyCount != Spec.Count)
    return WaitCause::MembersActive;
  return std::nullopt;
}

void JobScheduler::scheduleGang(Round &Current, Job &CurrentJob, int Step,
                                Candidates Found) {
  StepState &State = CurrentJob.Steps[std::size_t(Step)];
  const StepSpec &Spec = CurrentJob.Spec.Steps[std::size_t(Step)];
  const std::string Name = stepName(CurrentJob.Spec.Id, Step);
  State.Cause = WaitCause::NoSlots;
  const auto Preferred = [&Current](const Candidate &Left,
                                    const Candidate &Right) {
    const auto Rank = [&Current](const Candidate &Option) {
      return std::tuple(Option.Slots == 0, Option.ReservedFor,
                        Option.Host->isCold(Current.Now),
                        Option.Host->slowdown() > SlowWorkerThreshold,
                        -Option.Slots);
    };
    return Rank(Left) < Rank(Right);
  };
  for (auto *Group : {&Found.Valid, &Found.Expired, &Found.Unadvised})
    std::stable_sort(Group->begin(), Group->end(), Preferred);
  if (freeSlots(Found.Valid) >= Spec.Count) {
    std::int64_t Last = 0;
    for (const TaskState &Task : State.Tasks)
      Last = std::max(Last, Task.Run);
    releaseClaims(Name, State);
    place(Current, CurrentJob, Step, Found.Valid, Spec.Count, nextRun(Last));
    return;
  }
  std::vector<Candidate> Approved = std::move(Found.Valid);
  Approved.insert(Approved.end(), Found.Expired.begin(), Found.Expired.end());
  std::stable_sort(Approved.begin(), Approved.end(), Preferred);
  claimFreeResources(Current, CurrentJob, Step, Approved);
  if (queueOf(CurrentJob).Advice)
    requestGangAdvice(Current, CurrentJob, Step, Approved, Found.Unadvised);
}

// Requests advice about workers that have free slots now: the approved ones, so
// that all tickets are valid at the same time, and as many others as are needed
// for enough approvals. If there are not enough free slots, advice about
// further workers is requested in advance, until the approved workers, when
// empty, have several times the slots that the gang needs. This matters for
// gangs in a cell where only a few resources are free on each of many workers.
// Workers that appear one by one are collected for such a call.
void JobScheduler::requestGangAdvice(Round &Current, Job &CurrentJob, int Step,
                                     const std::vector<Candidate> &Approved,
                                     const std::vector<Candidate> &Unadvised) {
  const Queue &JobQueue = queueOf(CurrentJob);
  StepState &State = CurrentJob.Steps[std::size_t(Step)];
  const StepSpec &Spec = CurrentJob.Spec.Steps[std::size_t(Step)];
  const double ApprovalChance =
      std::max(approvalRate(JobQueue.Name), MinApprovalRate);
  const std::size_t UsualCount = usualWorkerCount(*JobQueue.Advice);
  std::vector<std::string> WorkerIds;
  int ApprovedSlots = 0;
  int SparesLeft = SpareWorkersForGang;
  for (const Candidate &Option : Approved) {
    if (Option.Slots == 0 || WorkerIds.size() >= MaxWorkersPerAdvice ||
        (ApprovedSlots >= Spec.Count && SparesLeft-- <= 0))
      break;
    ApprovedSlots += Option.Slots;
    WorkerIds.push_back(Option.Host->info().Incarnation.Id);
  }
  double ExpectedSlots = ApprovedSlots;
  if (ApprovedSlots < Spec.Count)
    for (const Candidate &Option : Unadvised) {
      const bool Enough = ExpectedSlots >= ExpectedSlotsMargin * Spec.Count &&
                          WorkerIds.size() >= UsualCount;
      if (Enough || WorkerIds.size() >= MaxWorkersPerAdvice)
        break;
      if (Option.Slots == 0)
        continue;
      ExpectedSlots += Option.Slots * ApprovalChance;
      WorkerIds.push_back(Option.Host->info().Incarnation.Id);
    }
  bool NamesFewInAdvance = false;
  if (ExpectedSlots < Spec.Count) {
    int PotentialSlots = 0;
    for (const Candidate &Option : Approved)
      PotentialSlots += Option.Host->slotsIfEmpty(Spec);
    if (Unadvised.empty())
      return; // All workers are advised; only free slots are missing.
    const bool HasChoice = PotentialSlots >= GangChoiceFactor * Spec.Count;
    if (HasChoice &&
        ExpectedSlots - ApprovedSlots < WorthwhileFreeShare * Spec.Count)
      return;
    // Requests in advance must not delay the requests of gangs that have their
    // free slots.
    if (HasChoice &&
        Current.Advice.SlowCalls * 2 < Current.FullAdvice.SlowCalls)
      return;
    WorkerIds.clear();
    double MissingSlots = GangChoiceFactor * Spec.Count - PotentialSlots;
    for (const Candidate &Option : Unadvised) {
      if (WorkerIds.size() >= MaxWorkersPerAdvice ||
          (MissingSlots <= 0 && WorkerIds.size() >= UsualCount) ||
          (HasChoice && Option.Slots == 0))
        break;
      MissingSlots -= Option.Host->slotsIfEmpty(Spec) * ApprovalChance;
      WorkerIds.push_back(Option.Host->info().Incarnation.Id);
    }
    const bool MayStart = ApprovedSlots + freeSlots(Unadvised) >= Spec.Count;
    NamesFewInAdvance = !MayStart && WorkerIds.size() < UsualCount;
    if (NamesFewInAdvance && Current.Now < State.NextFewWorkersCall)
      return;
  }
  requestAdvice(Current, CurrentJob, Step, std::move(WorkerIds));
  if (!State.AdviceInFlight || !NamesFewInAdvance)
    return;
  State.FewWorkersPause = std::clamp(2 * State.FewWorkersPause,
                                     FirstFewWorkersPause, MaxFewWorkersPause);
  State.NextFewWorkersCall = Current.Now + State.FewWorkersPause;
}

// Claims free resources on approved workers, so that a gang accumulates slots
// while tasks of other steps end. Reserving whole workers instead left them
// idle until the last of their tasks had ended. Only a limited share of the
// processors can be claimed; gangs that rank first get theirs first. A gang for
// which there is no room beside the tasks that last claims nothing. Of the
// waiting gangs that fit the approved workers, the first one can always
// complete its claims: a gang that does not fit has none, and one that lacks
// some yields to those before it. Otherwise gangs that each hold a part of what
// others need wait for ever.
void JobScheduler::claimFreeResources(Round &Current, Job &CurrentJob, int Step,
                                      const std::vector<Candidate> &Approved) {
  StepState &State = CurrentJob.Steps[std::size_t(Step)];
  const StepSpec &Spec = CurrentJob.Spec.Steps[std::size_t(Step)];
  const std::string Name = stepName(CurrentJob.Spec.Id, Step);
  Current.ClaimableCpuMillis += releaseClaims(Name, State);
  int PotentialSlots = 0;
  for (const Candidate &Option : Approved)
    PotentialSlots += Option.Host->slotsBesideLasting(Spec);
  if (PotentialSlots < Spec.Count)
    return;
  int MissingSlots = Spec.Count;
  for (const Candidate &Option : Approved) {
    if (MissingSlots == 0 || Option.Slots == 0)
      return;
    if (Current.ClaimableCpuMillis <= 0 &&
        !revokeLastClaims(Current, *State.Rank))
      return;
    const int Slots = std::min(Option.Slots, MissingSlots);
    Option.Host->claim(Name, Spec, Slots);
    State.Claimed[Option.Host->info().Incarnation.Id] = Slots;
    Claimants[Name] = StepRef{&CurrentJob, Step};
    takeClaims(Current, *Option.Host, *State.Rank);
    Current.ClaimableCpuMillis -= Spec.Request.CpuMillis * Slots;
    Current.FreeCpuMillis -= Spec.Request.CpuMillis * Slots;
    MissingSlots -= Slots;
  }
}

// Releases the claims of the gang that ranks last, if it ranks after First;
// false if there is none. Skips gangs whose request for advice is in flight.
bool JobScheduler::revokeLastClaims(Round &Current, const WaitRank &First) {
  for (auto Last = Waiting.rbegin();
       Last != Waiting.rend() && First < Last->first; ++Last) {
    const StepRef &Ref = Last->second;
    StepState &State = Ref.Owner->Steps[std::size_t(Ref.Step)];
    if (State.Claimed.empty() || State.AdviceInFlight)
      continue;
    Current.ClaimableCpuMillis +=
        releaseClaims(stepName(Ref.Owner->Spec.Id, Ref.Step), State);
    return true;
  }
  return false;
}

// Names of the steps whose gangs rank after \p Rank and lack claims.
std::set<std::string> JobScheduler::yieldingTo(const WaitRank &Rank) const {
  std::set<std::string> Result;
  for (const auto &[Name, Ref] : Claimants) {
    const StepState &State = Ref.Owner->Steps[std::size_t(Ref.Step)];
    if (State.Rank && Rank < *State.Rank && !State.hasAllClaims())
      Result.insert(Name);
  }
  return Result;
}

// Releases claims on a worker whose resources have been claimed or used by a
// gang that ranks before.
void JobScheduler::takeClaims(Round &Current, Worker &Host,
                              const WaitRank &Rank) {
  if (Host.claimed().fitsIn(Host.freeResources()))
    return;
  for (const std::string &Name : yieldingTo(Rank)) {
    if (!Host.claims().contains(Name))
      continue;
    const StepRef &Ref = Claimants.at(Name);
    Ref.Owner->Steps[std::size_t(Ref.Step)].Claimed.erase(
        Host.info().Incarnation.Id);
    Current.ClaimableCpuMillis += Host.releaseClaim(Name).CpuMillis;
    if (Host.claimed().fitsIn(Host.freeResources()))
      return;
  }
}

// Returns the claimed processors, in thousandths of a core.
std::int64_t JobScheduler::releaseClaims(const std::string &Step,
                                         StepState &State) {
  std::int64_t Freed = 0;
  for (const auto &[Id, Slots] : State.Claimed)
    if (const auto Host = Workers.find(Id); Host != Workers.end())
      Freed += Host->second.releaseClaim(Step).CpuMillis;
  State.Claimed.clear();
  Claimants.erase(Step);
  return Freed;
}

} // namespace apricotwing::jobs
