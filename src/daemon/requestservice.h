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
  RequestTicket Ticket;
  std::string Body;
  std::string ContentType;
  Responder Respond;
};

/// Serializes access to the RequestRouter with a mutex and performs its sends
/// on a thread pool. Owned by the Daemon. All methods are thread-safe.
class RequestService {
public:
  /// \p OnDemand is called after a submission that left requests queued, which
  /// wait for slots or grants.
  RequestService(DaemonContext &Context, std::function<void()> OnDemand);
  ~RequestService();

  /// Queues a request. Its responder is called exactly once, possibly before
  /// this method returns.
  void submit(IncomingRequest Request);

  /// Applies a configuration to the router.
  void setConfig(const Config &Document);

  /// Replaces the list of executors.
  void setExecutors(const std::vector<ListedExecutor> &Executors);

  /// Passes the end of the current authority to the router.
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

  /// Calls \p Use with the router while holding the mutex. \p Use must not
  /// block.
  template <typename Function> auto withRouter(Function Use) {
    const std::lock_guard Lock(Mutex);
    return Use(Router);
  }

  /// Sends the requests that can be sent now, for example after a new grant.
  void dispatch();

private:
  struct Waiting {
    IncomingRequest Request;
    TimePoint Arrived;
    bool Dequeued = false;
  };
  /// Functions that are called after the mutex has been released.
  using Deferred = std::vector<std::function<void()>>;

  TimePoint authorityEnd() const;
  void dispatchLocked(Deferred &After);
  void startSend(const RequestSend &Send, Deferred &After);
  void perform(const RequestSend &Send, const UpstreamRequest &Request);
  void finish(const SendReport &Report, const UpstreamAnswer &Answer);
  void fail(const std::string &Id, const Error &Reason, Deferred &After);
  static void run(Deferred &After);

  DaemonContext &Context;
  const std::function<void()> OnDemand;
  mutable std::mutex Mutex;
  RequestRouter Router;
  SessionId GrantHolder; ///< Session that holds the router's grants.
  std::map<std::string, Waiting> Open;
  ThreadPool Senders;
  PeriodicThread Ticker;
};

} // namespace apricotwing

#endif
