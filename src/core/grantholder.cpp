#include "core/grantholder.h"

#include <algorithm>

namespace apricotwing {

GrantHolder::GrantHolder(std::int64_t Step, Duration IdleAfter)
    : Step(Step), IdleAfter(IdleAfter) {}

std::optional<AcquiredAmount> GrantHolder::tryAcquire(const std::string &Unit,
                                                      std::int64_t Amount) {
  UnitState &State = Units[Unit];
  if (State.InUse + Amount > State.Usable) {
    State.UnmetDemand = std::max(State.UnmetDemand, Amount);
    return std::nullopt;
  }
  State.InUse += Amount;
  State.Peak = std::max(State.Peak, State.InUse);
  return AcquiredAmount{Unit, Amount, Generation};
}

void GrantHolder::noteDemand(const std::string &Unit, std::int64_t Amount) {
  UnitState &State = Units[Unit];
  State.UnmetDemand = std::max(State.UnmetDemand, Amount);
}

void GrantHolder::release(const AcquiredAmount &Acquired) {
  if (Acquired.Generation != Generation)
    return;
  const auto Found = Units.find(Acquired.Unit);
  if (Found != Units.end())
    Found->second.InUse -= Acquired.Amount;
}

std::int64_t GrantHolder::available(const std::string &Unit) const {
  return std::max<std::int64_t>(usable(Unit) - inUse(Unit), 0);
}

std::int64_t GrantHolder::inUse(const std::string &Unit) const {
  const auto Found = Units.find(Unit);
  return Found == Units.end() ? 0 : Found->second.InUse;
}

std::int64_t GrantHolder::usable(const std::string &Unit) const {
  const auto Found = Units.find(Unit);
  return Found == Units.end() ? 0 : Found->second.Usable;
}

std::int64_t GrantHolder::roundUp(std::int64_t Amount) const {
  return (Amount + Step - 1) / Step * Step;
}

bool GrantHolder::isPeakWindowOver(const UnitState &State,
                                   TimePoint Now) const {
  return State.PeakSince && Now - *State.PeakSince >= IdleAfter;
}

std::int64_t GrantHolder::targetLimit(const UnitState &State,
                                      TimePoint Now) const {
  const std::int64_t Keep =
      isPeakWindowOver(State, Now) ? roundUp(State.Peak) : State.Granted;
  const std::int64_t Wanted =
      std::max(Keep, roundUp(State.InUse + State.UnmetDemand));
  return State.Ceiling ? std::min(Wanted, *State.Ceiling) : Wanted;
}

bool GrantHolder::needsRound(TimePoint Now) const {
  return std::any_of(Units.begin(), Units.end(), [&](const auto &Entry) {
    const UnitState &State = Entry.second;
    const std::int64_t Target = std::max(targetLimit(State, Now), State.InUse);
    const bool MayBeIdle = State.Granted > 0 && isPeakWindowOver(State, Now);
    return MayBeIdle || State.Uncertain || Target != State.Granted ||
           (State.Waiting && Target == 0);
  });
}

UnitAmounts GrantHolder::beginRound(TimePoint Now) {
  UnitAmounts Targets;
  for (auto &[Unit, State] : Units) {
    const std::int64_t Limit = targetLimit(State, Now);
    const std::int64_t Target = std::max(Limit, State.InUse);
    State.Uncertain |=
        Target != State.Granted || (State.Waiting && Target == 0);
    if (State.Uncertain)
      Targets[Unit] = Target;
    // May be below the amount in use; nothing is acquired until the use has
    // fallen below the limit.
    State.Usable = std::min(State.Usable, Limit);
    State.UnmetDemand = 0;
    if (State.PeakSince && !isPeakWindowOver(State, Now))
      continue;
    State.PeakSince = Now;
    State.Peak = State.InUse;
  }
  return Targets;
}

void GrantHolder::endRound(const PoolShare &Share) {
  for (const auto &[Unit, Amount] : Share.Granted)
    Units.try_emplace(Unit);
  for (auto &[Unit, State] : Units) {
    State.Granted = amountIn(Share.Granted, Unit);
    State.Waiting = State.Granted == 0 && Share.Granted.contains(Unit);
    State.Uncertain = false;
    const std::int64_t Free = amountIn(Share.Free, Unit);
    std::int64_t Ceiling = amountIn(Share.Capacity, Unit);
    if (Free < 0) // The capacity was lowered.
      Ceiling = std::max<std::int64_t>(State.Granted + Free, 0);
    if (const auto FairShare = Share.FairShare.find(Unit);
        FairShare != Share.FairShare.end())
      Ceiling = std::min(Ceiling, FairShare->second);
    State.Ceiling = Ceiling;
    State.Usable = std::min(State.Granted, Ceiling);
  }
  std::erase_if(Units, [&](const auto &Entry) {
    const UnitState &State = Entry.second;
    return !Share.Capacity.contains(Entry.first) && State.Granted == 0 &&
           State.InUse == 0 && !State.Waiting;
  });
}

std::int64_t GrantHolder::amountIn(const UnitAmounts &Amounts,
                                   const std::string &Unit) {
  const auto Found = Amounts.find(Unit);
  return Found == Amounts.end() ? 0 : Found->second;
}

void GrantHolder::reset() {
  ++Generation;
  Units.clear();
}

} // namespace apricotwing
