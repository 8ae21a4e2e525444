/// \file
/// The life of one request inside the server adapter, from its arrival until
/// its response is written.
#ifndef APRICOTWING_HTTPSERVER_EXCHANGE_H
#define APRICOTWING_HTTPSERVER_EXCHANGE_H

#include "core/error.h"
#include "core/httpserver.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace apricotwing {

/// Sends a response and calls the second argument when it is written or the
/// connection has failed.
using ResponseWriter = std::function<void(HttpResponse, std::function<void()>)>;

/// \p Failure as the response that callers and operators see everywhere: its
/// status and a JSON body with kind, message, remedy and outcome. Thread-safe.
HttpResponse errorResponse(const Error &Failure);

class OpenExchanges;

/// One request that waits for its response. Owned by the Responder given to
/// the handler; if that is dropped without a response, 500 is sent.
class Exchange {
public:
  Exchange(OpenExchanges &Registry, std::uint64_t Id, ResponseWriter Writer);
  ~Exchange();
  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;

  /// Sends \p Response unless one was sent or the server has stopped.
  /// Thread-safe.
  void respond(HttpResponse Response);

private:
  friend class OpenExchanges;

  void abandon();

  OpenExchanges &Registry; ///< Not used once the writer is gone.
  const std::uint64_t Id;
  std::mutex Mutex;
  ResponseWriter Writer;
};

/// The requests whose response is not yet written; the server waits for them
/// when it stops. Thread-safe.
class OpenExchanges {
public:
  /// Registers a request that is answered through \p Writer.
  std::shared_ptr<Exchange> add(ResponseWriter Writer);

  /// Waits until all responses are written, at most \p Limit.
  void waitUntilEmpty(std::chrono::milliseconds Limit);

  /// Makes the remaining exchanges ignore their responses. To be called when
  /// no thread of the server runs any more.
  void abandonAll();

private:
  friend class Exchange;

  struct Entry {
    std::weak_ptr<Exchange> Call;
    /// The response has to be written, and its sender has to let go of the
    /// connection; the two happen on different threads in either order.
    int PartsLeft = 2;
  };

  void finishPart(std::uint64_t Id);

  std::mutex Mutex;
  std::condition_variable Changed;
  std::uint64_t NextId = 1;
  std::map<std::uint64_t, Entry> Open;
};

} // namespace apricotwing

#endif
