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
constexpr Duration MaxEjection = 60s;

/// An executor that reported that it is leaving is excluded for this long, even
/// if the list, which may be out of date, still shows it as live.
constexpr Duration LeavingExclusion = 10min;

/// Weight of the newest sample in the exponential moving average of latencies.
constexpr double LatencyWeight = 0.2;

/// Slots that an instance keeps in reserve, so that a request that arrives
/// after an idle time does not have to wait for a grant.
constexpr std::int64_t MinReserve = 2;

/// While requests are queued, the order in which executors are asked for slots
/// is changed at this interval, in case the preferred ones have no free slots.
constexpr Duration PreferenceRotation = 500ms;

void updateMean(double &Mean, Duration Sample) {
  // A mean of zero means "unknown", so a sample counts as at least 1 ms.
  const double Value = std::max<double>(double(Sample.count()), 1);
  Mean = Mean == 0 ? Value : Mean + LatencyWeight * (Value - Mean);
}

} // namespace

ExecutorPool::ExecutorPool(InstanceId Instance, std::string Zone)
    : Instance(std::move(Instance)), Zone(std::move(Zone)) {}

ExecutorPool::Executor &ExecutorPool::ensure(const std::string &Id) {
  const auto [It, Inserted] = ById.try_emplace(Id, LastSerial + 1);
  if (Inserted) {
    Executor &Added = Executors[++LastSerial];
    Added.Number = LastSerial;
    Added.Id = Id;
  }
  return Executors.at(It->second);
}

ExecutorPool::Executor *ExecutorPool::find(Serial Number) {
  const auto It = Executors.find(Number);
  return It == Executors.end() ? nullptr : &It->second;
}

const ExecutorPool::Executor *ExecutorPool::find(Serial Number) const {
  const auto It = Executors.find(Number);
  return It == Executors.end() ? nullptr : &It->second;
}

bool ExecutorPool::isListedLive(const Executor &Exec) {
  return Exec.ListedLive && !Exec.LeavingSince;
}

int ExecutorPool::latencyClass(double Milliseconds) {
  // Latencies are compared in steps of half an octave. Smaller differences are
  // noise and must not take precedence over the zone.
  constexpr double ClassesPerOctave = 2;
  return int(std::log2(Milliseconds + 1) * ClassesPerOctave);
}

void ExecutorPool::refresh(Executor &Exec) {
  if (Exec.Ranked)
    Free.erase(*Exec.Ranked);
  Exec.Ranked.reset();
  Usable -= Exec.Usable;
  const bool AcceptsRequests = isListedLive(Exec) && !Exec.EjectedUntil;
  Exec.Usable = AcceptsRequests ? std::min(Exec.Granted, Capacity) : 0;
  if (Exec.Probing)
    Exec.Usable = std::min<std::int64_t>(Exec.Usable, 1);
  Usable += Exec.Usable;
  const std::int64_t FreeSlots = Exec.Usable - Exec.Taken;
  if (FreeSlots <= 0)
    return;
  // An executor being probed is selected first. It has a single usable slot and
  // would otherwise rank behind every executor with more free slots.
  Exec.Ranked =
      Rank{Exec.Probing ? std::numeric_limits<std::int64_t>::min() : -FreeSlots,
           latencyClass(Exec.Latency), !Exec.SameZone, Exec.Number};
  Free.insert(*Exec.Ranked);
}

void ExecutorPool::setCapacity(std::int64_t Slots) {
  if (Slots == Capacity)
    return;
  Capacity = Slots;
  for (auto &[Number, Exec] : Executors)
    refresh(Exec);
}

void ExecutorPool::updateListed(const ListedExecutor &Entry, TimePoint Now) {
  Executor &Exec = ensure(Entry.Id);
  if (Exec.Address != Entry.Address) {
    Exec.Address = Entry.Address;
    Exec.Latency = 0;
  }
  Exec.SameZone = Entry.Zone == Zone;
  Exec.ListedLive = Entry.State == ListedState::Live;
  if (Exec.LeavingSince && Now - *Exec.LeavingSince >= LeavingExclusion)
    Exec.LeavingSince.reset();
}

