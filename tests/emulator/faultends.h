/// \file
/// Ends of the faults that a soak has begun.
#ifndef APRICOTWING_TESTS_EMULATOR_FAULTENDS_H
#define APRICOTWING_TESTS_EMULATOR_FAULTENDS_H

#include "core/time.h"

#include <functional>
#include <utility>
#include <vector>

namespace apricotwing::emulator {

/// Actions that end faults and are due later. Not thread-safe.
class FaultEnds {
public:
  /// Adds \p End, which is due at \p At.
  void add(TimePoint At, std::function<void()> End) {
    Ends.emplace_back(At, std::move(End));
  }

  /// Runs the actions that are due at \p Now, in the order of their addition.
  /// Precondition: none of them adds another one.
  void endDue(TimePoint Now) {
    std::vector<Entry> Open;
    for (auto &[At, End] : std::exchange(Ends, {}))
      if (At <= Now)
        End();
      else
        Open.emplace_back(At, std::move(End));
    Ends = std::move(Open);
  }

  /// Drops all actions.
  void clear() { Ends.clear(); }

private:
  using Entry = std::pair<TimePoint, std::function<void()>>;
  std::vector<Entry> Ends;
};

} // namespace apricotwing::emulator

#endif
