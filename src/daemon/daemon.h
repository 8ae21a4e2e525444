/// \file
/// The daemon of an entry instance: starts and stops all services.
#ifndef APRICOTWING_DAEMON_DAEMON_H
#define APRICOTWING_DAEMON_DAEMON_H

#include "core/httpserver.h"
#include "daemon/api.h"
#include "daemon/authorityservice.h"
#include "daemon/context.h"
#include "daemon/grantservice.h"
#include "daemon/instancelistservice.h"
#include "daemon/meteredstore.h"
#include "daemon/requestservice.h"
#include "daemon/runservice.h"
#include "daemon/shardrunner.h"
#include "httpclient/httpclient.h"
#include "httpclient/httpinstancelist.h"
#include "httpclient/httpobjectstore.h"
#include "httpclient/httppeerclient.h"
#include "httpclient/httptableservice.h"
#include "httpclient/httpupstreamclient.h"
#include "httpclient/httpworkerclient.h"
#include "httpclient/steadyclock.h"
#include "httpserver/intakebudget.h"
#include "wire/jsonrecordcodec.h"

#include <array>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

namespace apricotwing {

/// Owns all components of the process and defines the order in which they start
/// and stop. Created and destroyed by main().
class Daemon {
public:
  /// Binds the addresses and starts all services. Throws Error(BadSettings)
  /// if an address cannot be bound.
  explicit Daemon(const Settings &LoadedSettings);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  /// Shuts down gracefully: reports not ready, rejects new work after a grace
  /// period, completes open requests, releases shards and grants, and deletes
  /// the session row. Call once.
  void shutDown();

private:
  StateDump collectState() const;
  std::string metricsText();
  void handleConfig(const Config &Document);
  void handleSessionLost();
  void waitForOpenRequests();
  /// Logs and counts the connections and requests that the limits for clients
  /// have ended since the last call.
  void reportRefusals();

  const Settings Options;
  SteadyClock Time;
  Log Logger;
  DaemonMetrics Metrics;
  JsonRecordCodec Codec;
  TransactionIds Ids;
  HttpClient Client;
  std::mutex TrafficMutex;
  HttpTraffic ReportedTraffic; ///< Already added to the metrics.
  HttpTableService HttpTable;
  MeteredTableService Table;
  HttpObjectStore HttpObjects;
  MeteredObjectStore Objects;
  HttpInstanceList InstanceClient;
  HttpWorkerClient Workers;
  HttpPeerClient Peers;
  SessionManager Session;
  HttpUpstreamClient Upstreams;
  DaemonContext Context;
  ConfigLedger Ledger;
  std::unique_ptr<RequestService> Requests;
  std::unique_ptr<InstanceListService> Instances;
  std::unique_ptr<GrantService> Grants;
  std::unique_ptr<ShardRunner> Shards;
  std::unique_ptr<RunService> Runs;
  std::unique_ptr<AuthorityService> Authority;
  std::unique_ptr<Api> HttpApi;
  const std::shared_ptr<IntakeBudget> Intake; ///< Of both servers.
  std::array<std::uint64_t, IntakeRefusalNames.size()> LoggedRefusals{};
  std::unique_ptr<HttpServer> PeerServer;
  std::unique_ptr<HttpServer> Server;
  std::unique_ptr<PeriodicThread> LogFlushThread;
};

} // namespace apricotwing

#endif