void ExecutorPool::setList(const std::vector<const ListedExecutor *> &List,
                           TimePoint Now) {
  for (auto &[Number, Exec] : Executors)
    Exec.ListedLive = false;
  for (const ListedExecutor *Entry : List)
    updateListed(*Entry, Now);
  for (auto &[Number, Exec] : Executors) {
    if (!Exec.ListedLive)
      Exec.LeavingSince.reset();
    refresh(Exec);
  }
  forgetAbsent();
}

void ExecutorPool::forgetAbsent() {
  for (auto It = Executors.begin(); It != Executors.end();) {
    const Executor &Exec = It->second;
    if (Exec.ListedLive || Exec.Taken > 0 || Exec.Granted > 0) {
      ++It;
      continue;
    }
    if (Exec.EjectedUntil)
      Ejected.erase({*Exec.EjectedUntil, Exec.Number});
    ById.erase(Exec.Id);
    It = Executors.erase(It);
  }
}

void ExecutorPool::setGrants(const Amounts &ByExecutor) {
  for (auto &[Number, Exec] : Executors)
    Exec.Granted = 0;
  for (const auto &[Id, Amount] : ByExecutor)
    ensure(Id).Granted = Amount;
  for (auto &[Number, Exec] : Executors)
    refresh(Exec);
}

void ExecutorPool::advance(TimePoint Now) {
  while (!Ejected.empty() && Ejected.begin()->first <= Now) {
    Executor *Exec = find(Ejected.begin()->second);
    Ejected.erase(Ejected.begin());
    Exec->EjectedUntil.reset();
    Exec->Probing = true;
    Exec->Failures = FailuresToEject - 1;
    refresh(*Exec);
  }
}

std::optional<ExecutorPool::Choice>
ExecutorPool::take(const std::vector<Serial> &Tried, TimePoint Now) {
  for (const Rank &Candidate : Free) {
    const Serial Number = std::get<Serial>(Candidate);
    if (std::find(Tried.begin(), Tried.end(), Number) != Tried.end())
      continue;
    Executor &Exec = *find(Number);
    ++Exec.Taken;
    ++Taken;
    Exec.Peak.note(Exec.Taken, Now);
    Peak.note(Taken, Now);
    refresh(Exec);
    return Choice{Number, Exec.Id, Exec.Address};
  }
  return std::nullopt;
}

void ExecutorPool::release(Serial Number, TimePoint Now) {
  Executor *Exec = find(Number);
  if (!Exec || Exec->Taken == 0)
    return;
  Exec->Peak.note(Exec->Taken, Now);
  Peak.note(Taken, Now);
  --Exec->Taken;
  --Taken;
  refresh(*Exec);
}

void ExecutorPool::noteSuccess(Serial Number, Duration Latency, TimePoint) {
  updateMean(MeanLatency, Latency);
  Executor *Exec = find(Number);
  if (!Exec)
    return;
  updateMean(Exec->Latency, Latency);
  Exec->Failures = 0;
  if (!Exec->EjectedUntil) {
    Exec->Backoff = 0;
    Exec->Probing = false;
  }
  refresh(*Exec);
}

void ExecutorPool::noteFailure(Serial Number, TimePoint Now) {
  Executor *Exec = find(Number);
  if (!Exec || Exec->EjectedUntil)
    return;
  ++Exec->Failures;
  if (Exec->Failures >= FailuresToEject && mayEject())
    eject(*Exec, Now);
}

bool ExecutorPool::mayEject() const {
  const auto Live =
      std::count_if(Executors.begin(), Executors.end(), [](const auto &Entry) {
        return isListedLive(Entry.second);
      });
  return 2 * (Ejected.size() + 1) <= std::size_t(Live);
}

