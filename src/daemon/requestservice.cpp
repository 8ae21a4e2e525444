#include "daemon/requestservice.h"

#include "daemon/errorresponse.h"

#include <utility>

namespace apricotwing {

namespace {

/// Resolution of the deadlines of queued requests.
constexpr Duration TickPeriod{10};

constexpr std::size_t MaxWaitingSends = 4096;

RouterOptions routerOptions(const Settings &Values) {
  RouterOptions Options;
  Options.Instance = Values.Instance.Id;
  Options.Zone = Values.Instance.Zone;
  Options.QueuePerTeam = Values.Requests.QueuePerTeam;
  Options.MaxDeadline = Values.Requests.MaxDeadline;
  return Options;
}

} // namespace

RequestService::RequestService(DaemonContext &Context,
                               std::function<void()> OnDemand)
    : Context(Context), OnDemand(std::move(OnDemand)),
      Router(routerOptions(Context.Values)),
      Senders(Context.Values.Requests.Threads, MaxWaitingSends),
      Ticker(
          TickPeriod, [this] { dispatch(); },
          [&Context](const std::exception &Failure) {
            Context.Events.failure(Component::Requests, "dispatch failed",
                                   Failure);
          }) {}

RequestService::~RequestService() { Ticker.stop(); }

void RequestService::run(Deferred &After) {
  for (const auto &Step : After)
    Step();
}

void RequestService::submit(IncomingRequest Request) {
  Deferred After;
  bool Waits = false;
  {
    const std::lock_guard Lock(Mutex);
    const TimePoint Now = Context.Time.now();
    try {
      Router.setAuthority(authorityEnd());
      Router.submit(Request.Metadata, Now);
      const std::string Id = Request.Metadata.Id;
      Open.emplace(Id, Waiting{std::move(Request), Now});
      dispatchLocked(After);
      Waits = Router.queued() > 0;
    } catch (const Error &Reason) {
      Context.Counts.refused(Reason.kind());
      After.push_back(
          [Respond = std::move(Request.Respond),
           Response = apiErrorResponse(Reason)] { Respond(Response); });
    }
  }
  run(After);
  if (Waits)
    OnDemand();
}

void RequestService::setConfig(const Config &Document) {
  const std::lock_guard Lock(Mutex);
  Router.setConfig(Document);
}

void RequestService::setExecutors(
    const std::vector<ListedExecutor> &Executors) {
  const std::lock_guard Lock(Mutex);
  Router.setExecutors(Executors, Context.Time.now());
}

void RequestService::refreshAuthority() {
  const std::lock_guard Lock(Mutex);
  Router.setAuthority(authorityEnd());
}

TimePoint RequestService::authorityEnd() const {
  return Context.Session.sessionId() == GrantHolder
             ? Context.Session.validUntil()
             : TimePoint::min();
}

void RequestService::resetGrants(const SessionId &Holder) {
  const std::lock_guard Lock(Mutex);
  GrantHolder = Holder;
  Router.setTeamGrants({});
  if (const std::shared_ptr<const Config> Document = Context.Session.config())
    for (const auto &[Upstream, Unused] : Document->Upstreams)
      Router.setSlotGrants(Upstream, {});
}

void RequestService::drain() {
  const std::lock_guard Lock(Mutex);
  Router.drain();
}

std::size_t RequestService::open() const {
  const std::lock_guard Lock(Mutex);
  return Router.open();
}

RouterStats RequestService::stats() const {
  const std::lock_guard Lock(Mutex);
  return Router.stats();
}

void RequestService::dispatch() {
  Deferred After;
  {
    const std::lock_guard Lock(Mutex);
    dispatchLocked(After);
  }
  run(After);
}

void RequestService::dispatchLocked(Deferred &After) {
  const DispatchResult Result = Router.dispatch(Context.Time.now());
  for (const RequestFailure &Failure : Result.Failures)
    fail(Failure.Id, Failure.Reason, After);
  for (const RequestSend &Send : Result.Sends)
    startSend(Send, After);
}

void RequestService::startSend(const RequestSend &Send, Deferred &After) {
  const auto Found = Open.find(Send.Id);
  if (Found == Open.end())
    return;
  Waiting &Entry = Found->second;
  if (!std::exchange(Entry.Dequeued, true))
    Context.Counts.requestDequeued(Entry.Request.Metadata.Team,
                                   Context.Time.now() - Entry.Arrived);
  UpstreamRequest Request;
  Request.Address = Send.Address;
  Request.RequestId = Send.Id;
  Request.Body = Entry.Request.Body;
  Request.ContentType = Entry.Request.ContentType;
  Request.Idempotent = Send.Idempotent;
  Request.Timeout = Send.Timeout;
  After.push_back([this, Send, Request = std::move(Request)] {
    if (Senders.submit([this, Send, Request] { perform(Send, Request); }))
      return;
    UpstreamAnswer Refusal;
    Refusal.Result = SendResult::NotSent;
    Refusal.Detail = "no thread is free";
    finish(SendReport{Send.Id, Send.Attempt, SendResult::NotSent, 0, false,
                      Duration(0), Refusal.Detail},
           Refusal);
  });
}

void RequestService::perform(const RequestSend &Send,
                             const UpstreamRequest &Request) {
  const TimePoint Start = Context.Time.now();
  SendReport Report;
  Report.Id = Send.Id;
  Report.Attempt = Send.Attempt;
  UpstreamRequest Checked = Request;
  // The job may have waited for a thread; the deadline has not moved.
  Checked.Timeout = std::min(Request.Timeout, Send.Deadline - Start);
  Checked.MaySend = [this, &Send, &Report] {
    const bool MaySend = withRouter([&](RequestRouter &Decisions) {
      Decisions.setAuthority(authorityEnd());
      return Decisions.maySend(Send, Context.Time.now());
    });
    Report.Withheld = !MaySend;
    return MaySend;
  };
  const UpstreamAnswer Answer = Context.Upstreams.send(Checked);
  Report.Result = Answer.Result;
  Report.Status = Answer.Status;
  Report.Leaving = Answer.Leaving;
  Report.Latency = Context.Time.now() - Start;
  Report.Detail = Answer.Detail;
  finish(Report, Answer);
}

void RequestService::finish(const SendReport &Report,
                            const UpstreamAnswer &Answer) {
  Deferred After;
  {
    const std::lock_guard Lock(Mutex);
    const TimePoint Now = Context.Time.now();
    const CompletionResult Step = Router.complete(Report, Now);
    const auto Found = Open.find(Report.Id);
    if (Step.Action == CompletionAction::Deliver && Found != Open.end()) {
      Context.Counts.requestAnswered(Found->second.Request.Metadata.Upstream,
                                     Outcome::Done,
                                     Now - Found->second.Arrived);
      HttpResponse Response;
      Response.Status = Answer.Status;
      Response.ContentType = Answer.ContentType;
      Response.Headers["Apricotwing-Outcome"] = outcomeName(Outcome::Done);
      Response.Body = Answer.Body;
      After.push_back([Respond = std::move(Found->second.Request.Respond),
                       Response = std::move(Response)] { Respond(Response); });
      Open.erase(Found);
    } else if (Step.Action == CompletionAction::Fail) {
      fail(Report.Id, *Step.Failure, After);
    } else if (Step.Action == CompletionAction::Retry) {
      Context.Counts.retried(RetryTarget::Upstream);
    }
    dispatchLocked(After);
  }
  run(After);
}

void RequestService::fail(const std::string &Id, const Error &Reason,
                          Deferred &After) {
  const auto Found = Open.find(Id);
  if (Found == Open.end())
    return;
  Context.Counts.refused(Reason.kind());
  Context.Counts.requestAnswered(Found->second.Request.Metadata.Upstream,
                                 Reason.outcome(),
                                 Context.Time.now() - Found->second.Arrived);
  After.push_back([Respond = std::move(Found->second.Request.Respond),
                   Response = apiErrorResponse(Reason)] { Respond(Response); });
  Open.erase(Found);
}

} // namespace apricotwing
