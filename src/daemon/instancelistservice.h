/// \file
/// The instance list as this daemon last read it.
#ifndef APRICOTWING_DAEMON_INSTANCELISTSERVICE_H
#define APRICOTWING_DAEMON_INSTANCELISTSERVICE_H

#include "daemon/context.h"
#include "daemon/periodicthread.h"

#include <atomic>
#include <functional>
#include <memory>

namespace apricotwing {

/// Reads the platform's instance list on a thread of its own, so that a slow
/// list delays nothing else. When the list cannot be read the last one stays
/// in use. Owned by the Daemon.
class InstanceListService {
public:
  using Snapshot = std::shared_ptr<const InstanceSnapshot>;
  using Listener = std::function<void(const InstanceSnapshot &)>;

  /// Calls \p OnList on the list's thread after each read.
  InstanceListService(DaemonContext &Context, Listener OnList);

  /// The last list; null before the first. Thread-safe.
  Snapshot latest() const { return Latest.load(); }

  /// When the list was last read; TimePoint::min() if never. Thread-safe.
  TimePoint lastContact() const;

  /// Ends the thread. Idempotent.
  void stop() { Thread.stop(); }

private:
  void readOnce();

  DaemonContext &Context;
  Listener OnList;
  std::atomic<Snapshot> Latest;
  std::atomic<TimePoint::rep> LastContactMs;
  PeriodicThread Thread;
};

} // namespace apricotwing

#endif