void ExecutorPool::eject(Executor &Exec, TimePoint Now) {
  constexpr int LargestShift = 16;
  const Duration Length = std::min(
      FirstEjection * (1 << std::min(Exec.Backoff, LargestShift)), MaxEjection);
  ++Exec.Backoff;
  ++Ejections;
  Exec.EjectedUntil = Now + Length;
  Ejected.emplace(*Exec.EjectedUntil, Exec.Number);
  refresh(Exec);
}

void ExecutorPool::noteLeaving(Serial Number, TimePoint Now) {
  Executor *Exec = find(Number);
  if (!Exec || !Exec->ListedLive)
    return;
  Exec->LeavingSince = Now;
  refresh(*Exec);
}

bool ExecutorPool::isLive(Serial Number) const {
  const Executor *Exec = find(Number);
  return Exec && isListedLive(*Exec);
}

bool ExecutorPool::hasUntried(const std::vector<Serial> &Tried) const {
  return std::any_of(Executors.begin(), Executors.end(),
                     [&Tried](const auto &Entry) {
                       return isListedLive(Entry.second) &&
                              std::find(Tried.begin(), Tried.end(),
                                        Entry.first) == Tried.end();
                     });
}

std::optional<TimePoint> ExecutorPool::nextWakeup() const {
  if (Ejected.empty())
    return std::nullopt;
  return Ejected.begin()->first;
}

std::vector<const ExecutorPool::Executor *>
ExecutorPool::byPreference(const Amounts &Held, std::uint64_t Seed) const {
  using PreferenceKey = std::tuple<bool, bool, std::size_t>;
  std::vector<std::pair<PreferenceKey, const Executor *>> Candidates;
  for (const auto &[Number, Exec] : Executors) {
    if (!isListedLive(Exec) || Exec.EjectedUntil)
      continue;
    const bool Spare = Exec.Granted > Held.at(Exec.Id);
    const std::size_t HashOrder =
        std::hash<std::string>{}(Instance + "/" + Exec.Id) ^
        (Spare ? 0 : Seed * 0x9E3779B97F4A7C15ULL);
    Candidates.emplace_back(PreferenceKey{!Spare, !Exec.SameZone, HashOrder},
                            &Exec);
  }
  std::sort(Candidates.begin(), Candidates.end());
  std::vector<const Executor *> Result;
  Result.reserve(Candidates.size());
  for (const auto &[Unused, Exec] : Candidates)
    Result.push_back(Exec);
  return Result;
}

ExecutorPool::Amounts ExecutorPool::desiredGrants(std::size_t Queued,
                                                  TimePoint Now) const {
  Amounts Result;
  std::int64_t Spare = 0;
  for (const auto &[Number, Exec] : Executors) {
    const bool AcceptsRequests = isListedLive(Exec) && !Exec.EjectedUntil;
    const std::int64_t RecentlyTaken =
        AcceptsRequests ? std::min(Exec.Peak.peak(Now), Capacity) : 0;
    Result[Exec.Id] = std::max(Exec.Taken, RecentlyTaken);
    Spare += Result[Exec.Id] - Exec.Taken;
  }
  const std::int64_t Reserve =
      std::max(MinReserve, std::max(Peak.peak(Now), Taken) / 4);
  std::int64_t Missing = std::int64_t(Queued) + Reserve - Spare;
  const std::uint64_t Seed =
      Queued == 0
          ? 0
          : std::uint64_t(Now.time_since_epoch() / PreferenceRotation) + 1;
  const std::vector<const Executor *> Order = byPreference(Result, Seed);
  for (std::int64_t Before = Missing + 1; Missing > 0 && Missing < Before;) {
    Before = Missing;
    for (const Executor *Exec : Order) {
      std::int64_t &Amount = Result[Exec->Id];
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
  for (const auto &[Number, Exec] : Executors)
    if (Exec.Taken > 0)
      Result[Exec.Id] = Exec.Taken;
  return Result;
}

ExecutorPool::Amounts ExecutorPool::granted() const {
  Amounts Result;
  for (const auto &[Number, Exec] : Executors)
    if (Exec.Granted > 0)
      Result[Exec.Id] = Exec.Granted;
  return Result;
}

} // namespace apricotwing
