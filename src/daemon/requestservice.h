/// \file
/// Queues interactive requests and sends them to executors.
#ifndef APRICOTWING_DAEMON_REQUESTSERVICE_H
#define APRICOTWING_DAEMON_REQUESTSERVICE_H

#include "core/httpserver.h"
#include "core/requestrouter.h"
#include "daemon/context.h"
#include "daemon/periodicthread.h"
#include "daemon/threadpool.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace apricotwing {

/// An interactive request from a caller.
struct IncomingRequest {
  RequestMetadata Metadata;
  std::string Body;
  std::string ContentType;
  Responder Respond;
};

/// Serializes access to the RequestRouter with a mutex and performs its sends
/// on a thread pool. Owned by the Daemon. All methods are thread-safe.
class RequestService {
public:
  /// \p OnRequestsQueued is called after a submission that left requests
  /// queued, which wait for slots or grants.
  RequestService(DaemonContext &Context,
                 std::function<void()> OnRequestsQueued);
  ~RequestService();

  /// Queues a request. Its responder is called exactly once, possibly before
  /// this method returns.
  void submit(IncomingRequest Request);

  /// Applies a configuration to the router.
  void setConfig(const Config &Document);

  /// Replaces the list of executors.
  void setExecutors(const std::vector<ListedExecutor> &Executors);

  /// Passes the end of the current authority and the configuration under which
  /// it was gained to the router.
  void refreshAuthority();

  /// Drops all grants; the grants set from now on belong to session \p Holder.
  /// No request is sent while a different session is current, because the
  /// grants of an ended session may already belong to other instances.
  void resetGrants(const SessionId &Holder);

  /// Rejects new requests from now on.
  void drain();

  /// Number of requests without a final result.
  std::size_t open() const;

  /// Statistics of the router, for metrics and the state dump.
  RouterStats stats() const;

  /// Calls \p Callback with the router while holding the mutex. \p Callback
  /// must not block.
  template <typename Function> auto withRouter(Function Callback) {
    const std::lock_guard Lock(Mutex);
    return Callback(Router);
  }

  /// Sends the requests that can be sent now, for example after a new grant.
  void dispatch();

private:
  struct OpenRequest {
    IncomingRequest Request;
    TimePoint ArrivalTime;
    bool WasDequeued = false;
  };
  /// Functions that are called after the mutex has been released.
  using DeferredCalls = std::vector<std::function<void()>>;

  TimePoint authorityEnd() const;
  void applySession();
  void applyConfig(const Config &Document);
  void dispatchLocked(DeferredCalls &Deferred);
  void deferSend(const RequestSend &Send, DeferredCalls &Deferred);
  void performSend(const RequestSend &Send, const UpstreamRequest &Request);
  void completeSend(const SendReport &Report, const UpstreamAnswer &Answer);
  void failRequest(const std::string &Id, const Error &Reason,
                   DeferredCalls &Deferred);
  static void runDeferred(DeferredCalls &Deferred);

  DaemonContext &Context;
  const std::function<void()> OnRequestsQueued;
  mutable std::mutex Mutex;
  RequestRouter Router;
  std::uint64_t ConfigVersion = 0; ///< Of the configuration in the router.
  SessionId GrantHolder;           ///< Session that holds the router's grants.
  std::map<std::string, OpenRequest> OpenRequests;
  ThreadPool SendPool;
  PeriodicThread DispatchThread;
};

} // namespace apricotwing

#endif
