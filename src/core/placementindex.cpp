#include "core/placementindex.h"

#include <algorithm>
#include <limits>

namespace apricotwing {

namespace {

constexpr std::size_t MaxKnownSelectors = 4096;

bool hasLabels(const Labels &All, const Labels &Selector) {
  return std::ranges::all_of(Selector, [&](const auto &Term) {
    const auto Found = All.find(Term.first);
    return Found != All.end() && Found->second == Term.second;
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
  const auto Bound = [&](std::int64_t Has, std::int64_t Wants) {
    if (Wants > 0)
      Slots = std::min(Slots, Has / Wants);
  };
  Bound(Space.CpuMillis, Need.CpuMillis);
  Bound(Space.MemoryMib, Need.MemoryMib);
  Bound(Space.Accelerators, Need.Accelerators);
  return std::uint64_t(Slots);
}

WorkerIndex PlacementIndex::intern(const WorkerId &Id) {
  const auto [Found, Inserted] =
      Indexes.try_emplace(Id, WorkerIndex(Entries.size()));
  if (!Inserted)
    return Found->second;
  Entries.emplace_back();
  Entries.back().View.Id = Id;
  Rooms.emplace_back();
  refresh(Found->second);
  return Found->second;
}

WorkerIndex PlacementIndex::find(const WorkerId &Id) const {
  const auto Found = Indexes.find(Id);
  return Found == Indexes.end() ? NoWorker : Found->second;
}

void PlacementIndex::list(const WorkerView &View, bool &Changed) {
  const WorkerIndex Worker = intern(View.Id);
  Entry &Known = Entries[Worker];
  if (!Known.Listed || Known.View != View) {
    Changed = true;
    Known.View = View;
    const auto Number = [this](const std::string &Name) {
      return Places.try_emplace(Name, std::uint32_t(Places.size()))
          .first->second;
    };
    Known.Zone = Number("zone " + View.Zone);
    Known.Rack = Number("rack " + View.Zone + " " + View.Rack);
  }
  Known.Listed = true;
}

bool PlacementIndex::setWorkers(const std::vector<WorkerView> &Workers) {
  std::vector<bool> Before(Entries.size());
  for (std::size_t Worker = 0; Worker < Entries.size(); ++Worker)
    Before[Worker] = Entries[Worker].Listed;
  bool Changed = false;
  std::vector<bool> Now(Entries.size());
  for (const WorkerView &View : Workers) {
    list(View, Changed);
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
  Matches.clear();
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

void PlacementIndex::hold(WorkerIndex Worker, const Resources &Amount) {
  Entries[Worker].Held += Amount;
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
  const Entry &Known = Entries[Worker];
  return Known.Listed && !Known.View.Drained && !Known.View.Leaving;
}

bool PlacementIndex::isOpen(WorkerIndex Worker) const {
  const Entry &Known = Entries[Worker];
  if (!isServing(Worker) || !Known.Ready)
    return false;
  return Known.Health == WorkerHealth::Healthy ||
         (Known.Health == WorkerHealth::Probing && Known.Tasks == 0);
}

Resources PlacementIndex::unused(WorkerIndex Worker) const {
  const Entry &Known = Entries[Worker];
  return Known.View.Capacity - Known.Used - Known.Held;
}

void PlacementIndex::refresh(WorkerIndex Worker) {
  const Resources Before = Rooms[Worker];
  Rooms[Worker] = isOpen(Worker) ? unused(Worker) : Resources{-1, -1, -1};
  if (Entries[Worker].Grown || Rooms[Worker].fitsIn(Before))
    return;
  Entries[Worker].Grown = true;
  Grown.push_back(Worker);
}

void PlacementIndex::clearGrown() {
  for (const WorkerIndex Worker : Grown)
    Entries[Worker].Grown = false;
  Grown.clear();
}

const WorkerMask &PlacementIndex::matching(const Labels &Selector) {
  if (Matches.size() >= MaxKnownSelectors && !Matches.contains(Selector))
    Matches.clear();
  const auto [Found, Inserted] = Matches.try_emplace(Selector);
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
