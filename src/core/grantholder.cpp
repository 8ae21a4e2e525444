#include "core/grantholder.h"

#include <algorithm>

namespace apricotwing {

GrantHolder::GrantHolder(std::int64_t Step, Duration IdleAfter)
    : Step(Step), IdleAfter(IdleAfter) {}

std::optional<GrantUse> GrantHolder::tryUse(const std::string &Unit,
                                            std::int64_t Amount) {
  UnitState &State = Units[Unit];
  if (State.InUse + Amount > State.Usable) {
    State.Unmet = std::max(State.Unmet, Amount);
    return std::nullopt;
  }
  State.InUse += Amount;
  State.Peak = std::max(State.Peak, State.InUse);
  return GrantUse{Unit, Amount, Generation};
}

void GrantHolder::noteDemand(const std::string &Unit, std::int64_t Amount) {
  UnitState &State = Units[Unit];
  State.Unmet = std::max(State.Unmet, Amount);
}

void GrantHolder::unuse(const GrantUse &Use) {
  if (Use.Generation != Generation)
    return;
  const auto Found = Units.find(Use.Unit);
  if (Found != Units.end())
    Found->second.InUse -= Use.Amount;
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

std::int64_t GrantHolder::target(const UnitState &State, TimePoint Now) const {
  const bool WindowOver =
      State.PeakSince && Now - *State.PeakSince >= IdleAfter;
  const std::int64_t Keep = WindowOver ? State.Peak : State.Granted;
  const std::int64_t Needed = roundUp(State.InUse + State.Unmet);
  std::int64_t Target = std::max(Needed, WindowOver ? roundUp(Keep) : Keep);
  if (State.Ceiling)
    Target = std::min(Target, *State.Ceiling);
  return std::max(Target, State.InUse);
}

bool GrantHolder::needsRound(TimePoint Now) const {
  return std::any_of(Units.begin(), Units.end(), [&](const auto &Entry) {
    const UnitState &State = Entry.second;
    return State.Uncertain || target(State, Now) != State.Granted;
  });
}

UnitAmounts GrantHolder::beginRound(TimePoint Now) {
  UnitAmounts Targets;
  for (auto &[Unit, State] : Units) {
    const std::int64_t Target = target(State, Now);
    if (Target != State.Granted || State.Uncertain)
      Targets[Unit] = Target;
    State.Usable = std::min(State.Usable, Target);
    State.Unmet = 0;
    if (State.PeakSince && Now - *State.PeakSince < IdleAfter)
      continue;
    State.PeakSince = Now;
    State.Peak = State.InUse;
  }
  for (const auto &[Unit, Target] : Targets)
    Units[Unit].Uncertain = true;
  return Targets;
}

void GrantHolder::endRound(const PoolShare &Share) {
  for (const auto &[Unit, Amount] : Share.Granted)
    Units[Unit].Granted = Amount;
  for (auto &[Unit, State] : Units) {
    State.Granted = State.Usable = amountIn(Share.Granted, Unit);
    State.Uncertain = false;
    const std::int64_t Free = amountIn(Share.Free, Unit);
    // After a reduction of the capacity the holders give back the excess.
    State.Ceiling = Free < 0 ? std::max<std::int64_t>(State.Granted + Free, 0)
                             : amountIn(Share.Capacity, Unit);
  }
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
