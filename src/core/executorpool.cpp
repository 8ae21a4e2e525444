#include "core/executorpool.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <utility>

namespace apricotwing {

namespace {

using namespace std::chrono_literals;

constexpr int FailuresToEject = 3;
constexpr Duration FirstEjection = 1s;
constexpr Duration LongestEjection = 60s;

/// An executor that said it is leaving stays out for this long even if the
/// list, which lags, goes on to show it as live.
constexpr Duration LeavingHold = 10min;

/// Weight of the newest sample in a mean latency.
constexpr double LatencyWeight = 0.2;

/// Slots that an instance holds in reserve, so that a request after a pause
/// does not wait for a grant.
constexpr std::int64_t LeastReserve = 2;

/// While requests wait for slots, other executors are asked after this time.
constexpr Duration WishRotation = 500ms;

void updateMean(double &Mean, Duration Sample) {
  // A mean of zero stands for "unknown", so a sample counts at least 1 ms.
  const double Value = std::max<double>(double(Sample.count()), 1);
  Mean = Mean == 0 ? Value : Mean + LatencyWeight * (Value - Mean);
}

} // namespace

ExecutorPool::ExecutorPool(InstanceId Instance, std::string Zone)
    : Instance(std::move(Instance)), Zone(std::move(Zone)) {}

ExecutorPool::Executor &ExecutorPool::ensure(const std::string &Id) {
  const auto [Where, New] = ById.try_emplace(Id, LastSerial + 1);
  if (New) {
    Executor &Added = Executors[++LastSerial];
    Added.Number = LastSerial;
    Added.Id = Id;
  }
  return Executors.at(Where->second);
}

ExecutorPool::Executor *ExecutorPool::find(Serial Number) {
  const auto Where = Executors.find(Number);
  return Where == Executors.end() ? nullptr : &Where->second;
}

const ExecutorPool::Executor *ExecutorPool::find(Serial Number) const {
  const auto Where = Executors.find(Number);
  return Where == Executors.end() ? nullptr : &Where->second;
}

bool ExecutorPool::live(const Executor &Of) {
  return Of.ListedLive && !Of.SaidLeaving;
}

int ExecutorPool::latencyClass(double Milliseconds) {
  // Classes of half an octave: smaller differences are noise and must not
  // outweigh the zone.
  constexpr double ClassesPerOctave = 2;
  return int(std::log2(Milliseconds + 1) * ClassesPerOctave);
}

void ExecutorPool::refresh(Executor &Of) {
  if (Of.Ranked)
    Free.erase(*Of.Ranked);
  Of.Ranked.reset();
  Usable -= Of.Usable;
  const bool Takes = live(Of) && !Of.EjectedUntil;
  Of.Usable = Takes ? std::min(Of.Granted, Capacity) : 0;
  if (Of.Probing)
    Of.Usable = std::min<std::int64_t>(Of.Usable, 1);
  Usable += Of.Usable;
  const std::int64_t FreeSlots = Of.Usable - Of.Taken;
  if (FreeSlots <= 0)
    return;
  // The one request of a probe goes first; with a single slot an executor
  // would otherwise never be chosen again.
  Of.Ranked =
      Rank{Of.Probing ? std::numeric_limits<std::int64_t>::min() : -FreeSlots,
           latencyClass(Of.Latency), !Of.SameZone, Of.Number};
  Free.insert(*Of.Ranked);
}

void ExecutorPool::setCapacity(std::int64_t Slots) {
  if (Slots == Capacity)
    return;
  Capacity = Slots;
  for (auto &[Number, Of] : Executors)
    refresh(Of);
}

void ExecutorPool::list(const ListedExecutor &Entry, TimePoint Now) {
  Executor &Of = ensure(Entry.Id);
  if (Of.Address != Entry.Address) {
    Of.Address = Entry.Address;
    Of.Latency = 0;
  }
  Of.SameZone = Entry.Zone == Zone;
  Of.ListedLive = Entry.State == ListedState::Live;
  if (Of.SaidLeaving && Now - *Of.SaidLeaving >= LeavingHold)
    Of.SaidLeaving.reset();
}

void ExecutorPool::setList(const std::vector<const ListedExecutor *> &List,
                           TimePoint Now) {
  for (auto &[Number, Of] : Executors)
    Of.ListedLive = false;
  for (const ListedExecutor *Entry : List)
    list(*Entry, Now);
  for (auto &[Number, Of] : Executors) {
    if (!Of.ListedLive)
      Of.SaidLeaving.reset();
    refresh(Of);
  }
  forgetAbsent();
}

void ExecutorPool::forgetAbsent() {
  for (auto Where = Executors.begin(); Where != Executors.end();) {
    const Executor &Of = Where->second;
    if (Of.ListedLive || Of.Taken > 0 || Of.Granted > 0) {
      ++Where;
      continue;
    }
    if (Of.EjectedUntil)
      Ejected.erase({*Of.EjectedUntil, Of.Number});
    ById.erase(Of.Id);
    Where = Executors.erase(Where);
  }
}

void ExecutorPool::setGrants(const Amounts &ByExecutor) {
  for (auto &[Number, Of] : Executors)
    Of.Granted = 0;
  for (const auto &[Id, Amount] : ByExecutor)
    ensure(Id).Granted = Amount;
  for (auto &[Number, Of] : Executors)
    refresh(Of);
}

void ExecutorPool::advance(TimePoint Now) {
  while (!Ejected.empty() && Ejected.begin()->first <= Now) {
    Executor *Of = find(Ejected.begin()->second);
    Ejected.erase(Ejected.begin());
    Of->EjectedUntil.reset();
    Of->Probing = true;
    Of->Failures = FailuresToEject - 1;
    refresh(*Of);
  }
}

std::optional<ExecutorPool::Choice>
ExecutorPool::take(const std::vector<Serial> &Tried, TimePoint Now) {
  for (const Rank &Candidate : Free) {
    const Serial Number = std::get<Serial>(Candidate);
    if (std::find(Tried.begin(), Tried.end(), Number) != Tried.end())
      continue;
    Executor &Of = *find(Number);
    ++Of.Taken;
    ++Taken;
    Of.Peak.note(Of.Taken, Now);
    Peak.note(Taken, Now);
    refresh(Of);
    return Choice{Number, Of.Id, Of.Address};
  }
  return std::nullopt;
}

void ExecutorPool::release(Serial Number, TimePoint Now) {
  Executor *Of = find(Number);
  if (!Of || Of->Taken == 0)
    return;
  Of->Peak.note(Of->Taken, Now);
  Peak.note(Taken, Now);
  --Of->Taken;
  --Taken;
  refresh(*Of);
}

void ExecutorPool::noteSuccess(Serial Number, Duration Latency, TimePoint) {
  updateMean(MeanLatency, Latency);
  Executor *Of = find(Number);
  if (!Of)
    return;
  updateMean(Of->Latency, Latency);
  Of->Failures = 0;
  if (!Of->EjectedUntil) {
    Of->Backoff = 0;
    Of->Probing = false;
  }
  refresh(*Of);
}

void ExecutorPool::noteFailure(Serial Number, TimePoint Now) {
  Executor *Of = find(Number);
  if (!Of || Of->EjectedUntil)
    return;
  ++Of->Failures;
  if (Of->Failures >= FailuresToEject && mayEject())
    eject(*Of, Now);
}

bool ExecutorPool::mayEject() const {
  const auto Live =
      std::count_if(Executors.begin(), Executors.end(),
                    [](const auto &Entry) { return live(Entry.second); });
  return 2 * (Ejected.size() + 1) <= std::size_t(Live);
}

void ExecutorPool::eject(Executor &Of, TimePoint Now) {
  constexpr int LargestShift = 16;
  const Duration Time =
      std::min(FirstEjection * (1 << std::min(Of.Backoff, LargestShift)),
               LongestEjection);
  ++Of.Backoff;
  ++Ejections;
  Of.EjectedUntil = Now + Time;
  Ejected.emplace(*Of.EjectedUntil, Of.Number);
  refresh(Of);
}

void ExecutorPool::noteLeaving(Serial Number, TimePoint Now) {
  Executor *Of = find(Number);
  if (!Of || !Of->ListedLive)
    return;
  Of->SaidLeaving = Now;
  refresh(*Of);
}

bool ExecutorPool::isLive(Serial Number) const {
  const Executor *Of = find(Number);
  return Of && live(*Of);
}

bool ExecutorPool::hasUntried(const std::vector<Serial> &Tried) const {
  return std::any_of(
      Executors.begin(), Executors.end(), [&Tried](const auto &Entry) {
        return live(Entry.second) && std::find(Tried.begin(), Tried.end(),
                                               Entry.first) == Tried.end();
      });
}

std::optional<TimePoint> ExecutorPool::nextWake() const {
  if (Ejected.empty())
    return std::nullopt;
  return Ejected.begin()->first;
}

std::vector<const ExecutorPool::Executor *>
ExecutorPool::byPreference(const Amounts &Held, std::uint64_t Seed) const {
  using Place = std::tuple<bool, bool, std::size_t>;
  std::vector<std::pair<Place, const Executor *>> Places;
  for (const auto &[Number, Of] : Executors) {
    if (!live(Of) || Of.EjectedUntil)
      continue;
    const bool Spare = Of.Granted > Held.at(Of.Id);
    const std::size_t Spread =
        std::hash<std::string>{}(Instance + "/" + Of.Id) ^
        (Spare ? 0 : Seed * 0x9E3779B97F4A7C15ULL);
    Places.emplace_back(Place{!Spare, !Of.SameZone, Spread}, &Of);
  }
  std::sort(Places.begin(), Places.end());
  std::vector<const Executor *> Result;
  Result.reserve(Places.size());
  for (const auto &[Unused, Of] : Places)
    Result.push_back(Of);
  return Result;
}

ExecutorPool::Amounts ExecutorPool::wanted(std::size_t Queued,
                                           TimePoint Now) const {
  Amounts Result;
  std::int64_t Spare = 0;
  for (const auto &[Number, Of] : Executors) {
    const bool Takes = live(Of) && !Of.EjectedUntil;
    const std::int64_t Peaked =
        Takes ? std::min(Of.Peak.peak(Now), Capacity) : 0;
    Result[Of.Id] = std::max(Of.Taken, Peaked);
    Spare += Result[Of.Id] - Of.Taken;
  }
  const std::int64_t Reserve =
      std::max(LeastReserve, std::max(Peak.peak(Now), Taken) / 4);
  std::int64_t Missing = std::int64_t(Queued) + Reserve - Spare;
  const std::uint64_t Seed =
      Queued == 0 ? 0
                  : std::uint64_t(Now.time_since_epoch() / WishRotation) + 1;
  const std::vector<const Executor *> Order = byPreference(Result, Seed);
  for (std::int64_t Before = Missing + 1; Missing > 0 && Missing < Before;) {
    Before = Missing;
    for (const Executor *Of : Order) {
      std::int64_t &Amount = Result[Of->Id];
      if (Missing == 0 || Amount >= Capacity)
        continue;
      ++Amount;
      --Missing;
    }
  }
  std::erase_if(Result, [](const auto &Entry) { return Entry.second == 0; });
  return Result;
}

ExecutorPool::Amounts ExecutorPool::taken() const {
  Amounts Result;
  for (const auto &[Number, Of] : Executors)
    if (Of.Taken > 0)
      Result[Of.Id] = Of.Taken;
  return Result;
}

ExecutorPool::Amounts ExecutorPool::granted() const {
  Amounts Result;
  for (const auto &[Number, Of] : Executors)
    if (Of.Granted > 0)
      Result[Of.Id] = Of.Granted;
  return Result;
}

} // namespace apricotwing
