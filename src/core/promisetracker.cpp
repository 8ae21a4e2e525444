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

// promise() and beginTransaction() both register themselves before they check
// for the other. If they run concurrently, at least one sees the other: both
// may be refused, but they cannot both succeed.
bool PromiseTracker::promise(TimePoint Now, Duration Span) {
  raiseToAtLeast(PromisedUntilMs, (Now + Span).time_since_epoch().count());
  return hasNoOpenTransaction();
}

bool PromiseTracker::hasNoOpenTransaction() const {
  // markInDoubt() increments InDoubt before it decrements InFlight, so a
  // transaction is always visible in one of the two.
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
