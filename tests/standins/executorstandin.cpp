#include "standins/executorstandin.h"

namespace apricotwing::standins {

namespace {

std::int64_t workMs(const std::string &Body, std::int64_t Default) {
  const nlohmann::json Value = nlohmann::json::parse(Body, nullptr, false);
  return Value.is_object() ? Value.value("work_ms", Default) : Default;
}

} // namespace

ExecutorStandin::ExecutorStandin(Timeline &Time, Counts &Seen,
                                 ListedExecutor Identity, std::uint32_t Slots,
                                 std::int64_t WorkMs)
    : Site(Time), Seen(Seen), Identity(std::move(Identity)), Slots(Slots),
      WorkMs(WorkMs) {}

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
  if (Busy >= Slots)
    Seen.slotRefused();
  else if (Switches.Leaving)
    Seen.leavingRefused();
  if (Busy >= Slots || Switches.Leaving || Switches.Refuse) {
    Reply(refusal(RequestId));
    return;
  }
  ++Busy;
  Seen.requestExecuted(RequestId, Request.Body, Busy);
  Time.after(workMs(Request.Body, WorkMs),
             [this, RequestId, Body = Request.Body, Reply] {
               const std::lock_guard Lock(Mutex);
               finish(RequestId, Body, Reply);
             });
}

void ExecutorStandin::handleDown(const HttpRequest &, const Responder &Reply) {
  forget(Reply);
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
  --Busy;
  Seen.requestEnded();
  const nlohmann::json Echo = {{"request", RequestId}, {"echo", Body}};
  HttpResponse Response = jsonResponse(
      200, Echo.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  Response.Headers["Apricotwing-Request-Id"] = RequestId;
  if (Switches.Leaving)
    Response.Headers["Apricotwing-Leaving"] = "true";
  HttpResponse Last = std::exchange(Previous, Response);
  Reply(Switches.StaleAnswers ? std::move(Last) : std::move(Response));
}

} // namespace apricotwing::standins
