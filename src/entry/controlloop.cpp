#include "entry/controlloop.h"

#include <chrono>
#include <exception>
#include <thread>
#include <utility>

namespace apricotwing::entry {

namespace {

/// How long post() sleeps before it tries again if the queue is full.
constexpr std::chrono::milliseconds FullQueuePause{1};

/// Largest number of work items between two calls of the pump. It bounds the
/// time by which a burst of work delays timers.
constexpr int MaxBatch = 64;

} // namespace

bool ControlLoop::tryPost(WorkKind Kind, Work Item) {
  return Queue.size() < Capacity &&
         Queue.push({Kind, ProfileClock::now(), std::move(Item)});
}

void ControlLoop::post(WorkKind Kind, Work Item) {
  Entry Added{Kind, ProfileClock::now(), std::move(Item)};
  // push() leaves the item unchanged if the queue is full.
  while (!Stopping &&
         !Queue.push(std::move(Added))) // NOLINT(bugprone-use-after-move)
    std::this_thread::sleep_for(FullQueuePause);
}

// An exception ends only the work that threw it. It must not end the process,
// since the same message would then end one instance after the other.
void ControlLoop::perform(WorkKind Kind, ProfileClock::time_point AddedAt,
                          const Work &Run) {
  const auto Started = ProfileClock::now();
  try {
    Run();
  } catch (const std::exception &Problem) {
    OnError(Problem.what());
  }
  const auto Micros = [](ProfileClock::duration Length) {
    return std::chrono::duration_cast<WorkLoad::Time>(Length);
  };
  Profile.add(Kind, Micros(Started - AddedAt),
              Micros(ProfileClock::now() - Started));
}

void ControlLoop::drain() {
  Entry Item;
  while (Queue.pop(Item, std::chrono::milliseconds(0)))
    perform(Item);
}

void ControlLoop::run(const std::function<void()> &Pump, Duration Period) {
  Entry Item;
  while (!Stopping) {
    if (Queue.pop(Item, Period)) {
      perform(Item);
      for (int Count = 1;
           Count < MaxBatch && Queue.pop(Item, std::chrono::milliseconds(0));
           ++Count)
        perform(Item);
    }
    Item.Run = nullptr;
    perform(WorkKind::Timers, ProfileClock::now(), Pump);
  }
}

} // namespace apricotwing::entry
