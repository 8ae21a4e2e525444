#include "cell/advicedesk.h"

#include <algorithm>

namespace apricotwing::cell {

namespace {

/// One member in so many, at least one, takes no slow calls.
constexpr std::size_t FastOnlyPart = 3;

/// Short calls of this total cost may wait at one member.
constexpr Duration FastQueue{100};

/// Patience with a call beyond what its cost explains.
constexpr Duration Patience{2500};

bool isSlow(const jobs::AdviceRequest &Request) {
  return Request.CostMs >= jobs::AdviceBudget::SlowAdviceMs;
}

} // namespace

void AdviceDesk::add(const std::string &Name) { Members.try_emplace(Name); }

std::vector<std::string> AdviceDesk::remove(const std::string &Name) {
  std::vector<std::string> Lost;
  const auto Found = Members.find(Name);
  if (Found == Members.end())
    return Lost;
  for (const auto &[Step, Due] : Found->second.Due)
    Lost.push_back(Step);
  Members.erase(Found);
  return Lost;
}

// Slow calls go to the first members by name; a single member takes all.
std::size_t AdviceDesk::slowMembers() const {
  const std::size_t FastOnly =
      std::max<std::size_t>(Members.size() / FastOnlyPart, 1);
  return std::max<std::size_t>(
      Members.size() - std::min(FastOnly, Members.size()), 1);
}

jobs::AdviceBudget AdviceDesk::budget(TimePoint Now) const {
  jobs::AdviceBudget Budget;
  std::size_t Place = 0;
  const std::size_t Slow = slowMembers();
  for (const auto &[Name, Entry] : Members) {
    const bool TakesSlow = Place++ < Slow;
    if (Entry.HasSlow)
      continue;
    const Duration Queued = Entry.BusyUntil - Now;
    Budget.FastMs +=
        double(std::clamp(FastQueue - Queued, Duration{0}, FastQueue).count());
    Budget.SlowCalls += TakesSlow ? 1 : 0;
  }
  return Budget;
}

std::optional<std::string>
AdviceDesk::assign(const jobs::AdviceRequest &Request, TimePoint Now) {
  const bool Slow = isSlow(Request);
  const std::size_t SlowCount = slowMembers();
  std::size_t Place = 0;
  auto Best = Members.end();
  for (auto Entry = Members.begin(); Entry != Members.end(); ++Entry) {
    const bool TakesSlow = Place++ < SlowCount;
    if (Entry->second.HasSlow || (Slow && !TakesSlow))
      continue;
    if (Best == Members.end() ||
        Entry->second.BusyUntil < Best->second.BusyUntil)
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
