/// \file
/// Asynchronous HTTP calls on libcurl.
#ifndef APRICOTWING_HTTPCLIENT_ASYNCHTTPCLIENT_H
#define APRICOTWING_HTTPCLIENT_ASYNCHTTPCLIENT_H

#include "httpclient/httpclient.h"

#include <concurrentqueue/concurrentqueue.h>

#include <atomic>
#include <functional>
#include <memory>
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

  /// Starts \p Call and passes its result to \p OnComplete. Ignores
  /// HttpCall::MaySend and HttpCall::KeepConnection. Thread-safe.
  void start(HttpCall Call, Callback OnComplete);

private:
  struct PendingCall;
  struct EventLoop;

  void run();
  void wake();

  std::unique_ptr<EventLoop> Loop;
  std::atomic<bool> Stopping = false;
  std::thread Thread;
};

} // namespace apricotwing

#endif
