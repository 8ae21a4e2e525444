/// \file
/// The control thread of an entry instance.
#ifndef APRICOTWING_ENTRY_CONTROLLOOP_H
#define APRICOTWING_ENTRY_CONTROLLOOP_H

#include "core/time.h"
#include "daemon/boundedqueue.h"

#include <atomic>
#include <functional>

namespace apricotwing::entry {

/// Runs all decisions of an entry instance on the thread that calls run().
/// Other threads hand it work through a bounded ring. Owned by the process.
class ControlLoop {
public:
  using Work = std::function<void()>;

  /// Largest number of waiting calls of callers; more are refused. At some
  /// 20 microseconds each this is a fraction of a second.
  static constexpr std::size_t Capacity = 8192;

  ControlLoop() : Ring(2 * Capacity) {}

  /// Hands over a caller's work; false if too much is waiting. Thread-safe.
  bool offer(Work Next);

  /// Hands over work that must not be lost, such as the result of a call; the
  /// number of those is bounded by the calls under way. Blocks while the ring
  /// is full. Thread-safe.
  void post(Work Next);

  /// Runs work as it comes, and \p Pump after each batch of it and at least
  /// every \p Period, until stop() is called.
  void run(const std::function<void()> &Pump, Duration Period);

  /// Does what is waiting, after run() has ended.
  void drain();

  /// Ends run(). Thread-safe.
  void stop() { Stopping = true; }

private:
  BoundedQueue<Work> Ring;
  std::atomic<bool> Stopping = false;
};

} // namespace apricotwing::entry

#endif
