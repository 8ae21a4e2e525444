/// \file
/// Sharing of the processor among the threads of a process.
#ifndef APRICOTWING_ENTRY_THREADYIELDER_H
#define APRICOTWING_ENTRY_THREADYIELDER_H

#include <thread>

namespace apricotwing::entry {

/// Port: lets other threads that are ready to run use the processor.
/// Implementations are thread-safe.
class ThreadYielder {
public:
  virtual ~ThreadYielder() = default;

  /// Ends the time slice of the calling thread. Returns at once if no other
  /// thread is ready to run. Thread-safe.
  virtual void yield() = 0;
};

/// ThreadYielder that asks the scheduler of the operating system.
class SystemThreadYielder final : public ThreadYielder {
public:
  /// See ThreadYielder.
  void yield() override { std::this_thread::yield(); }
};

} // namespace apricotwing::entry

#endif
