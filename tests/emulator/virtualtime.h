/// \file
/// Clock and event queue of the emulated platform.
#ifndef APRICOTWING_TESTS_EMULATOR_VIRTUALTIME_H
#define APRICOTWING_TESTS_EMULATOR_VIRTUALTIME_H

#include "core/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace apricotwing::emulator {

/// A clock that advances only in advanceTo(), which also runs all due events.
/// Not thread-safe.
class VirtualTime final : public Clock {
public:
  TimePoint now() const override { return Current; }

  /// Schedules \p Event to run after \p Delay.
  void after(Duration Delay, std::function<void()> Event) {
    Events.emplace(std::pair(Current + Delay, ++LastNumber), std::move(Event));
  }

  /// Runs all events up to \p Until in order and sets the time to \p Until.
  void advanceTo(TimePoint Until) {
    while (!Events.empty() && Events.begin()->first.first <= Until) {
      auto First = Events.extract(Events.begin());
      Current = std::max(Current, First.key().first);
      First.mapped()();
    }
    Current = Until;
  }

private:
  TimePoint Current{Duration{1'000'000}};
  std::uint64_t LastNumber = 0;
  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> Events;
};

} // namespace apricotwing::emulator

#endif
