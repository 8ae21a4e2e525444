/// \file
/// A thread that repeats one duty.
#ifndef APRICOTWING_DAEMON_PERIODICTHREAD_H
#define APRICOTWING_DAEMON_PERIODICTHREAD_H

#include "core/time.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace apricotwing {

/// Runs a duty every period, or at once after wake(). A duty that throws is
/// reported to the error handler and runs again in the next period, so one
/// failed round never ends the thread. Owned by the service of the duty.
class PeriodicThread {
public:
  using Duty = std::function<void()>;
  using ErrorHandler = std::function<void(const std::exception &)>;

  /// Starts the thread. Neither function may outlive its captures, which must
  /// be valid until stop() returns.
  PeriodicThread(Duration Period, Duty Work, ErrorHandler OnError);

  /// Stops the thread.
  ~PeriodicThread();

  PeriodicThread(const PeriodicThread &) = delete;
  PeriodicThread &operator=(const PeriodicThread &) = delete;

  /// Runs the duty soon, without waiting for the period. Thread-safe.
  void wake();

  /// Ends after the present round and joins. Idempotent; not to be called by
  /// the duty itself.
  void stop();

private:
  void runThread();

  const Duration Period;
  const Duty Work;
  const ErrorHandler OnError;
  std::mutex Mutex;
  std::condition_variable Changed;
  bool Woken = false;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace apricotwing

#endif
