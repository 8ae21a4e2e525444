/// \file
/// The HTTP interface for callers, operators and peers.
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

/// Parses and authenticates requests and passes them to the services. Calls
/// that block run on a thread pool of their own. Owned by the Daemon. All
/// methods are thread-safe.
class Api {
public:
  struct Services {
    RequestService &Requests;
    RunService &Runs;
    ShardRunner &Shards;
    InstanceListService &List;
    ConfigLedger &Ledger;
    std::function<StateDump()> Dump;
    std::function<std::string()> MetricsText;
    std::function<void()> OnConfigChanged;
  };

  Api(DaemonContext &Context, Services Parts);

  /// Uses the keys of \p Document from now on.
  void setConfig(const Config &Document);

  /// Reports "not ready" from now on; requests are still accepted.
  void leave() { Leaving = true; }

  /// Refuses new work from now on.
  void drain() { Draining = true; }

  bool isReady() const;
  bool isDraining() const { return Draining; }

  /// Calls that have not been answered yet, interactive requests left out.
  std::size_t openCalls() const { return Open; }

  /// Handles a call on the listen address.
  void handle(HttpRequest Request, const Responder &Respond);

  /// Handles a call on the peer address.
  void handlePeer(const HttpRequest &Request, const Responder &Respond);

private:
  using Path = std::vector<std::string>;
  using Call = std::function<HttpResponse()>;

  void handleOperations(const HttpRequest &Request, const Responder &Respond);
  void handleInteractive(HttpRequest Request, const std::string &Upstream,
                         const Responder &Respond);
  void handleRuns(const HttpRequest &Request, const Path &Parts,
                  const Responder &Respond);
  void handleConfig(const HttpRequest &Request, const Path &Parts,
                    const Responder &Respond);
  void handleLists(const HttpRequest &Request, const Path &Parts,
                   const Responder &Respond);
  void runLater(Call Work, const Responder &Respond);
  HttpResponse errorAnswer(const Error &Reason);
  void requireWork() const;
  Caller team(const HttpRequest &Request) const;
  Caller owner(const HttpRequest &Request) const;
  std::string encodeInstanceList() const;
  std::string encodeWorkerList() const;

  DaemonContext &Context;
  Services Parts;
  std::vector<OwnerKey> Owners;
  std::atomic<std::shared_ptr<const KeyAuthenticator>> Keys;
  std::atomic<bool> Leaving{false};
  std::atomic<bool> Draining{false};
  std::atomic<std::size_t> Open{0};
  ThreadPool Calls;
};

} // namespace apricotwing

#endif
