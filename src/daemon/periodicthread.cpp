#include "daemon/periodicthread.h"

#include <utility>

namespace apricotwing {

PeriodicThread::PeriodicThread(Duration Period, Callback OnPeriod,
                               ErrorHandler OnError)
    : Period(Period), OnPeriod(std::move(OnPeriod)),
      OnError(std::move(OnError)), Thread([this] { runThread(); }) {}

PeriodicThread::~PeriodicThread() { stop(); }

void PeriodicThread::wake() {
  {
    const std::lock_guard Lock(Mutex);
    WakeRequested = true;
  }
  Changed.notify_one();
}

void PeriodicThread::stop() {
  {
    const std::lock_guard Lock(Mutex);
    Stopping = true;
  }
  Changed.notify_one();
  if (Thread.joinable())
    Thread.join();
}

void PeriodicThread::runThread() {
  while (true) {
    try {
      OnPeriod();
    } catch (const std::exception &Failure) {
      OnError(Failure);
    }
    std::unique_lock Lock(Mutex);
    Changed.wait_for(Lock, Period,
                     [this] { return WakeRequested || Stopping; });
    if (Stopping)
      return;
    WakeRequested = false;
  }
}

} // namespace apricotwing
