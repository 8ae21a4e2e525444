/// \file
/// The running process of an entry instance.
#ifndef APRICOTWING_ENTRY_ENTRYPROCESS_H
#define APRICOTWING_ENTRY_ENTRYPROCESS_H

#include "cell/node.h"
#include "core/httpserver.h"
#include "entry/controlloop.h"
#include "entry/decisionlog.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace apricotwing::entry {

/// Addresses and names of an entry instance, from its settings.
struct EntrySettings {
  cell::InstanceInfo Instance; ///< With the address for mail from peers.
  std::string ClientAddress;   ///< host:port for callers.
  std::string ReadyAddress;    ///< host:port for the readiness probe.
  Duration Grace{6000};        ///< From SIGTERM to SIGKILL.
};

/// Translates between HTTP and the calls of callers.
class ClientCodec {
public:
  virtual ~ClientCodec() = default;

  /// The call in \p Request; empty if it is none. Thread-safe.
  virtual std::optional<cell::ClientCall>
  read(const HttpRequest &Request) const = 0;

  /// The response that says \p Answer. Thread-safe.
  virtual HttpResponse write(const cell::ClientAnswer &Answer) const = 0;

  /// Path of the readiness probe. Thread-safe.
  virtual std::string readyPath() const = 0;
};

/// Runs a Node on the control thread and serves callers, peers, the readiness
/// probe, metrics and the state dump. A planned stop hands the office and the
/// workers over, goes on serving until nobody is sent here any more, then
/// refuses new calls, finishes the open ones and ends within the grace period.
/// Owned by main().
class EntryProcess {
public:
  EntryProcess(EntrySettings Settings, ControlLoop &Control, cell::Node &Node,
               DecisionLog &Log, const Clock &Time, const ClientCodec &Codec);

  /// Serves until a stop is requested and done. \p StopRequested and
  /// \p ReloadRequested are set by signal handlers.
  void run(const std::atomic<bool> &StopRequested,
           std::atomic<bool> &ReloadRequested,
           const std::function<void()> &Reload);

private:
  void serveCaller(const HttpRequest &Request, const Responder &Respond);
  void servePeer(HttpRequest Request, const Responder &Respond);
  std::string metrics() const;
  std::string stateDump() const;
  void pump(const std::atomic<bool> &StopRequested);

  const EntrySettings Settings;
  ControlLoop &Control;
  cell::Node &Node;
  DecisionLog &Log;
  const Clock &Time;
  const ClientCodec &Codec;
  std::atomic<bool> Ready = false;
  std::atomic<bool> Ending = false; ///< New calls are refused at once.
  bool WasReady = false;
  std::optional<TimePoint> StoppingSince;
  std::unique_ptr<HttpServer> Callers;
};

} // namespace apricotwing::entry

#endif
