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

// Returns false and leaves Item unchanged if the queue is full.
bool ControlLoop::add(std::deque<Entry> &Queue, Entry &Item) {
  {
    const std::lock_guard Lock(QueueMutex);
    if (Queue.size() >= Capacity)
      return false;
    Queue.push_back(std::move(Item));
  }
  Added.notify_one();
  return true;
}

// Returns false if there was no work for the time of Timeout.
bool ControlLoop::take(Entry &Item, Duration Timeout) {
  std::unique_lock Lock(QueueMutex);
  const auto HasWork = [this] { return !Results.empty() || !NewCalls.empty(); };
  if (!HasWork() &&
      (Timeout <= Duration::zero() || !Added.wait_for(Lock, Timeout, HasWork)))
    return false;
  std::deque<Entry> &Queue = Results.empty() ? NewCalls : Results;
  Item = std::move(Queue.front());
  Queue.pop_front();
  return true;
}

bool ControlLoop::tryPost(WorkKind Kind, Work Item) {
  Entry New{Kind, ProfileClock::now(), std::move(Item)};
  return add(NewCalls, New);
}

void ControlLoop::post(WorkKind Kind, Work Item) {
  Entry New{Kind, ProfileClock::now(), std::move(Item)};
  while (!Stopping && !add(Results, New))
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
  // Otherwise the threads for connections and outgoing calls get the processor
  // only at the end of this thread's time slice, where threads that wake up do
  // not interrupt others. A commit takes several steps on those threads.
  Yielder.yield();
}

void ControlLoop::drain() {
  Entry Item;
  while (take(Item, Duration{0}))
    perform(Item);
}

void ControlLoop::run(const std::function<void()> &Pump, Duration Period) {
  Entry Item;
  while (!Stopping) {
    if (take(Item, Period)) {
      perform(Item);
      for (int Count = 1; Count < MaxBatch && take(Item, Duration{0}); ++Count)
        perform(Item);
    }
    Item.Run = nullptr;
    perform(WorkKind::Timers, ProfileClock::now(), Pump);
  }
}

} // namespace apricotwing::entry
