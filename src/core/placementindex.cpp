#include "core/placementindex.h"

#include <algorithm>
#include <limits>

namespace apricotwing {

namespace {

constexpr std::size_t MaxCachedSelectors = 4096;

bool hasLabels(const Labels &All, const Labels &Selector) {
  return std::ranges::all_of(Selector, [&](const auto &Label) {
    const auto Found = All.find(Label.first);
    return Found != All.end() && Found->second == Label.second;
  });
}

} // namespace

bool WorkerMask::empty() const {
  return std::ranges::all_of(Words, [](auto Word) { return Word == 0; });
}

WorkerMask &WorkerMask::operator&=(const WorkerMask &Other) {
  Words.resize(std::min(Words.size(), Other.Words.size()));
  for (std::size_t Word = 0; Word < Words.size(); ++Word)
    Words[Word] &= Other.Words[Word];
  return *this;
}

WorkerMask &WorkerMask::subtract(const WorkerMask &Other) {
  const std::size_t Common = std::min(Words.size(), Other.Words.size());
  for (std::size_t Word = 0; Word < Common; ++Word)
    Words[Word] &= ~Other.Words[Word];
  return *this;
}

std::uint64_t slotsIn(const Resources &Space, const Resources &Need) {
  if (!Space.isNonNegative())
    return 0;
  std::int64_t Slots = std::numeric_limits<std::int64_t>::max();
  const auto Limit = [&](std::int64_t Free, std::int64_t Required) {
    if (Required > 0)
      Slots = std::min(Slots, Free / Required);
  };
  Limit(Space.CpuMillis, Need.CpuMillis);
  Limit(Space.MemoryMib, Need.MemoryMib);
  Limit(Space.Accelerators, Need.Accelerators);
  return std::uint64_t(Slots);
}

WorkerIndex PlacementIndex::intern(const WorkerId &Id) {
  const auto [Found, Inserted] =
      Indexes.try_emplace(Id, WorkerIndex(Entries.size()));
  if (!Inserted)
    return Found->second;
  Entries.emplace_back();
  Entries.back().View.Id = Id;
  Available.emplace_back();
  refresh(Found->second);
  return Found->second;
}

WorkerIndex PlacementIndex::find(const WorkerId &Id) const {
  const auto Found = Indexes.find(Id);
  return Found == Indexes.end() ? NoWorker : Found->second;
}

void PlacementIndex::updateListed(const WorkerView &View, bool &Changed) {
  const WorkerIndex Worker = intern(View.Id);
  WorkerEntry &State = Entries[Worker];
  if (!State.Listed || State.View != View) {
    Changed = true;
    State.View = View;
    const auto Number = [this](const std::string &Name) {
      return TopologyNumbers
          .try_emplace(Name, std::uint32_t(TopologyNumbers.size()))
          .first->second;
    };
    State.Zone = Number("zone " + View.Zone);
    State.Rack = Number("rack " + View.Zone + " " + View.Rack);
  }
  State.Listed = true;
}

bool PlacementIndex::setWorkers(const std::vector<WorkerView> &Workers) {
  std::vector<bool> Before(Entries.size());
  for (std::size_t Worker = 0; Worker < Entries.size(); ++Worker)
    Before[Worker] = Entries[Worker].Listed;
  bool Changed = false;
  std::vector<bool> Now(Entries.size());
  for (const WorkerView &View : Workers) {
    updateListed(View, Changed);
    Now.resize(Entries.size());
    Now[Indexes.at(View.Id)] = true;
  }
  for (std::size_t Worker = 0; Worker < Before.size(); ++Worker)
    if (Before[Worker] && !Now[Worker]) {
      Entries[Worker].Listed = false;
      Changed = true;
    }
  if (!Changed)
    return false;
  MatchCache.clear();
  Total = Largest = {};
  for (WorkerIndex Worker = 0; Worker < Entries.size(); ++Worker) {
    if (isServing(Worker)) {
      Total += Entries[Worker].View.Capacity;
      Largest = Resources::max(Largest, Entries[Worker].View.Capacity);
    }
    refresh(Worker);
  }
  return true;
}

void PlacementIndex::allocate(WorkerIndex Worker, const Resources &Amount) {
  Entries[Worker].Used += Amount;
  ++Entries[Worker].Tasks;
  refresh(Worker);
}

void PlacementIndex::release(WorkerIndex Worker, const Resources &Amount) {
  Entries[Worker].Used -= Amount;
  --Entries[Worker].Tasks;
  refresh(Worker);
}

void PlacementIndex::adjust(WorkerIndex Worker, const Resources &Difference) {
  Entries[Worker].Used += Difference;
  refresh(Worker);
}

void PlacementIndex::reserve(WorkerIndex Worker, const Resources &Amount) {
  Entries[Worker].Reserved += Amount;
  refresh(Worker);
}

void PlacementIndex::setReady(WorkerIndex Worker, bool Ready) {
  if (Entries[Worker].Ready == Ready)
    return;
  Entries[Worker].Ready = Ready;
  refresh(Worker);
}

void PlacementIndex::setHealth(WorkerIndex Worker, WorkerHealth Health) {
  Entries[Worker].Health = Health;
  refresh(Worker);
}

bool PlacementIndex::isServing(WorkerIndex Worker) const {
  const WorkerEntry &State = Entries[Worker];
  return State.Listed && !State.View.Drained && !State.View.Leaving;
}

bool PlacementIndex::isEligible(WorkerIndex Worker) const {
  const WorkerEntry &State = Entries[Worker];
  if (!isServing(Worker) || !State.Ready)
    return false;
  return State.Health == WorkerHealth::Healthy ||
         (State.Health == WorkerHealth::Probing && State.Tasks == 0);
}

Resources PlacementIndex::unused(WorkerIndex Worker) const {
  const WorkerEntry &State = Entries[Worker];
  return State.View.Capacity - State.Used - State.Reserved;
}

void PlacementIndex::refresh(WorkerIndex Worker) {
  const Resources Before = Available[Worker];
  Available[Worker] =
      isEligible(Worker) ? unused(Worker) : Resources{-1, -1, -1};
  if (Entries[Worker].Increased || Available[Worker].fitsIn(Before))
    return;
  Entries[Worker].Increased = true;
  Increased.push_back(Worker);
}

void PlacementIndex::clearIncreased() {
  for (const WorkerIndex Worker : Increased)
    Entries[Worker].Increased = false;
  Increased.clear();
}

const WorkerMask &PlacementIndex::matching(const Labels &Selector) {
  if (MatchCache.size() >= MaxCachedSelectors && !MatchCache.contains(Selector))
    MatchCache.clear();
  const auto [Found, Inserted] = MatchCache.try_emplace(Selector);
  if (!Inserted)
    return Found->second;
  for (WorkerIndex Worker = 0; Worker < Entries.size(); ++Worker)
    if (isServing(Worker) &&
        hasLabels(Entries[Worker].View.AllLabels, Selector))
      Found->second.set(Worker, true);
  return Found->second;
}

std::uint64_t PlacementIndex::slotsWhenEmpty(const Resources &Need,
                                             const WorkerMask &Mask) const {
  std::uint64_t Slots = 0;
  Mask.forEach([&](WorkerIndex Worker) {
    Slots += slotsIn(Entries[Worker].View.Capacity, Need);
  });
  return Slots;
}

} // namespace apricotwing
