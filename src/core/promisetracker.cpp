#include "core/promisetracker.h"

namespace apricotwing {

namespace {

template <typename Value>
void raiseToAtLeast(std::atomic<Value> &Target, Value Candidate) {
  Value Present = Target.load();
  while (Present < Candidate &&
         !Target.compare_exchange_weak(Present, Candidate))
    ;
}

} // namespace

// Each side announces itself before it looks for the other, so of two that
// race at least one sees the other. Both may be refused, never neither.
bool PromiseTracker::promise(TimePoint Now, Duration Span) {
  raiseToAtLeast(PromisedUntilMs, (Now + Span).time_since_epoch().count());
  return hasNoOpenTransaction();
}

bool PromiseTracker::hasNoOpenTransaction() const {
  // leaveInDoubt() counts the doubt before it ends the flight.
  return InFlight.load() == 0 && InDoubt.load() == ResolvedInDoubt.load();
}

bool PromiseTracker::beginTransaction(TimePoint Now) {
  ++InFlight;
  if (!isPromised(Now))
    return true;
  --InFlight;
  return false;
}

void PromiseTracker::endTransaction() { --InFlight; }

void PromiseTracker::markInDoubt() {
  ++InDoubt;
  --InFlight;
}

void PromiseTracker::resolveInDoubt(std::uint64_t Count) {
  raiseToAtLeast(ResolvedInDoubt, Count);
}

bool PromiseTracker::isPromised(TimePoint Now) const {
  return Now.time_since_epoch().count() < PromisedUntilMs.load();
}

void PromiseTracker::noteConfigVersion(std::uint64_t Version) {
  raiseToAtLeast(NewestConfig, Version);
}

} // namespace apricotwing
