#include "standins/timerqueue.h"

#include <chrono>
#include <utility>

namespace apricotwing::standins {

std::int64_t steadyMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

TimerQueue::TimerQueue() : Thread([this] { run(); }) {}

TimerQueue::~TimerQueue() { stop(); }

void TimerQueue::stop() {
  {
    const std::lock_guard Lock(Mutex);
    Stopping = true;
  }
  Wakeup.notify_all();
  if (Thread.joinable())
    Thread.join();
  ScheduledActions.clear();
}

void TimerQueue::after(std::int64_t DelayMs, std::function<void()> Action) {
  {
    const std::lock_guard Lock(Mutex);
    ScheduledActions.emplace(steadyMs() + DelayMs, std::move(Action));
  }
  Wakeup.notify_all();
}

void TimerQueue::run() {
  std::unique_lock Lock(Mutex);
  while (!Stopping) {
    if (ScheduledActions.empty()) {
      Wakeup.wait(Lock);
      continue;
    }
    const std::int64_t Wait = ScheduledActions.begin()->first - steadyMs();
    if (Wait > 0) {
      Wakeup.wait_for(Lock, std::chrono::milliseconds(Wait));
      continue;
    }
    const auto Action = std::move(ScheduledActions.begin()->second);
    ScheduledActions.erase(ScheduledActions.begin());
    Lock.unlock();
    Action();
    Lock.lock();
  }
}

} // namespace apricotwing::standins
