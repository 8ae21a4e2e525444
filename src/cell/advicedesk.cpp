#include "cell/advicedesk.h"

#include <algorithm>

namespace apricotwing::cell {

namespace {

/// One member in so many, at least one, takes no slow calls.
constexpr std::size_t FastOnlyPart = 3;

/// A quick call goes to a small member only if it would wait so much longer at
/// all others: with little processor time, and with mail less often, its
/// answer arrives later by about that.
constexpr Duration SmallMemberDelay{40};

/// Members with less than this part of the largest one's processor time.
constexpr double SmallPart = 0.5;

/// Short calls of this total cost may wait at one member.
constexpr Duration FastQueue{100};

/// Patience with a call beyond what its cost explains.
constexpr Duration Patience{2500};

bool isSlow(const jobs::AdviceRequest &Request) {
  return Request.CostMs >= jobs::AdviceBudget::SlowAdviceMs;
}

} // namespace

void AdviceDesk::add(const std::string &Name, double CpuShare) {
  Members[Name].CpuShare = CpuShare;
  rank();
}

std::vector<std::string> AdviceDesk::remove(const std::string &Name) {
  std::vector<std::string> Lost;
  const auto Found = Members.find(Name);
  if (Found == Members.end())
    return Lost;
  for (const auto &[Step, Due] : Found->second.Due)
    Lost.push_back(Step);
  Members.erase(Found);
  rank();
  return Lost;
}

// Slow calls go to the smallest members, as their time is spent waiting; the
// largest third takes none. A single member takes all.
void AdviceDesk::rank() {
  std::vector<Member *> Order;
  for (auto &[Name, Entry] : Members)
    Order.push_back(&Entry);
  const auto Smaller = [](const Member *Left, const Member *Right) {
    return Left->CpuShare < Right->CpuShare;
  };
  std::stable_sort(Order.begin(), Order.end(), Smaller);
  const std::size_t FastOnly =
      std::max<std::size_t>(Order.size() / FastOnlyPart, 1);
  const std::size_t Slow =
      std::max<std::size_t>(Order.size() - std::min(FastOnly, Order.size()), 1);
  for (std::size_t Place = 0; Place < Order.size(); ++Place) {
    Order[Place]->TakesSlow = Place < Slow;
    Order[Place]->Small =
        Order[Place]->CpuShare < Order.back()->CpuShare * SmallPart;
  }
}

jobs::AdviceBudget AdviceDesk::budget(TimePoint Now) const {
  jobs::AdviceBudget Budget;
  for (const auto &[Name, Entry] : Members) {
    Budget.MaxFastMs += double(FastQueue.count());
    Budget.MaxSlowCalls += Entry.TakesSlow ? 1 : 0;
    if (Entry.HasSlow)
      continue;
    const Duration Queued = Entry.BusyUntil - Now;
    Budget.FastMs +=
        double(std::clamp(FastQueue - Queued, Duration{0}, FastQueue).count());
    Budget.SlowCalls += Entry.TakesSlow ? 1 : 0;
  }
  return Budget;
}

std::optional<std::string>
AdviceDesk::assign(const jobs::AdviceRequest &Request, TimePoint Now) {
  const bool Slow = isSlow(Request);
  const auto FreeAt = [&](const Member &Entry) {
    const Duration Delay =
        Entry.Small && !Slow ? SmallMemberDelay : Duration::zero();
    return std::max(Entry.BusyUntil, Now) + Delay;
  };
  auto Best = Members.end();
  for (auto Entry = Members.begin(); Entry != Members.end(); ++Entry) {
    const Member &Candidate = Entry->second;
    if (Candidate.HasSlow || (Slow && !Candidate.TakesSlow))
      continue;
    if (Best == Members.end() || FreeAt(Candidate) < FreeAt(Best->second))
      Best = Entry;
  }
  if (Best == Members.end())
    return std::nullopt;
  Member &Chosen = Best->second;
  Chosen.HasSlow = Slow;
  Chosen.BusyUntil = std::max(Chosen.BusyUntil, Now) +
                     Duration(Duration::rep(Request.CostMs) + 1);
  Chosen.Due[Request.Step] = Chosen.BusyUntil + Patience;
  return Best->first;
}

void AdviceDesk::answered(const std::string &Name, const std::string &Step,
                          TimePoint Now) {
  const auto Found = Members.find(Name);
  if (Found == Members.end())
    return;
  Found->second.Due.erase(Step);
  if (!Found->second.Due.empty())
    return;
  Found->second.BusyUntil = Now;
  Found->second.HasSlow = false;
}

std::vector<std::string> AdviceDesk::takeOverdue(TimePoint Now) {
  std::vector<std::string> Overdue;
  for (auto &[Name, Entry] : Members) {
    const std::size_t Before = Entry.Due.size();
    std::erase_if(Entry.Due, [&](const auto &Call) {
      if (Now < Call.second)
        return false;
      Overdue.push_back(Call.first);
      return true;
    });
    if (Before > 0 && Entry.Due.empty())
      Entry.HasSlow = false;
  }
  return Overdue;
}

std::size_t AdviceDesk::openCalls() const {
  std::size_t Sum = 0;
  for (const auto &[Name, Entry] : Members)
    Sum += Entry.Due.size();
  return Sum;
}

} // namespace apricotwing::cell
