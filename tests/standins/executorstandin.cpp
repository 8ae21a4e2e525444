#include "standins/executorstandin.h"

namespace apricotwing::standins {

namespace {

std::int64_t requestedWorkMs(const std::string &Body, std::int64_t Default) {
  const nlohmann::json Value = nlohmann::json::parse(Body, nullptr, false);
  return Value.is_object() ? Value.value("work_ms", Default) : Default;
}

} // namespace

ExecutorStandin::ExecutorStandin(TimerQueue &Timers, Counts &Counters,
                                 ListedExecutor Identity, std::uint32_t Slots,
                                 std::int64_t WorkMs)
    : StandinServer(Timers), Counters(Counters), Identity(std::move(Identity)),
      Slots(Slots), WorkMs(WorkMs) {}

ListedExecutor ExecutorStandin::listed() const {
  ListedExecutor Result = Identity;
  Result.Address = address();
  if (faults().Leaving)
    Result.State = ListedState::Leaving;
  return Result;
}

void ExecutorStandin::handle(const HttpRequest &Request,
                             const Responder &Reply) {
  const auto Header = Request.Headers.find("apricotwing-request-id");
  const std::string RequestId =
      Header == Request.Headers.end() ? "" : Header->second;
  if (BusySlots >= Slots)
    Counters.slotRefused();
  else if (Switches.Leaving)
    Counters.leavingRefused();
  if (BusySlots >= Slots || Switches.Leaving || Switches.Refuse) {
    Reply(refusal(RequestId));
    return;
  }
  ++BusySlots;
  Counters.requestExecuted(RequestId, Request.Body, BusySlots);
  Timers.after(requestedWorkMs(Request.Body, WorkMs),
               [this, RequestId, Body = Request.Body, Reply] {
                 const std::lock_guard Lock(Mutex);
                 finish(RequestId, Body, Reply);
               });
}

void ExecutorStandin::handleWhileDown(const HttpRequest &,
                                      const Responder &Reply) {
  withholdReply(Reply);
}

HttpResponse ExecutorStandin::refusal(const std::string &RequestId) const {
  HttpResponse Response = errorAnswer(503, "overloaded", "not run");
  Response.Headers["Apricotwing-Request-Id"] = RequestId;
  if (Switches.Leaving)
    Response.Headers["Apricotwing-Leaving"] = "true";
  return Response;
}

void ExecutorStandin::finish(const std::string &RequestId,
                             const std::string &Body, const Responder &Reply) {
  --BusySlots;
  Counters.requestEnded();
  const nlohmann::json Echo = {{"request", RequestId}, {"echo", Body}};
  HttpResponse Response = jsonResponse(
      200, Echo.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  Response.Headers["Apricotwing-Request-Id"] = RequestId;
  if (Switches.Leaving)
    Response.Headers["Apricotwing-Leaving"] = "true";
  HttpResponse StaleAnswer = std::exchange(PreviousAnswer, Response);
  Reply(Switches.StaleAnswers ? std::move(StaleAnswer) : std::move(Response));
}

} // namespace apricotwing::standins
