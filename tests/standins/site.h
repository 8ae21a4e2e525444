/// \file
/// One address of the stand-ins with its fault switches.
#ifndef APRICOTWING_STANDINS_SITE_H
#define APRICOTWING_STANDINS_SITE_H

#include "core/httpserver.h"
#include "standins/timeline.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace apricotwing::standins {

/// Fault switches of one site; all are off by default.
struct Faults {
  bool Down = false;            ///< See Site::handleDown().
  bool Truncate = false;        ///< Answers stop in the middle of the body.
  bool Refuse = false;          ///< Refuse work that could be done.
  bool Leaving = false;         ///< Listed as leaving; an executor refuses.
  bool FailTasks = false;       ///< A worker's tasks fail at once.
  bool Paused = false;          ///< Nothing moves; messages wait.
  bool StaleAnswers = false;    ///< An executor sends its previous answer.
  std::int64_t HoldMs = 0;      ///< Wait before a message takes effect.
  std::int64_t DelayMs = 0;     ///< Wait after the effect, before the answer.
  std::int64_t LoseAnswers = 0; ///< So many answers are never sent.
  std::int64_t ListLagMs = 0;   ///< Age of what the list shows.
};

/// Base of all stand-ins: serves one address and applies the faults that all
/// have in common. handle() and the other hooks run under the site's lock.
class Site {
public:
  explicit Site(Timeline &Time);
  virtual ~Site();
  Site(const Site &) = delete;
  Site &operator=(const Site &) = delete;

  /// Starts to serve \p Host:\p Port; port 0 takes a free one.
  void serve(const std::string &Host, std::uint16_t Port);

  /// Ends the server; open requests are answered with an error. To be called
  /// before the destructor and after Timeline::stop().
  void stop();

  /// "ip:port" after serve().
  const std::string &address() const { return Address; }

  /// Sets the switches that \p Switches names; throws Error(BadRequest) for
  /// an unknown one. Thread-safe.
  void control(const nlohmann::json &Switches);

  /// The switches as they are now. Thread-safe.
  Faults faults() const;

protected:
  virtual void handle(const HttpRequest &Request, const Responder &Reply) = 0;

  /// Answer while Down is set: 503 by default.
  virtual void handleDown(const HttpRequest &Request, const Responder &Reply);

  /// Called when Paused changes, before waiting messages are handled.
  virtual void pausedChanged(bool IsPaused) { (void)IsPaused; }

  /// Sets a switch that only this site has; false if there is none such.
  virtual bool controlOwn(const std::string &Name, const nlohmann::json &Value);

  /// Holds \p Reply for ever: the caller sees no answer.
  void forget(Responder Reply);

  mutable std::mutex Mutex;
  Timeline &Time;
  Faults Switches;

private:
  void receive(HttpRequest Request, Responder Reply);
  void dispatch(const HttpRequest &Request, const Responder &Reply);
  void answer(const Responder &Reply, HttpResponse Response);

  std::string Address;
  std::vector<std::pair<HttpRequest, Responder>> Waiting;
  std::vector<Responder> Forgotten;
  std::unique_ptr<HttpServer> Server; ///< Last, so that it stops first.
};

/// A JSON answer.
HttpResponse jsonResponse(int Status, std::string Body);

/// An error answer whose kind is not one of ErrorKind.
HttpResponse errorAnswer(int Status, std::string_view Kind,
                         std::string_view Message);

} // namespace apricotwing::standins

#endif
