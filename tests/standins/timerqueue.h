/// \file
/// Runs functions after a delay.
#ifndef APRICOTWING_STANDINS_TIMERQUEUE_H
#define APRICOTWING_STANDINS_TIMERQUEUE_H

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace apricotwing::standins {

/// Returns the machine's monotonic clock in milliseconds.
std::int64_t steadyMs();

/// Runs functions on one thread when their delay has passed. Shared by all
/// stand-ins of the program; thread-safe. Functions are called without the lock
/// of this class.
class TimerQueue {
public:
  TimerQueue();
  ~TimerQueue();
  TimerQueue(const TimerQueue &) = delete;
  TimerQueue &operator=(const TimerQueue &) = delete;

  /// Stops the thread and discards the functions that are not yet due.
  /// Thread-safe.
  void stop();

  /// Runs \p Action once \p DelayMs have passed. Thread-safe.
  void after(std::int64_t DelayMs, std::function<void()> Action);

private:
  void run();

  std::mutex Mutex;
  std::condition_variable Wakeup;
  bool Stopping = false;
  std::multimap<std::int64_t, std::function<void()>> ScheduledActions;
  std::thread Thread;
};

} // namespace apricotwing::standins

#endif
