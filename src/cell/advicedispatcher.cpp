#include "cell/advicedispatcher.h"

#include "cell/ports.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace apricotwing::cell {

namespace {

/// One in this many members, but at least one member, takes no slow calls.
constexpr std::size_t FastOnlyDivisor = 3;

/// A fast call goes to a small member only if it would wait this much longer at
/// all other members. A small member has little CPU time and exchanges messages
/// less often, so its answer arrives later by about this time.
constexpr Duration SmallMemberDelay{40};

/// A member is small if its CPU share is below this fraction of the largest.
constexpr double SmallShareRatio = 0.5;

/// Maximum total cost of the fast calls that are queued at one member.
constexpr Duration MaxFastQueue{100};

/// Time that an answer may take beyond the expected cost of the queued calls,
/// or a message about a call beyond the end of the call.
constexpr Duration AnswerTimeout{2500};

/// Cost assumed for the one fast call that a member takes as a probe.
constexpr Duration ProbeCost{10};

/// How long a member gets no calls after one has failed. Doubles with each
/// failure in a row.
constexpr Duration FirstPause{250};
constexpr Duration MaxPause{4000};

bool isSlow(const jobs::AdviceRequest &Request) {
  return Request.CostMs >= jobs::AdviceBudget::SlowAdviceMs;
}

} // namespace

void AdviceDispatcher::add(const std::string &Name, double CpuShare) {
  Members[Name].CpuShare = CpuShare;
  classifyMembers();
}

std::vector<std::string> AdviceDispatcher::remove(const std::string &Name) {
  std::vector<std::string> Lost;
  const auto Found = Members.find(Name);
  if (Found == Members.end())
    return Lost;
  for (const auto &[Step, Open] : Found->second.Calls)
    if (!Open.Overdue)
      Lost.push_back(Step);
  Members.erase(Found);
  classifyMembers();
  return Lost;
}

bool AdviceDispatcher::Member::hasOverdueCall() const {
  return std::any_of(Calls.begin(), Calls.end(),
                     [](const auto &Entry) { return Entry.second.Overdue; });
}

bool AdviceDispatcher::Member::mayTake(bool SlowCall, TimePoint Now) const {
  if (HasSlow || (SlowCall && !TakesSlow))
    return false;
  return isSound() || (Now >= PausedUntil && Calls.empty());
}

// Slow calls go to the smallest members because a slow call needs little CPU
// time; the largest third of the sound members takes none. A single sound
// member takes all calls. The others take calls of any kind as probes.
void AdviceDispatcher::classifyMembers() {
  std::vector<Member *> Order;
  double Largest = 0;
  for (auto &[Name, Entry] : Members) {
    Largest = std::max(Largest, Entry.CpuShare);
    Entry.TakesSlow = true;
    if (Entry.isSound())
      Order.push_back(&Entry);
  }
  const auto Smaller = [](const Member *Left, const Member *Right) {
    return Left->CpuShare < Right->CpuShare;
  };
  std::stable_sort(Order.begin(), Order.end(), Smaller);
  const std::size_t FastOnly =
      std::max<std::size_t>(Order.size() / FastOnlyDivisor, 1);
  const std::size_t Slow =
      std::max<std::size_t>(Order.size() - std::min(FastOnly, Order.size()), 1);
  for (std::size_t Index = 0; Index < Order.size(); ++Index)
    Order[Index]->TakesSlow = Index < Slow;
  for (auto &[Name, Entry] : Members)
    Entry.Small = Entry.CpuShare < Largest * SmallShareRatio;
}

// Members that are not sound may never answer, so they do not count towards the
// budget without calls.
jobs::AdviceBudget AdviceDispatcher::budget(TimePoint Now) const {
  jobs::AdviceBudget Budget;
  for (const auto &[Name, Entry] : Members) {
    if (Entry.isSound()) {
      Budget.MaxFastMs += double(MaxFastQueue.count());
      Budget.MaxSlowCalls += Entry.TakesSlow ? 1 : 0;
    }
    if (!Entry.mayTake(false, Now))
      continue;
    const Duration Room = Entry.isSound() ? MaxFastQueue : ProbeCost;
    const Duration Queued = Entry.BusyUntil - Now;
    Budget.FastMs +=
        double(std::clamp(Room - Queued, Duration{0}, Room).count());
    Budget.SlowCalls += Entry.TakesSlow ? 1 : 0;
  }
  return Budget;
}

