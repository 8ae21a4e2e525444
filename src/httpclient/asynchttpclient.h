/// \file
/// HTTP calls on libcurl that do not block their caller.
#ifndef APRICOTWING_HTTPCLIENT_ASYNCHTTPCLIENT_H
#define APRICOTWING_HTTPCLIENT_ASYNCHTTPCLIENT_H

#include "httpclient/httpclient.h"

#include <concurrentqueue/concurrentqueue.h>

#include <atomic>
#include <functional>
#include <memory>
#include <thread>

namespace apricotwing {

/// Performs any number of HTTP calls at a time in one thread of its own.
/// Connections are kept and shared by all calls to an address. Owned by the
/// process of an entry instance.
class AsyncHttpClient {
public:
  /// Runs on the client's thread; must not block.
  using Callback = std::function<void(HttpResult)>;

  /// Starts the thread.
  AsyncHttpClient();

  /// Ends the thread. Calls under way are dropped without a callback.
  ~AsyncHttpClient();
  AsyncHttpClient(const AsyncHttpClient &) = delete;
  AsyncHttpClient &operator=(const AsyncHttpClient &) = delete;

  /// Starts \p Call and passes its result to \p Then. Its MaySend and
  /// KeepConnection are not used. Thread-safe.
  void start(HttpCall Call, Callback Then);

private:
  struct Job;
  struct State;

  void run();
  void wake();

  std::unique_ptr<State> Shared;
  std::atomic<bool> Stopping = false;
  std::thread Thread;
};

} // namespace apricotwing

#endif
