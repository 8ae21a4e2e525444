#include "daemon/threadpool.h"

namespace apricotwing {

namespace {

/// Bound on the time that a stopping pool needs to notice the end.
constexpr std::chrono::milliseconds PopTimeout{100};

} // namespace

ThreadPool::ThreadPool(std::size_t ThreadCount, std::size_t Capacity)
    : Ring(Capacity) {
  for (std::size_t Index = 0; Index < ThreadCount; ++Index)
    Threads.emplace_back([this] { runThread(); });
}

ThreadPool::~ThreadPool() {
  Ring.close();
  for (std::thread &Thread : Threads)
    Thread.join();
}

bool ThreadPool::submit(Job Work) { return Ring.push(std::move(Work)); }

void ThreadPool::runThread() {
  Job Work;
  while (true) {
    if (Ring.pop(Work, PopTimeout))
      Work();
    else if (Ring.isClosed())
      return;
  }
}

} // namespace apricotwing
