#include "core/promisetracker.h"

namespace apricotwing {

namespace {

template <typename Value>
void raiseTo(std::atomic<Value> &Target, Value Candidate) {
  Value Present = Target.load();
  while (Present < Candidate &&
         !Target.compare_exchange_weak(Present, Candidate))
    ;
}

} // namespace

// Each side announces itself before it looks for the other, so of two that
// race at least one sees the other. Both may be refused, never neither.
bool PromiseTracker::promise(TimePoint Now, Duration Span) {
  raiseTo(PromisedUntilMs, (Now + Span).time_since_epoch().count());
  return isSettled();
}

bool PromiseTracker::isSettled() const {
  // leaveInDoubt() counts the doubt before it ends the flight.
  return InFlight.load() == 0 && Doubts.load() == SettledDoubts.load();
}

bool PromiseTracker::beginTransaction(TimePoint Now) {
  ++InFlight;
  if (!isPromised(Now))
    return true;
  --InFlight;
  return false;
}

void PromiseTracker::endTransaction() { --InFlight; }

void PromiseTracker::leaveInDoubt() {
  ++Doubts;
  --InFlight;
}

void PromiseTracker::settleDoubts(std::uint64_t Mark) {
  raiseTo(SettledDoubts, Mark);
}

bool PromiseTracker::isPromised(TimePoint Now) const {
  return Now.time_since_epoch().count() < PromisedUntilMs.load();
}

void PromiseTracker::noteConfigVersion(std::uint64_t Version) {
  raiseTo(NewestConfig, Version);
}

} // namespace apricotwing
