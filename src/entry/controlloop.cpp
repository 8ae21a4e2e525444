#include "entry/controlloop.h"

#include <chrono>
#include <thread>
#include <utility>

namespace apricotwing::entry {

namespace {

/// Pause of a thread that finds the ring full.
constexpr std::chrono::milliseconds FullPause{1};

/// Work done before the pump runs, so that a flood delays no timer for long.
constexpr int MaxBatch = 64;

} // namespace

bool ControlLoop::offer(Work Next) {
  return Ring.size() < Capacity && Ring.push(std::move(Next));
}

void ControlLoop::post(Work Next) {
  // A full ring leaves the item as it was.
  while (!Stopping &&
         !Ring.push(std::move(Next))) // NOLINT(bugprone-use-after-move)
    std::this_thread::sleep_for(FullPause);
}

void ControlLoop::drain() {
  Work Next;
  while (Ring.pop(Next, std::chrono::milliseconds(0)))
    Next();
}

void ControlLoop::run(const std::function<void()> &Pump, Duration Period) {
  Work Next;
  while (!Stopping) {
    if (Ring.pop(Next, Period)) {
      Next();
      for (int Count = 1;
           Count < MaxBatch && Ring.pop(Next, std::chrono::milliseconds(0));
           ++Count)
        Next();
    }
    Next = nullptr;
    Pump();
  }
}

} // namespace apricotwing::entry
