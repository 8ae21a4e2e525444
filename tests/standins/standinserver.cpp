#include "standins/standinserver.h"

#include "core/error.h"

#include <array>

namespace apricotwing::standins {

namespace {

constexpr std::array<std::pair<std::string_view, bool Faults::*>, 7>
    BooleanSwitches = {{
        {"down", &Faults::Down},
        {"truncate", &Faults::Truncate},
        {"refuse", &Faults::Refuse},
        {"leaving", &Faults::Leaving},
        {"fail_tasks", &Faults::FailTasks},
        {"paused", &Faults::Paused},
        {"stale_answers", &Faults::StaleAnswers},
    }};

constexpr std::array<std::pair<std::string_view, std::int64_t Faults::*>, 4>
    NumericSwitches = {{
        {"hold_ms", &Faults::HoldMs},
        {"delay_ms", &Faults::DelayMs},
        {"lose_answers", &Faults::LoseAnswers},
        {"list_lag_ms", &Faults::ListLagMs},
    }};

bool setSwitch(Faults &Target, const std::string &Name,
               const nlohmann::json &Value) {
  for (const auto &[SwitchName, Member] : BooleanSwitches)
    if (SwitchName == Name && Value.is_boolean()) {
      Target.*Member = Value.get<bool>();
      return true;
    }
  for (const auto &[SwitchName, Member] : NumericSwitches)
    if (SwitchName == Name && Value.is_number_unsigned()) {
      Target.*Member = Value.get<std::int64_t>();
      return true;
    }
  return false;
}

/// Cuts the body in half but announces its full length in Content-Length.
void truncate(HttpResponse &Response) {
  Response.Headers["Content-Length"] = std::to_string(Response.Body.size());
  Response.Body.resize(Response.Body.size() / 2);
}

} // namespace

StandinServer::StandinServer(TimerQueue &Timers) : Timers(Timers) {}

StandinServer::~StandinServer() = default;

void StandinServer::serve(const std::string &Host, std::uint16_t Port) {
  HttpServerOptions Options;
  Options.Address = Host;
  Options.Port = Port;
  Options.Threads = 1;
  Options.MaxBodyBytes = std::size_t(64) << 20;
  Server =
      startHttpServer(Options, [this](HttpRequest Request, Responder Reply) {
        receive(std::move(Request), std::move(Reply));
      });
  Address = Host + ":" + std::to_string(Server->port());
}

void StandinServer::stop() {
  std::vector<std::pair<HttpRequest, Responder>> UnhandledRequests;
  std::vector<Responder> UnansweredReplies;
  {
    const std::lock_guard Lock(Mutex);
    UnhandledRequests.swap(DeferredRequests);
    UnansweredReplies.swap(WithheldReplies);
  }
  // Destroying a responder sends an error, so that the server does not wait for
  // these requests.
  UnhandledRequests.clear();
  UnansweredReplies.clear();
  Server.reset();
}

void StandinServer::control(const nlohmann::json &NewSwitches) {
  std::vector<std::pair<HttpRequest, Responder>> Released;
  {
    const std::lock_guard Lock(Mutex);
    const bool WasPaused = Switches.Paused;
    for (const auto &[Name, Value] : NewSwitches.items())
      if (Name != "target" && !setSwitch(Switches, Name, Value) &&
          !setExtraSwitch(Name, Value))
        throw Error(ErrorKind::BadRequest,
                    "unknown or invalid switch '" + Name + "'",
                    "see docs/design.md, section 8.3");
    if (Switches.Paused != WasPaused)
      onPausedChanged(Switches.Paused);
    if (!Switches.Paused)
      Released.swap(DeferredRequests);
  }
  for (const auto &[Request, Reply] : Released)
    receive(Request, Reply);
}

Faults StandinServer::faults() const {
  const std::lock_guard Lock(Mutex);
  return Switches;
}

void StandinServer::handleWhileDown(const HttpRequest &,
                                    const Responder &Reply) {
  Reply(errorAnswer(503, "store_unavailable", "down"));
}

bool StandinServer::setExtraSwitch(const std::string &,
                                   const nlohmann::json &) {
  return false;
}

void StandinServer::withholdReply(Responder Reply) {
  WithheldReplies.push_back(std::move(Reply));
}

void StandinServer::receive(HttpRequest Request, Responder Reply) {
  const std::lock_guard Lock(Mutex);
  if (Switches.Paused) {
    DeferredRequests.emplace_back(std::move(Request), std::move(Reply));
    return;
  }
  if (Switches.HoldMs == 0) {
    dispatch(Request, Reply);
    return;
  }
  Timers.after(Switches.HoldMs,
               [this, Request = std::move(Request), Reply = std::move(Reply)] {
                 const std::lock_guard Inner(Mutex);
                 dispatch(Request, Reply);
               });
}

void StandinServer::dispatch(const HttpRequest &Request,
                             const Responder &Reply) {
  if (Switches.Down) {
    handleWhileDown(Request, Reply);
    return;
  }
  try {
    handle(Request, [this, Reply](HttpResponse Response) {
      sendAnswer(Reply, std::move(Response));
    });
  } catch (const Error &Failure) {
    Reply(errorAnswer(httpStatus(Failure.kind()), errorCode(Failure.kind()),
                      Failure.what()));
  }
}

void StandinServer::sendAnswer(const Responder &Reply, HttpResponse Response) {
  if (Switches.LoseAnswers > 0) {
    --Switches.LoseAnswers;
    withholdReply(Reply);
    return;
  }
  if (Switches.Truncate)
    truncate(Response);
  if (Switches.DelayMs == 0) {
    Reply(std::move(Response));
    return;
  }
  Timers.after(Switches.DelayMs,
               [Reply, Response = std::move(Response)] { Reply(Response); });
}

HttpResponse jsonResponse(int Status, std::string Body) {
  HttpResponse Response;
  Response.Status = Status;
  Response.Body = std::move(Body);
  return Response;
}

HttpResponse errorAnswer(int Status, std::string_view Kind,
                         std::string_view Message) {
  const nlohmann::json Body = {{"error",
                                {{"kind", Kind},
                                 {"message", Message},
                                 {"remedy", "none; this is a stand-in"},
                                 {"outcome", "not_run"}}}};
  return jsonResponse(Status, Body.dump());
}

} // namespace apricotwing::standins
