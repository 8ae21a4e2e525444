/// \file
/// Asynchronous HTTP calls on libcurl.
#ifndef APRICOTWING_HTTPCLIENT_ASYNCHTTPCLIENT_H
#define APRICOTWING_HTTPCLIENT_ASYNCHTTPCLIENT_H

#include "httpclient/httpclient.h"

#include <concurrentqueue/concurrentqueue.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace apricotwing {

/// Performs any number of concurrent HTTP calls on one thread of its own.
/// Connections are kept open and are shared by all calls to the same address.
/// Owned by the process of an entry instance.
class AsyncHttpClient {
public:
  /// Receives the result of a call on the client's thread; must not block.
  using Callback = std::function<void(HttpResult)>;

  /// Starts the thread.
  AsyncHttpClient();

  /// Stops the thread. Calls in progress are aborted and their callbacks are
  /// not called.
  ~AsyncHttpClient();
  AsyncHttpClient(const AsyncHttpClient &) = delete;
  AsyncHttpClient &operator=(const AsyncHttpClient &) = delete;

  /// Calls that the client's thread took up, and how long they waited for it.
  struct QueueTimes {
    std::uint64_t Calls = 0;
    std::chrono::microseconds Sum{0};
    std::chrono::microseconds Longest{0};
  };

  /// Returns the calls since the last call of this method. Thread-safe.
  QueueTimes takeQueueTimes();

  /// Starts \p Call and passes its result to \p OnComplete. Ignores
  /// HttpCall::MaySend and HttpCall::KeepConnection. Thread-safe.
  void start(HttpCall Call, Callback OnComplete);

private:
  struct PendingCall;
  struct EventLoop;

  void run();
  void wake();
  void countTaken(const PendingCall &Call);

  std::unique_ptr<EventLoop> Loop;
  std::mutex QueueTimesMutex;
  QueueTimes Taken; ///< Guarded by QueueTimesMutex.
  std::atomic<bool> Stopping = false;
  std::thread Thread;
};

} // namespace apricotwing

#endif
