/// \file
/// Base class of the stand-ins: an HTTP server with fault switches.
#ifndef APRICOTWING_STANDINS_STANDINSERVER_H
#define APRICOTWING_STANDINS_STANDINSERVER_H

#include "core/httpserver.h"
#include "standins/timerqueue.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace apricotwing::standins {

/// Fault switches of one stand-in; all are off by default.
struct Faults {
  bool Down = false;         ///< See StandinServer::handleWhileDown().
  bool Truncate = false;     ///< Responses end in the middle of the body.
  bool Refuse = false;       ///< Refuses work although there is capacity.
  bool Leaving = false;      ///< Listed as leaving; an executor also refuses.
  bool FailTasks = false;    ///< A worker's tasks fail at once.
  bool Paused = false;       ///< Execution stops and requests are queued.
  bool StaleAnswers = false; ///< An executor sends its previous response.
  std::int64_t HoldMs = 0;   ///< Delay before a request takes effect.
  std::int64_t DelayMs = 0;  ///< Delay from the effect to the response.
  std::int64_t LoseAnswers = 0; ///< Number of next responses to drop.
  std::int64_t ListLagMs = 0;   ///< Age of the snapshot that the list serves.
};

/// Base of all stand-ins: serves one address and applies the faults that all
/// stand-ins support. handle() and the other hooks run with Mutex held.
class StandinServer {
public:
  explicit StandinServer(TimerQueue &Timers);
  virtual ~StandinServer();
  StandinServer(const StandinServer &) = delete;
  StandinServer &operator=(const StandinServer &) = delete;

  /// Starts the server on \p Host:\p Port; port 0 selects a free port.
  void serve(const std::string &Host, std::uint16_t Port);

  /// Stops the server; open requests are answered with an error. Must be called
  /// before the destructor and after TimerQueue::stop().
  void stop();

  /// Returns "ip:port"; valid after serve().
  const std::string &address() const { return Address; }

  /// Sets the switches named in the JSON object \p Switches. Throws
  /// Error(BadRequest) for an unknown switch. Thread-safe.
  void control(const nlohmann::json &Switches);

  /// Returns a copy of the current switches. Thread-safe.
  Faults faults() const;

protected:
  virtual void handle(const HttpRequest &Request, const Responder &Reply) = 0;

  /// Handles a request while Down is set; answers with 503 by default.
  virtual void handleWhileDown(const HttpRequest &Request,
                               const Responder &Reply);

  /// Called when Paused changes, before the queued requests are handled.
  virtual void onPausedChanged(bool IsPaused) { (void)IsPaused; }

  /// Sets a switch that only this stand-in has; returns false if it has no
  /// switch of that name.
  virtual bool setExtraSwitch(const std::string &Name,
                              const nlohmann::json &Value);

  /// Keeps \p Reply unanswered until stop(): the caller gets no response.
  void withholdReply(Responder Reply);

  mutable std::mutex Mutex;
  TimerQueue &Timers;
  Faults Switches;

private:
  void receive(HttpRequest Request, Responder Reply);
  void dispatch(const HttpRequest &Request, const Responder &Reply);
  void sendAnswer(const Responder &Reply, HttpResponse Response);

  std::string Address;
  std::vector<std::pair<HttpRequest, Responder>> DeferredRequests;
  std::vector<Responder> WithheldReplies;
  std::unique_ptr<HttpServer>
      Server; ///< Last member, so that it is destroyed first.
};

/// Builds a JSON response.
HttpResponse jsonResponse(int Status, std::string Body);

/// Builds an error response; \p Kind may be one that ErrorKind lacks.
HttpResponse errorAnswer(int Status, std::string_view Kind,
                         std::string_view Message);

} // namespace apricotwing::standins

#endif
