/// \file
/// Interactive requests: queue, slots, sends and answers.
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

/// A request as it came from a caller.
struct IncomingRequest {
  RequestMetadata Metadata;
  std::string Body;
  std::string ContentType;
  Responder Respond;
};

/// Drives the RequestRouter under one mutex and performs its sends on a
/// thread pool. Owned by the Daemon. All methods are thread-safe.
class RequestService {
public:
  /// \p OnDemand is called when requests wait for slots or grants.
  RequestService(DaemonContext &Context, std::function<void()> OnDemand);
  ~RequestService();

  /// Queues a request; its responder is called exactly once, now or later.
  void submit(IncomingRequest Request);

  /// Puts a configuration in force.
  void setConfig(const Config &Document);

  /// Replaces the list of executors.
  void setExecutors(const std::vector<ListedExecutor> &Executors);

  /// Takes over the end of the present authority.
  void refreshAuthority();

  /// Gives up all grants; from now on requests are sent under \p Holder only.
  /// Nothing is sent while another session is the present one, because the
  /// grants of an ended session may already belong to others.
  void resetGrants(const SessionId &Holder);

  /// Refuses new requests from now on.
  void drain();

  /// Requests without a final result.
  std::size_t open() const;

  /// Counters and levels.
  RouterStats stats() const;

  /// Calls \p Use with the router, under the mutex. \p Use must not block.
  template <typename Function> auto withRouter(Function Use) {
    const std::lock_guard Lock(Mutex);
    return Use(Router);
  }

  /// Sends what has become possible, for example after a new grant.
  void dispatch();

private:
  struct Waiting {
    IncomingRequest Request;
    TimePoint Arrived;
    bool Dequeued = false;
  };
  /// Answers that are given after the mutex is released.
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
  SessionId GrantHolder; ///< Session that the router's grants belong to.
  std::map<std::string, Waiting> Open;
  ThreadPool Senders;
  PeriodicThread Ticker;
};

} // namespace apricotwing

#endif
