/// \file
/// Servers and lifecycle of the process of an entry instance.
#ifndef APRICOTWING_ENTRY_ENTRYPROCESS_H
#define APRICOTWING_ENTRY_ENTRYPROCESS_H

#include "cell/node.h"
#include "core/httpserver.h"
#include "entry/controlloop.h"
#include "entry/decisionlog.h"
#include "httpclient/asynchttpclient.h"
#include "httpserver/intakesettings.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace apricotwing::entry {

/// Settings of an entry instance.
struct EntrySettings {
  cell::InstanceInfo Instance; ///< Its address is that for peers.
  std::string ClientAddress;   ///< host:port to listen on for clients.
  std::string ReadyAddress;    ///< host:port to listen on for the readiness
                               ///< probe.
  Duration GracePeriod{6000};  ///< Time from SIGTERM to SIGKILL.
  MachineLimits Machine;
  IntakeSettings Intake;
};

/// Decodes HTTP requests into client calls and encodes their answers.
class ClientCodec {
public:
  virtual ~ClientCodec() = default;

  /// Decodes \p Request; returns std::nullopt if it is no client call.
  /// Thread-safe.
  virtual std::optional<cell::ClientCall>
  decodeCall(const HttpRequest &Request) const = 0;

  /// Encodes \p Answer as an HTTP response. Thread-safe.
  virtual HttpResponse encodeAnswer(const cell::ClientAnswer &Answer) const = 0;

  /// Path of the readiness probe. Thread-safe.
  virtual std::string readyPath() const = 0;
};

/// Runs a Node on the control thread and serves clients, peers, the readiness
/// probe, metrics and the state dump. A planned stop hands over leadership and
/// the workers, serves on until the platform sends no more clients here, then
/// refuses new calls, completes the open ones and returns within the grace
/// period. Owned by main().
class EntryProcess {
public:
  EntryProcess(EntrySettings Settings, ControlLoop &Control, cell::Node &Node,
               DecisionLog &Log, const Clock &Time, const ClientCodec &Codec);

  /// Adds the calls of \p Client, which must outlive this object, to the log
  /// lines on the control thread. Must be called before run().
  void observe(AsyncHttpClient &Client) { Outgoing = &Client; }

  /// Throws Error(BadSettings) if the limits for clients do not fit the
  /// machine. Serves until a requested stop is complete. Signal handlers set
  /// \p StopRequested and \p ReloadRequested. \p Reload is called on this
  /// thread after each reload request.
  void run(const std::atomic<bool> &StopRequested,
           std::atomic<bool> &ReloadRequested,
           const std::function<void()> &Reload);

private:
  void serveClient(const HttpRequest &Request, const Responder &Respond);
  void servePeer(HttpRequest Request, const Responder &Respond);
  /// Queues work for the control thread. Returns false if too much work is
  /// waiting or run() no longer performs any. Thread-safe.
  bool postWork(WorkKind Kind, ControlLoop::Work Item);
  /// Logs how many connections were closed because of the limits for clients,
  /// at most once in RefusalLogPeriod and kind.
  void logRefusals();
  /// Logs what the control thread has done since the last such line, every
  /// ProfileLogPeriod.
  void logProfile();
  /// Returns the metrics or the state dump, which may be DumpMaxAge old: many
  /// requests for them must not keep the control thread from its work.
  const std::string &recentDump(bool Metrics);
  std::string metrics() const;
  std::string stateDump() const;
  void pump(const std::atomic<bool> &StopRequested);

  const EntrySettings Settings;
  ControlLoop &Control;
  cell::Node &Node;
  DecisionLog &Log;
  const Clock &Time;
  const ClientCodec &Codec;
  AsyncHttpClient *Outgoing = nullptr;
  std::atomic<bool> Ready = false;
  std::atomic<bool> RefusingCalls = false; ///< New calls are refused at once.
  std::mutex IntakeMutex;
  bool IntakeClosed = false; ///< Guarded by IntakeMutex.
  bool WasReady = false;
  std::uint64_t InternalErrors = 0;
  std::optional<TimePoint> StoppingSince;
  std::shared_ptr<IntakeBudget> Intake; ///< Set by run().
  std::array<std::uint64_t, IntakeRefusalNames.size()> LoggedRefusals{};
  TimePoint RefusalsLoggedAt;
  struct Dump {
    std::optional<TimePoint> At;
    std::string Text;
  };
  Dump LastMetrics;
  Dump LastState;
  LoopProfile Profile; ///< Since the start of the process.
  TimePoint ProfileLoggedAt;
  std::unique_ptr<HttpServer> ClientServer;
};

} // namespace apricotwing::entry

#endif
