#include "daemon/threadpool.h"

namespace apricotwing {

namespace {

/// Longest wait of an idle thread. BoundedQueue::close() ends it early.
constexpr std::chrono::milliseconds IdleWait{60'000};

} // namespace

ThreadPool::ThreadPool(std::size_t ThreadCount, std::size_t Capacity)
    : Queue(Capacity) {
  for (std::size_t Index = 0; Index < ThreadCount; ++Index)
    Threads.emplace_back([this] { runThread(); });
}

ThreadPool::~ThreadPool() {
  Queue.close();
  for (std::thread &Thread : Threads)
    Thread.join();
}

bool ThreadPool::submit(Job Work) { return Queue.push(std::move(Work)); }

void ThreadPool::runThread() {
  Job Work;
  while (true) {
    const bool IsClosed = Queue.isClosed();
    if (Queue.pop(Work, IdleWait))
      Work();
    else if (IsClosed)
      return;
    // Frees what the job has captured before the wait for the next one.
    Work = nullptr;
  }
}

} // namespace apricotwing
