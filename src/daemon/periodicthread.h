/// \file
/// A thread that calls a function periodically.
#ifndef APRICOTWING_DAEMON_PERIODICTHREAD_H
#define APRICOTWING_DAEMON_PERIODICTHREAD_H

#include "core/time.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace apricotwing {

/// Calls a function once per period, or immediately after wake(). An exception
/// of the function is passed to the error handler and does not end the thread;
/// the function is called again in the next period. Owned by the service that
/// provides the function.
class PeriodicThread {
public:
  using Callback = std::function<void()>;
  using ErrorHandler = std::function<void(const std::exception &)>;

  /// Starts the thread. Everything that the two functions capture must stay
  /// valid until stop() returns.
  PeriodicThread(Duration Period, Callback OnPeriod, ErrorHandler OnError);

  /// Calls stop().
  ~PeriodicThread();

  PeriodicThread(const PeriodicThread &) = delete;
  PeriodicThread &operator=(const PeriodicThread &) = delete;

  /// Calls the function without waiting for the period to elapse. Thread-safe.
  void wake();

  /// Joins the thread after the current call of the function has returned.
  /// Idempotent. Must not be called by the function itself.
  void stop();

private:
  void runThread();

  const Duration Period;
  const Callback OnPeriod;
  const ErrorHandler OnError;
  std::mutex Mutex;
  std::condition_variable Changed;
  bool WakeRequested = false;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace apricotwing

#endif
