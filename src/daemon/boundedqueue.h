/// \file
/// A bounded queue that passes items between threads.
#ifndef APRICOTWING_DAEMON_BOUNDEDQUEUE_H
#define APRICOTWING_DAEMON_BOUNDEDQUEUE_H

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <utility>

namespace apricotwing {

/// A multi-producer, multi-consumer queue with a fixed capacity. Items leave it
/// in the order of their arrival, whichever thread added them. A producer never
/// blocks for room: a full queue rejects the item, so that overload is reported
/// to the producer instead of growing the memory. Owned by the consumer. All
/// methods are thread-safe.
template <typename Item> class BoundedQueue {
public:
  /// \p Capacity is the maximum number of queued items.
  explicit BoundedQueue(std::size_t Capacity) : Capacity(Capacity) {}

  /// Adds \p Value. Returns false and leaves \p Value unchanged if the queue is
  /// full or closed. Thread-safe.
  bool push(Item &&Value) {
    {
      const std::lock_guard Lock(Mutex);
      if (Closed || Items.size() >= Capacity)
        return false;
      Items.push_back(std::move(Value));
    }
    Changed.notify_one();
    return true;
  }

  /// Removes the next item into \p Value, waiting at most \p Timeout. Returns
  /// false if no item arrived or the queue is closed and empty. Thread-safe.
  bool pop(Item &Value, std::chrono::milliseconds Timeout) {
    std::unique_lock Lock(Mutex);
    Changed.wait_for(Lock, Timeout,
                     [this] { return Closed || !Items.empty(); });
    if (Items.empty())
      return false;
    Value = std::move(Items.front());
    Items.pop_front();
    return true;
  }

  /// Rejects new items from now on; queued items can still be removed. Ends the
  /// waits of all consumers. Thread-safe.
  void close() {
    {
      const std::lock_guard Lock(Mutex);
      Closed = true;
    }
    Changed.notify_all();
  }

  /// True after close(). Thread-safe.
  bool isClosed() const {
    const std::lock_guard Lock(Mutex);
    return Closed;
  }

  /// Number of queued items. Thread-safe.
  std::size_t size() const {
    const std::lock_guard Lock(Mutex);
    return Items.size();
  }

private:
  const std::size_t Capacity;
  mutable std::mutex Mutex;
  std::condition_variable Changed;
  std::deque<Item> Items; ///< Guarded by Mutex.
  bool Closed = false;    ///< Guarded by Mutex.
};

} // namespace apricotwing

#endif