std::optional<std::string>
AdviceDispatcher::assign(const jobs::AdviceRequest &Request, TimePoint Now) {
  const bool Slow = isSlow(Request);
  const auto FreeAt = [&](const Member &Entry) {
    const Duration Delay =
        Entry.Small && !Slow ? SmallMemberDelay : Duration::zero();
    return std::max(Entry.BusyUntil, Now) + Delay;
  };
  // No step has to wait for the result of a probe while another member has
  // room.
  const auto Cost = [&](const Member &Entry) {
    const bool HasRoom =
        Entry.isSound() && (Slow || Entry.BusyUntil - Now < MaxFastQueue);
    return std::tuple(!HasRoom, Entry.isSound(), FreeAt(Entry));
  };
  auto Best = Members.end();
  for (auto Entry = Members.begin(); Entry != Members.end(); ++Entry)
    if (Entry->second.mayTake(Slow, Now) &&
        (Best == Members.end() || Cost(Entry->second) < Cost(Best->second)))
      Best = Entry;
  if (Best == Members.end())
    return std::nullopt;
  Member &Chosen = Best->second;
  Chosen.HasSlow = Slow;
  Chosen.BusyUntil = std::max(Chosen.BusyUntil, Now) +
                     Duration(Duration::rep(Request.CostMs) + 1);
  const TimePoint Due = Chosen.BusyUntil + AnswerTimeout;
  Chosen.Calls[Request.Step] = {
      Now, Due, std::max(Due, Now + AdviceClient::Timeout + AnswerTimeout),
      false};
  return Best->first;
}

void AdviceDispatcher::removeCall(Member &Entry, const std::string &Step,
                                  TimePoint Now) {
  Entry.Calls.erase(Step);
  if (!Entry.Calls.empty())
    return;
  Entry.BusyUntil = Now;
  Entry.HasSlow = false;
}

void AdviceDispatcher::complete(const std::string &Name,
                                const std::string &Step, TimePoint Now) {
  const auto Found = Members.find(Name);
  if (Found == Members.end())
    return;
  removeCall(Found->second, Step, Now);
  Found->second.Failures = 0;
  Found->second.PausedUntil = TimePoint{};
  classifyMembers();
}

// Several calls that were open when the first of them failed count as one
// failure.
void AdviceDispatcher::recordFailure(Member &Entry, TimePoint Now) {
  if (Now < Entry.PausedUntil)
    return;
  Entry.PausedUntil =
      Now + std::min(FirstPause * (1 << std::min(Entry.Failures, 8)), MaxPause);
  ++Entry.Failures;
}

void AdviceDispatcher::fail(const std::string &Name, const std::string &Step,
                            TimePoint Now) {
  const auto Found = Members.find(Name);
  if (Found == Members.end())
    return;
  removeCall(Found->second, Step, Now);
  recordFailure(Found->second, Now);
  classifyMembers();
}

void AdviceDispatcher::withdraw(const std::string &Name,
                                const std::string &Step, TimePoint Now) {
  if (const auto Found = Members.find(Name); Found != Members.end())
    removeCall(Found->second, Step, Now);
}

std::vector<std::string> AdviceDispatcher::expireCalls(TimePoint Now) {
  std::vector<std::string> Overdue;
  for (auto &[Name, Entry] : Members) {
    std::vector<std::string> Ended;
    for (auto &[Step, Open] : Entry.Calls) {
      if (Now >= Open.Due && !std::exchange(Open.Overdue, true))
        Overdue.push_back(Step);
      if (Now >= Open.OpenUntil)
        Ended.push_back(Step);
    }
    for (const std::string &Step : Ended) {
      removeCall(Entry, Step, Now);
      recordFailure(Entry, Now);
    }
  }
  classifyMembers();
  return Overdue;
}

std::optional<TimePoint>
AdviceDispatcher::askedAt(const std::string &Name,
                          const std::string &Step) const {
  const auto Found = Members.find(Name);
  if (Found == Members.end())
    return std::nullopt;
  const auto Open = Found->second.Calls.find(Step);
  if (Open == Found->second.Calls.end())
    return std::nullopt;
  return Open->second.AskedAt;
}

bool AdviceDispatcher::isAsked(const std::string &Step) const {
  return std::any_of(Members.begin(), Members.end(), [&](const auto &Entry) {
    const auto Found = Entry.second.Calls.find(Step);
    return Found != Entry.second.Calls.end() && !Found->second.Overdue;
  });
}

std::size_t AdviceDispatcher::openCalls() const {
  std::size_t Sum = 0;
  for (const auto &[Name, Entry] : Members)
    Sum += Entry.Calls.size();
  return Sum;
}

} // namespace apricotwing::cell
