/// \file
/// Tracks each HTTP request in the server adapter, from its arrival until its
/// response is written.
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

/// Sends a response, then calls the second argument once the response has been
/// written or the connection has failed.
using ResponseWriter = std::function<void(HttpResponse, std::function<void()>)>;

/// Returns the HTTP response for \p Failure: the status that belongs to its
/// kind, and a JSON body with kind, message, remedy and outcome. Thread-safe.
HttpResponse errorResponse(const Error &Failure);

class OpenExchanges;

/// A request that has not been answered yet. Owned by the Responder that the
/// handler receives; if the Responder is destroyed without a response, the
/// exchange sends status 500.
class Exchange {
public:
  Exchange(OpenExchanges &Registry, std::uint64_t Id, ResponseWriter Writer);
  ~Exchange();
  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;

  /// Sends \p Response. Does nothing if a response was already sent or the
  /// server has stopped. Thread-safe.
  void respond(HttpResponse Response);

private:
  friend class OpenExchanges;

  void abandon();

  OpenExchanges &Registry; ///< Not accessed after Writer has been reset.
  const std::uint64_t Id;
  std::mutex Mutex;
  ResponseWriter Writer;
};

/// The set of requests whose response has not been written yet. The server
/// waits for them when it stops. Thread-safe.
class OpenExchanges {
public:
  /// Registers a request whose response will be sent through \p Writer.
  std::shared_ptr<Exchange> add(ResponseWriter Writer);

  /// Blocks until all responses are written or \p Limit has elapsed.
  void waitUntilEmpty(std::chrono::milliseconds Limit);

  /// Makes the remaining exchanges ignore their responses. Precondition: all
  /// server threads have been joined.
  void abandonAll();

private:
  friend class Exchange;

  struct Entry {
    std::weak_ptr<Exchange> Call;
    /// Two steps end an exchange: the response is written, and the sender
    /// releases its reference to the connection. They run on different threads
    /// and in either order.
    int PendingSteps = 2;
  };

  void finishStep(std::uint64_t Id);

  std::mutex Mutex;
  std::condition_variable Changed;
  std::uint64_t NextId = 1;
  std::map<std::uint64_t, Entry> Entries;
};

} // namespace apricotwing

#endif
