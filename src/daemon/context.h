/// \file
/// Dependencies that all services of a daemon share.
#ifndef APRICOTWING_DAEMON_CONTEXT_H
#define APRICOTWING_DAEMON_CONTEXT_H

#include "core/platform.h"
#include "core/records.h"
#include "core/sessionmanager.h"
#include "core/tableservice.h"
#include "core/transactionids.h"
#include "daemon/log.h"
#include "daemon/metrics.h"
#include "daemon/settings.h"

#include <cstdint>

namespace apricotwing {

/// References to the clients and components that every service uses. Owned by
/// the Daemon, which outlives all services. All members are thread-safe, except
/// for the methods of SessionManager that only the renewal thread may call.
struct DaemonContext {
  const Settings &Options;
  const Clock &Time;
  Log &Logger;
  DaemonMetrics &Metrics;
  const RecordCodec &Codec;
  TransactionIds &Ids;
  TableService &Table;
  ObjectStore &Objects;
  InstanceList &InstanceClient;
  WorkerClient &Workers;
  UpstreamClient &Upstreams;
  PeerClient &Peers;
  SessionManager &Session;

  /// True while this process may act under its session. Thread-safe.
  bool hasAuthority() const { return Session.isValid(Time.now()); }
};

} // namespace apricotwing

#endif
