/// \file
/// Polls the platform's instance list.
#ifndef APRICOTWING_DAEMON_INSTANCELISTSERVICE_H
#define APRICOTWING_DAEMON_INSTANCELISTSERVICE_H

#include "daemon/context.h"
#include "daemon/periodicthread.h"

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>

namespace apricotwing {

/// Polls the platform's instance list on a thread of its own, so that a slow
/// read does not delay other work. While the list cannot be read, the last
/// snapshot stays in use. Owned by the Daemon.
class InstanceListService {
public:
  using Snapshot = std::shared_ptr<const InstanceSnapshot>;
  using Listener = std::function<void(const InstanceSnapshot &)>;

  /// Calls \p OnSnapshot on the polling thread after each successful read.
  InstanceListService(DaemonContext &Context, Listener OnSnapshot);

  /// The latest snapshot; null before the first successful read. Thread-safe.
  Snapshot latest() const { return Latest.load(); }

  /// Time of the last successful read; TimePoint::min() if there was none.
  /// Thread-safe.
  TimePoint lastContact() const;

  /// Stops the thread. Idempotent.
  void stop() { Thread.stop(); }

private:
  void poll();

  DaemonContext &Context;
  Listener OnSnapshot;
  std::atomic<Snapshot> Latest;
  std::atomic<TimePoint::rep> LastContactMs;
  std::size_t LastSkipped = 0; ///< Used on the polling thread only.
  PeriodicThread Thread;
};

} // namespace apricotwing

#endif
