/// \file
/// A bounded queue that passes items between threads.
#ifndef APRICOTWING_DAEMON_BOUNDEDQUEUE_H
#define APRICOTWING_DAEMON_BOUNDEDQUEUE_H

#include <concurrentqueue/blockingconcurrentqueue.h>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <utility>

namespace apricotwing {

/// A multi-producer, multi-consumer queue with a fixed capacity. A producer
/// never blocks: a full queue rejects the item, so that overload is reported to
/// the producer instead of growing the memory. Owned by the consumer. All
/// methods are thread-safe.
template <typename Item> class BoundedQueue {
public:
  /// \p Capacity is the maximum number of queued items.
  explicit BoundedQueue(std::size_t Capacity) : Capacity(Capacity) {}

  /// Adds \p Value. Returns false and leaves \p Value unchanged if the queue is
  /// full or closed. Thread-safe.
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

  /// Removes the next item into \p Value, waiting at most \p Timeout. Returns
  /// false if no item arrived. Thread-safe.
  bool pop(Item &Value, std::chrono::milliseconds Timeout) {
    if (!Queue.wait_dequeue_timed(Value, Timeout))
      return false;
    Size.fetch_sub(1, std::memory_order_acq_rel);
    return true;
  }

  /// Rejects new items from now on; queued items can still be removed. Adds
  /// \p WakeItems default-constructed items, which wake up blocked consumers.
  /// Thread-safe.
  void close(std::size_t WakeItems = 0) {
    Closed.store(true, std::memory_order_release);
    Size.fetch_add(WakeItems, std::memory_order_acq_rel);
    for (std::size_t Index = 0; Index < WakeItems; ++Index)
      Queue.enqueue(Item());
  }

  /// True after close(). Thread-safe.
  bool isClosed() const { return Closed.load(std::memory_order_acquire); }

  /// Approximate number of queued items. Thread-safe.
  std::size_t size() const { return Size.load(std::memory_order_acquire); }

private:
  const std::size_t Capacity;
  std::atomic<std::size_t> Size = 0;
  std::atomic<bool> Closed = false;
  moodycamel::BlockingConcurrentQueue<Item> Queue;
};

} // namespace apricotwing

#endif
