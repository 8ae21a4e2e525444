#include "daemon/periodicthread.h"

#include <utility>

namespace apricotwing {

PeriodicThread::PeriodicThread(Duration Period, Duty Work, ErrorHandler OnError)
    : Period(Period), Work(std::move(Work)), OnError(std::move(OnError)),
      Thread([this] { runThread(); }) {}

PeriodicThread::~PeriodicThread() { stop(); }

void PeriodicThread::wake() {
  {
    const std::lock_guard Lock(Mutex);
    Woken = true;
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
      Work();
    } catch (const std::exception &Failure) {
      OnError(Failure);
    }
    std::unique_lock Lock(Mutex);
    Changed.wait_for(Lock, Period, [this] { return Woken || Stopping; });
    if (Stopping)
      return;
    Woken = false;
  }
}

} // namespace apricotwing
