/// \file
/// HTTP request handlers for callers, operators and peers.
#ifndef APRICOTWING_DAEMON_API_H
#define APRICOTWING_DAEMON_API_H

#include "core/configledger.h"
#include "core/httpserver.h"
#include "core/keyauthenticator.h"
#include "daemon/context.h"
#include "daemon/instancelistservice.h"
#include "daemon/requestservice.h"
#include "daemon/runservice.h"
#include "daemon/shardrunner.h"
#include "daemon/statedump.h"
#include "daemon/threadpool.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace apricotwing {

/// Parses and authenticates HTTP requests and dispatches them to the services.
/// Calls that block run on a dedicated thread pool. Owned by the Daemon. All
/// methods are thread-safe.
class Api {
public:
  /// The services and callbacks that the handlers use. They must outlive the
  /// Api.
  struct ServiceRefs {
    RequestService &Requests;
    RunService &Runs;
    ShardRunner &Shards;
    InstanceListService &Instances;
    ConfigLedger &Ledger;
    std::function<StateDump()> CollectState;
    std::function<std::string()> SerializeMetrics;
    std::function<void()> OnConfigChanged;
  };

  Api(DaemonContext &Context, ServiceRefs Services);

  /// Replaces the accepted API keys with those of configuration \p Document.
  void setConfig(const Config &Document);

  /// Makes the readiness check fail; requests are still accepted.
  void leave() { Leaving = true; }

  /// Rejects new work from now on.
  void drain() { Draining = true; }

  bool isReady() const;
  bool isDraining() const { return Draining; }

  /// Number of calls without a response yet, excluding interactive requests.
  std::size_t openCalls() const { return OpenCalls; }

  /// Handles a request that arrived on the public listen address.
  void handle(HttpRequest Request, const Responder &Respond);

  /// Handles a request that arrived on the peer address.
  void handlePeer(const HttpRequest &Request, const Responder &Respond);

private:
  using PathSegments = std::vector<std::string>;
  using BlockingCall = std::function<HttpResponse()>;
  using TeamCall = std::function<HttpResponse(const TeamName &)>;

  /// The accepted keys of one version of the configuration.
  struct VersionedKeys {
    std::uint64_t Version = 0;
    KeyAuthenticator Authenticator;
  };

  void handleDiagnostics(const HttpRequest &Request, const Responder &Respond);
  void handleInteractive(HttpRequest Request, const std::string &Upstream,
                         const Responder &Respond);
  void handleRuns(const HttpRequest &Request, const PathSegments &Segments,
                  const Responder &Respond);
  void handleConfig(const HttpRequest &Request, const PathSegments &Segments,
                    const Responder &Respond);
  void handleLists(const HttpRequest &Request, const PathSegments &Segments,
                   const Responder &Respond);
  void runAsync(BlockingCall Work, const Responder &Respond);
  /// Like runAsync() for a caller that has been authenticated, which is
  /// repeated before \p Work is called with the caller's team.
  void runForTeam(const HttpRequest &Request, TeamCall Work,
                  const Responder &Respond);
  HttpResponse makeErrorResponse(const Error &Reason);
  void requireAuthority() const;
  Caller authenticateTeam(const HttpRequest &Request);
  Caller authenticateOwner(const HttpRequest &Request);
  std::shared_ptr<const VersionedKeys> makeKeys(const Config &Document) const;
  std::shared_ptr<const VersionedKeys> newestKeys();
  std::string encodeInstanceList() const;
  std::string encodeWorkerList() const;

  DaemonContext &Context;
  ServiceRefs Services;
  std::vector<OwnerKey> Owners;
  std::atomic<std::shared_ptr<const VersionedKeys>> Keys;
  std::atomic<bool> Leaving{false};
  std::atomic<bool> Draining{false};
  std::atomic<std::size_t> OpenCalls{0};
  ThreadPool CallPool;
};

} // namespace apricotwing

#endif
