/// \file
/// Runs functions at later moments.
#ifndef APRICOTWING_STANDINS_TIMELINE_H
#define APRICOTWING_STANDINS_TIMELINE_H

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace apricotwing::standins {

/// Milliseconds on the machine's monotonic clock.
std::int64_t steadyMs();

/// One thread that runs functions when they are due. Shared by all sites of
/// the program; thread-safe. Functions run without a lock of this class.
class Timeline {
public:
  Timeline();
  ~Timeline();
  Timeline(const Timeline &) = delete;
  Timeline &operator=(const Timeline &) = delete;

  /// Ends the thread and drops what is not yet due. Thread-safe.
  void stop();

  /// Runs \p Action once \p DelayMs have passed. Thread-safe.
  void after(std::int64_t DelayMs, std::function<void()> Action);

private:
  void run();

  std::mutex Mutex;
  std::condition_variable Changed;
  bool Stopping = false;
  std::multimap<std::int64_t, std::function<void()>> Due;
  std::thread Thread;
};

} // namespace apricotwing::standins

#endif
