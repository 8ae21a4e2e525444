/// \file
/// The bounded queue that joins the threads of the daemon.
#ifndef APRICOTWING_DAEMON_BOUNDEDQUEUE_H
#define APRICOTWING_DAEMON_BOUNDEDQUEUE_H

#include <concurrentqueue/blockingconcurrentqueue.h>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <utility>

namespace apricotwing {

/// A queue with a fixed capacity between any number of producers and
/// consumers. A producer never blocks: a full ring refuses the item, so that
/// an overload shows at the edge instead of as growing memory. Owned by the
/// consumer. All methods are thread-safe.
template <typename Item> class BoundedQueue {
public:
  /// \p Capacity is the largest number of waiting items.
  explicit BoundedQueue(std::size_t Capacity) : Capacity(Capacity) {}

  /// Adds \p Value; false if the ring is full or closed, and \p Value is then
  /// unchanged. Thread-safe.
  bool push(Item &&Value) {
    if (Closed.load(std::memory_order_acquire))
      return false;
    if (Size.fetch_add(1, std::memory_order_acq_rel) >= Capacity) {
      Size.fetch_sub(1, std::memory_order_acq_rel);
      return false;
    }
    Queue.enqueue(std::move(Value));
    return true;
  }

  /// Takes the next item, waiting at most \p Timeout; false if there is none.
  /// Thread-safe.
  bool pop(Item &Value, std::chrono::milliseconds Timeout) {
    if (!Queue.wait_dequeue_timed(Value, Timeout))
      return false;
    Size.fetch_sub(1, std::memory_order_acq_rel);
    return true;
  }

  /// Refuses new items from now on; waiting items can still be taken. Adds
  /// \p Wakes empty items, so that consumers which wait notice the end.
  /// Thread-safe.
  void close(std::size_t Wakes = 0) {
    Closed.store(true, std::memory_order_release);
    Size.fetch_add(Wakes, std::memory_order_acq_rel);
    for (std::size_t Index = 0; Index < Wakes; ++Index)
      Queue.enqueue(Item());
  }

  /// True after close(). Thread-safe.
  bool isClosed() const { return Closed.load(std::memory_order_acquire); }

  /// Number of waiting items, a moment ago. Thread-safe.
  std::size_t size() const { return Size.load(std::memory_order_acquire); }

private:
  const std::size_t Capacity;
  std::atomic<std::size_t> Size = 0;
  std::atomic<bool> Closed = false;
  moodycamel::BlockingConcurrentQueue<Item> Queue;
};

} // namespace apricotwing

#endif
