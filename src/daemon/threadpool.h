/// \file
/// A fixed number of threads that run jobs from a bounded queue.
#ifndef APRICOTWING_DAEMON_THREADPOOL_H
#define APRICOTWING_DAEMON_THREADPOOL_H

#include "daemon/boundedqueue.h"

#include <cstddef>
#include <functional>
#include <thread>
#include <vector>

namespace apricotwing {

/// Runs blocking calls to the table service, workers and executors, so that
/// they do not block the threads that make scheduling decisions. Owned by the
/// service that submits the jobs. A job must not throw.
class ThreadPool {
public:
  using Job = std::function<void()>;

  /// Starts \p Threads threads; at most \p Capacity jobs are queued.
  ThreadPool(std::size_t Threads, std::size_t Capacity);

  /// Runs the remaining queued jobs, then joins the threads.
  ~ThreadPool();

  ThreadPool(const ThreadPool &) = delete;
  ThreadPool &operator=(const ThreadPool &) = delete;

  /// Queues \p Work. Returns false if the queue is full or the pool is
  /// stopping. Thread-safe.
  bool submit(Job Work);

private:
  void runThread();

  BoundedQueue<Job> Queue;
  std::vector<std::thread> Threads;
};

} // namespace apricotwing

#endif
