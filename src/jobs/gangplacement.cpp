/// \file
/// The part of JobScheduler that places gangs, which run whole or not at all.
#include "jobs/jobscheduler.h"

#include <algorithm>
#include <tuple>

namespace apricotwing::jobs {

namespace {

/// Largest number of workers that the advice service takes in one call.
constexpr std::size_t MaxWorkersPerAdvice = 100;

/// Approved workers named beyond those that a gang needs, as some rooms are
/// taken until the answer comes.
constexpr int SpareWorkersForGang = 4;

/// Part of a call's fixed cost that is always spent on naming workers: a second
/// call costs far more than some names too many in the first.
constexpr double NamesShare = 0.5;

/// Free freeResources that a call for advice should find, as a multiple of what
/// the gang needs: approvals vary, and some freeResources is taken until the
/// answer comes.
constexpr double ExpectedRoomMargin = 2;

/// Room that the approved workers of a gang should have when empty, as a
/// multiple of what it needs; fewer leave it waiting for particular workers.
constexpr int GangChoice = 5;

/// A gang that waits for freeResources asks about others if these are likely to
/// have so much of what it needs now.
constexpr double WorthwhileRoom = 0.25;

/// Keeps the number of workers named for a gang finite while none was approved.
constexpr double LeastApprovalRate = 0.05;

/// A gang is as slow as its slowest member, so workers that take this much
/// longer than usual are used last.
constexpr double SlowPace = 1.5;

/// Number of workers that can be named for NamesShare of a call's fixed cost.
std::size_t usualNames(const AdviceSettings &Terms) {
  if (Terms.PerWorkerMs <= 0)
    return MaxWorkersPerAdvice;
  return std::min(MaxWorkersPerAdvice,
                  std::size_t(Terms.BaseMs * NamesShare / Terms.PerWorkerMs));
}

template <typename List> int totalSlots(const List &Entries) {
  int Sum = 0;
  for (const auto &Entry : Entries)
    Sum += Entry.Slots;
  return Sum;
}

} // namespace

void JobScheduler::serveGang(Round &Now, Job &Entry, int Step,
                             Candidates Found) {
  StepState &State = Entry.Steps[std::size_t(Step)];
  const StepSpec &Spec = Entry.Spec.Steps[std::size_t(Step)];
  const std::string Name = stepName(Entry.Spec.Id, Step);
  // Members of the last run that are being stopped are still placed.
  if (State.ReadyCount != Spec.Count ||
      allowedByCap(Entry, Spec) < Spec.Count) {
    clearClaims(Name, State);
    return;
  }
  Now.FreeCpuMillis -= Spec.Request.CpuMillis * Spec.Count;
  const auto Preferred = [](const Candidate &Left, const Candidate &Right) {
    const auto Rank = [](const Candidate &At) {
      return std::tuple(At.Slots == 0, At.Host->pace() > SlowPace, -At.Slots);
    };
    return Rank(Left) < Rank(Right);
  };
  for (auto *Part : {&Found.Valid, &Found.Expired, &Found.Unasked})
    std::stable_sort(Part->begin(), Part->end(), Preferred);
  if (totalSlots(Found.Valid) >= Spec.Count) {
    std::int64_t Last = 0;
    for (const TaskState &Task : State.Tasks)
      Last = std::max(Last, Task.Run);
    clearClaims(Name, State);
    place(Now, Entry, Step, Found.Valid, Spec.Count, nextRun(Last));
    return;
  }
  std::vector<Candidate> Approved = std::move(Found.Valid);
  Approved.insert(Approved.end(), Found.Expired.begin(), Found.Expired.end());
  std::stable_sort(Approved.begin(), Approved.end(), Preferred);
  claimRoom(Now, Entry, Step, Approved);
  if (queueOf(Entry).Advice)
    askForGang(Now, Entry, Step, Approved, Found.Unasked);
}

// Names workers that have freeResources now: those whose approval is known, to
// have all tickets valid at one time, and as many others as are likely to be
// approved with enough freeResources. If there is not enough freeResources,
// others are asked about ahead, until the approved ones could hold the gang
// several times over. Load: gangs on a cell that is full but for small rooms on
// many workers.
void JobScheduler::askForGang(Round &Now, Job &Entry, int Step,
                              const std::vector<Candidate> &Approved,
                              const std::vector<Candidate> &Unasked) {
  const Queue &Terms = queueOf(Entry);
  if (!mayAsk(Now, Terms, Entry.Steps[std::size_t(Step)]))
    return; // Later in this round or in the next ones.
  const StepSpec &Spec = Entry.Spec.Steps[std::size_t(Step)];
  const double Chance = std::max(approvalRate(Terms.Name), LeastApprovalRate);
  const std::size_t Usual = usualNames(*Terms.Advice);
  std::vector<std::string> Names;
  int Known = 0;
  int Spare = SpareWorkersForGang;
  for (const Candidate &At : Approved) {
    if (At.Slots == 0 || Names.size() >= MaxWorkersPerAdvice ||
        (Known >= Spec.Count && Spare-- <= 0))
      break;
    Known += At.Slots;
    Names.push_back(At.Host->info().Life.Id);
  }
  double Expected = Known;
  if (Known < Spec.Count)
    for (const Candidate &At : Unasked) {
      const bool Enough =
          Expected >= ExpectedRoomMargin * Spec.Count && Names.size() >= Usual;
      if (Enough || Names.size() >= MaxWorkersPerAdvice)
        break;
      if (At.Slots == 0)
        continue;
      Expected += At.Slots * Chance;
      Names.push_back(At.Host->info().Life.Id);
    }
  if (Expected < Spec.Count) {
    int Potential = 0;
    for (const Candidate &At : Approved)
      Potential += At.Host->slotsIfEmpty(Spec);
    if (Unasked.empty())
      return; // Only freeResources is missing.
    const bool HasChoice = Potential >= GangChoice * Spec.Count;
    if (HasChoice && Expected - Known < WorthwhileRoom * Spec.Count)
      return;
    // Gangs that have their freeResources must not wait behind those that
    // explore.
    if (HasChoice && Now.Advice.SlowCalls * 2 < Now.FullAdvice.SlowCalls)
      return;
    Names.clear();
    double Missing = GangChoice * Spec.Count - Potential;
    for (const Candidate &At : Unasked) {
      if (Names.size() >= MaxWorkersPerAdvice ||
          (Missing <= 0 && Names.size() >= Usual) ||
          (HasChoice && At.Slots == 0))
        break;
      Missing -= At.Host->slotsIfEmpty(Spec) * Chance;
      Names.push_back(At.Host->info().Life.Id);
    }
  }
  ask(Now, Entry, Step, std::move(Names));
}

// Claims what is free on approved workers, so that a gang gathers its
// freeResources while tasks of others end. Whole workers were reserved before,
// which stood empty until the last of their tasks had ended. Of a limited part
// of the processors, the gangs that are served first get theirs.
void JobScheduler::claimRoom(Round &Now, Job &Entry, int Step,
                             const std::vector<Candidate> &Approved) {
  StepState &State = Entry.Steps[std::size_t(Step)];
  const StepSpec &Spec = Entry.Spec.Steps[std::size_t(Step)];
  const std::string Name = stepName(Entry.Spec.Id, Step);
  Now.ClaimableCpuMillis += clearClaims(Name, State);
  int Missing = Spec.Count;
  for (const Candidate &At : Approved) {
    if (Missing == 0 || At.Slots == 0)
      return;
    if (Now.ClaimableCpuMillis <= 0 && !takeClaims(Now, *State.Rank))
      return;
    const int Slots = std::min(At.Slots, Missing);
    At.Host->claim(Name, Spec, Slots);
    State.Claimed.insert(At.Host->info().Life.Id);
    Now.ClaimableCpuMillis -= Spec.Request.CpuMillis * Slots;
    Missing -= Slots;
  }
}

// Gives up the claims of the last gang in the order, if that comes after
// First; false if there is none. Not those for which tickets are under way.
bool JobScheduler::takeClaims(Round &Now, const WaitRank &First) {
  for (auto Last = Waiting.rbegin();
       Last != Waiting.rend() && First < Last->first; ++Last) {
    const StepRef &Ref = Last->second;
    StepState &State = Ref.Owner->Steps[std::size_t(Ref.Step)];
    if (State.Claimed.empty() || State.AdviceInFlight)
      continue;
    Now.ClaimableCpuMillis +=
        clearClaims(stepName(Ref.Owner->Spec.Id, Ref.Step), State);
    return true;
  }
  return false;
}

// Returns the processors that the claims held.
std::int64_t JobScheduler::clearClaims(const std::string &Step,
                                       StepState &State) {
  std::int64_t Freed = 0;
  for (const std::string &Id : State.Claimed)
    if (const auto Host = Workers.find(Id); Host != Workers.end())
      Freed += Host->second.releaseClaim(Step).CpuMillis;
  State.Claimed.clear();
  return Freed;
}

} // namespace apricotwing::jobs
