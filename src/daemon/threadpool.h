/// \file
/// A fixed group of threads that run jobs from one bounded ring.
#ifndef APRICOTWING_DAEMON_THREADPOOL_H
#define APRICOTWING_DAEMON_THREADPOOL_H

#include "daemon/boundedqueue.h"

#include <cstddef>
#include <functional>
#include <thread>
#include <vector>

namespace apricotwing {

/// Runs blocking calls (table service, workers, executors) away from the
/// threads that decide. Owned by the service that submits the jobs. A job
/// must not throw.
class ThreadPool {
public:
  using Job = std::function<void()>;

  /// Starts \p Threads threads; at most \p Capacity jobs wait.
  ThreadPool(std::size_t Threads, std::size_t Capacity);

  /// Finishes the waiting jobs, then joins the threads.
  ~ThreadPool();

  ThreadPool(const ThreadPool &) = delete;
  ThreadPool &operator=(const ThreadPool &) = delete;

  /// Queues \p Work; false if the ring is full or the pool is stopping.
  /// Thread-safe.
  bool submit(Job Work);

private:
  void runThread();

  BoundedQueue<Job> Ring;
  std::vector<std::thread> Threads;
};

} // namespace apricotwing

#endif
