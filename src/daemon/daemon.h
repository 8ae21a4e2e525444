/// \file
/// The entry instance's daemon: all services and their order of start and end.
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
#include "wire/jsonrecordcodec.h"

#include <memory>
#include <mutex>
#include <string>

namespace apricotwing {

/// Owns every part of the process. Created and ended by main().
class Daemon {
public:
  /// Binds the addresses and starts all services. Throws Error(BadSettings)
  /// if an address cannot be bound.
  explicit Daemon(const Settings &Values);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  /// Graceful shutdown: leaves readiness, refuses new work after a grace
  /// time, finishes open requests, releases shards and grants, and deletes
  /// the session row. Call once.
  void shutDown();

private:
  StateDump dump() const;
  std::string metricsText();
  void handleConfig(const Config &Document);
  void handleLost();
  void waitForOpenRequests();

  const Settings Values;
  SteadyClock Time;
  Log Events;
  Metrics Counts;
  JsonRecordCodec Codec;
  TransactionIds Ids;
  HttpClient Client;
  std::mutex TrafficMutex;
  HttpTraffic CountedTraffic; ///< What the metrics contain already.
  HttpTableService PlainTable;
  MeteredTableService Table;
  HttpObjectStore PlainObjects;
  MeteredObjectStore Objects;
  HttpInstanceList List;
  HttpWorkerClient Workers;
  HttpPeerClient Peers;
  SessionManager Session;
  HttpUpstreamClient Upstreams;
  DaemonContext Context;
  ConfigLedger Ledger;
  std::unique_ptr<RequestService> Requests;
  std::unique_ptr<InstanceListService> Listing;
  std::unique_ptr<GrantService> Grants;
  std::unique_ptr<ShardRunner> Shards;
  std::unique_ptr<RunService> Runs;
  std::unique_ptr<AuthorityService> Authority;
  std::unique_ptr<Api> Interface;
  std::unique_ptr<HttpServer> PeerServer;
  std::unique_ptr<HttpServer> Server;
  std::unique_ptr<PeriodicThread> Housekeeping;
};

} // namespace apricotwing

#endif
