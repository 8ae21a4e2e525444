/// \file
/// Event loop of an entry instance's control thread.
#ifndef APRICOTWING_ENTRY_CONTROLLOOP_H
#define APRICOTWING_ENTRY_CONTROLLOOP_H

#include "core/time.h"
#include "entry/loopprofile.h"
#include "entry/threadyielder.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <utility>

namespace apricotwing::entry {

/// Runs all decisions of an entry instance on the thread that calls run().
/// Other threads add work through a bounded queue. Results of own calls go
/// before new calls, as they complete work that was begun: on an instance whose
/// processor is used up, commits and orders would otherwise wait behind calls
/// that cannot be answered without them. Each of the two kinds runs in the
/// order of its arrival, whichever thread added it. Owned by the process.
class ControlLoop {
public:
  using Work = std::function<void()>;

  /// Largest number of new calls that wait, and of results; more calls are
  /// refused. At about 20 microseconds per call, they take a fraction of a
  /// second.
  static constexpr std::size_t Capacity = 8192;

  ControlLoop() : ControlLoop(systemYielder()) {}

  /// \p Yielder must outlive this object.
  explicit ControlLoop(ThreadYielder &Yielder) : Yielder(Yielder) {}

  /// Sets the function that is told of an exception that work has thrown; it is
  /// called on the thread of run(). Must be called before run().
  void setErrorHandler(std::function<void(const std::string &)> Handler) {
    OnError = std::move(Handler);
  }

  /// Adds the work of a call to this instance. Returns false if at least
  /// Capacity items are waiting. Does not wait for room. Thread-safe.
  bool tryPost(WorkKind Kind, Work Item);

  /// Adds work that must not be lost, such as handling the result of an
  /// outgoing call; the number of these items is bounded by the calls in
  /// progress. Blocks while the queue is full, until stop() is called.
  /// Thread-safe.
  void post(WorkKind Kind, Work Item);

  /// Runs queued work until stop() is called. Calls \p Pump after each batch of
  /// work and at least once per \p Period. Lets other threads run after each
  /// item and each call of \p Pump.
  void run(const std::function<void()> &Pump, Duration Period);

  /// Runs the work that is still queued after run() has returned.
  void drain();

  /// Makes run() return. Thread-safe.
  void stop() { Stopping = true; }

  /// Returns the work since the last call of this method. Must be called on the
  /// thread of run().
  LoopProfile takeProfile() { return std::exchange(Profile, LoopProfile{}); }

private:
  using ProfileClock = std::chrono::steady_clock;
  struct Entry {
    WorkKind Kind = WorkKind::Timers;
    ProfileClock::time_point AddedAt;
    Work Run;
  };

  bool add(std::deque<Entry> &Queue, Entry &Item);
  bool take(Entry &Item, Duration Timeout);
  void perform(const Entry &Item) {
    perform(Item.Kind, Item.AddedAt, Item.Run);
  }
  void perform(WorkKind Kind, ProfileClock::time_point AddedAt,
               const Work &Run);

  static ThreadYielder &systemYielder() {
    static SystemThreadYielder Result;
    return Result;
  }

  ThreadYielder &Yielder;
  std::function<void(const std::string &)> OnError = [](const std::string &) {};
  std::mutex QueueMutex;
  std::condition_variable Added;
  std::deque<Entry> Results;  ///< Of own calls. Guarded by QueueMutex.
  std::deque<Entry> NewCalls; ///< Guarded by QueueMutex.
  LoopProfile Profile;
  std::atomic<bool> Stopping = false;
};

} // namespace apricotwing::entry

#endif
