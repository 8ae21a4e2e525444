#include "daemon/requestservice.h"

#include "daemon/errorresponse.h"

#include <utility>

namespace apricotwing {

namespace {

/// Interval of periodic dispatches, which is the resolution of the deadlines of
/// queued requests.
constexpr Duration TickPeriod{10};

constexpr std::size_t MaxQueuedSends = 4096;

RouterOptions routerOptions(const Settings &Options) {
  RouterOptions Result;
  Result.Instance = Options.Instance.Id;
  Result.Zone = Options.Instance.Zone;
  Result.QueuePerTeam = Options.Requests.QueuePerTeam;
  Result.MaxDeadline = Options.Requests.MaxDeadline;
  return Result;
}

} // namespace

RequestService::RequestService(DaemonContext &Context,
                               std::function<void()> OnRequestsQueued)
    : Context(Context), OnRequestsQueued(std::move(OnRequestsQueued)),
      Router(routerOptions(Context.Options)),
      SendPool(Context.Options.Requests.Threads, MaxQueuedSends),
      DispatchThread(
          TickPeriod, [this] { dispatch(); },
          [&Context](const std::exception &Failure) {
            Context.Logger.failure(Component::Requests, "dispatch failed",
                                   Failure);
          }) {}

RequestService::~RequestService() { DispatchThread.stop(); }

void RequestService::runDeferred(DeferredCalls &Deferred) {
  for (const auto &NextCall : Deferred)
    NextCall();
}

void RequestService::submit(IncomingRequest Request) {
  DeferredCalls Deferred;
  bool HasQueued = false;
  {
    const std::lock_guard Lock(Mutex);
    const TimePoint Now = Context.Time.now();
    try {
      applySession();
      Router.submit(Request.Metadata, Now);
      const std::string Id = Request.Metadata.Id;
      OpenRequests.emplace(Id, OpenRequest{std::move(Request), Now});
      dispatchLocked(Deferred);
      HasQueued = Router.queued() > 0;
    } catch (const Error &Reason) {
      Context.Metrics.callRefused(Reason.kind());
      Deferred.push_back(
          [Respond = std::move(Request.Respond),
           Response = apiErrorResponse(Reason)] { Respond(Response); });
    }
  }
  runDeferred(Deferred);
  if (HasQueued)
    OnRequestsQueued();
}

void RequestService::setConfig(const Config &Document) {
  const std::lock_guard Lock(Mutex);
  applyConfig(Document);
}

void RequestService::setExecutors(
    const std::vector<ListedExecutor> &Executors) {
  const std::lock_guard Lock(Mutex);
  Router.setExecutors(Executors, Context.Time.now());
}

void RequestService::refreshAuthority() {
  const std::lock_guard Lock(Mutex);
  applySession();
}

void RequestService::applySession() {
  // In this order, because the session reads a configuration before it renews
  // the authority.
  Router.setAuthority(authorityEnd());
  if (const std::shared_ptr<const Config> Newest = Context.Session.config())
    applyConfig(*Newest);
}

void RequestService::applyConfig(const Config &Document) {
  if (Document.Version <= ConfigVersion)
    return;
  ConfigVersion = Document.Version;
  Router.setConfig(Document);
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
  DeferredCalls Deferred;
  {
    const std::lock_guard Lock(Mutex);
    dispatchLocked(Deferred);
  }
  runDeferred(Deferred);
}

void RequestService::dispatchLocked(DeferredCalls &Deferred) {
  const DispatchResult Result = Router.dispatch(Context.Time.now());
  for (const RequestFailure &Failure : Result.Failures)
    failRequest(Failure.Id, Failure.Reason, Deferred);
  for (const RequestSend &Send : Result.Sends)
    deferSend(Send, Deferred);
}

void RequestService::deferSend(const RequestSend &Send,
                               DeferredCalls &Deferred) {
  const auto Found = OpenRequests.find(Send.Id);
  if (Found == OpenRequests.end())
    return;
  OpenRequest &Pending = Found->second;
  if (!std::exchange(Pending.WasDequeued, true))
    Context.Metrics.requestDequeued(Pending.Request.Metadata.Team,
                                    Context.Time.now() - Pending.ArrivalTime);
  UpstreamRequest Request;
  Request.Address = Send.Address;
  Request.RequestId = Send.Id;
  Request.Body = Pending.Request.Body;
  Request.ContentType = Pending.Request.ContentType;
  Request.Idempotent = Send.Idempotent;
  Request.Timeout = Send.Timeout;
  Deferred.push_back([this, Send, Request = std::move(Request)] {
    if (SendPool.submit([this, Send, Request] { performSend(Send, Request); }))
      return;
    UpstreamAnswer Refusal;
    Refusal.Result = SendResult::NotSent;
    Refusal.Detail = "no sender thread is available";
    completeSend(SendReport{Send.Id, Send.Attempt, SendResult::NotSent, 0,
                            false, Duration(0), Refusal.Detail},
                 Refusal);
  });
}

void RequestService::performSend(const RequestSend &Send,
                                 const UpstreamRequest &Request) {
  const TimePoint Start = Context.Time.now();
  SendReport Report;
  Report.Id = Send.Id;
  Report.Attempt = Send.Attempt;
  UpstreamRequest Bounded = Request;
  // The job may have waited for a thread, so the remaining time is shorter.
  Bounded.Timeout = std::min(Request.Timeout, Send.Deadline - Start);
  Bounded.MaySend = [this, &Send, &Report] {
    const std::lock_guard Lock(Mutex);
    applySession();
    Report.Withheld = !Router.maySend(Send, Context.Time.now());
    return !Report.Withheld;
  };
  const UpstreamAnswer Answer = Context.Upstreams.send(Bounded);
  Report.Result = Answer.Result;
  Report.Status = Answer.Status;
  Report.Leaving = Answer.Leaving;
  Report.Latency = Context.Time.now() - Start;
  Report.Detail = Answer.Detail;
  completeSend(Report, Answer);
}

void RequestService::completeSend(const SendReport &Report,
                                  const UpstreamAnswer &Answer) {
  DeferredCalls Deferred;
  {
    const std::lock_guard Lock(Mutex);
    const TimePoint Now = Context.Time.now();
    const CompletionResult Step = Router.complete(Report, Now);
    const auto Found = OpenRequests.find(Report.Id);
    if (Step.Action == CompletionAction::Deliver &&
        Found != OpenRequests.end()) {
      Context.Metrics.requestAnswered(Found->second.Request.Metadata.Upstream,
                                      Outcome::Done,
                                      Now - Found->second.ArrivalTime);
      HttpResponse Response;
      Response.Status = Answer.Status;
      Response.ContentType = Answer.ContentType;
      Response.Headers["Apricotwing-Outcome"] = outcomeName(Outcome::Done);
      Response.Body = Answer.Body;
      Deferred.push_back(
          [Respond = std::move(Found->second.Request.Respond),
           Response = std::move(Response)] { Respond(Response); });
      OpenRequests.erase(Found);
    } else if (Step.Action == CompletionAction::Fail) {
      failRequest(Report.Id, *Step.Failure, Deferred);
    } else if (Step.Action == CompletionAction::Retry) {
      Context.Metrics.callRetried(RetryTarget::Upstream);
    }
    dispatchLocked(Deferred);
  }
  runDeferred(Deferred);
}

void RequestService::failRequest(const std::string &Id, const Error &Reason,
                                 DeferredCalls &Deferred) {
  const auto Found = OpenRequests.find(Id);
  if (Found == OpenRequests.end())
    return;
  Context.Metrics.callRefused(Reason.kind());
  Context.Metrics.requestAnswered(
      Found->second.Request.Metadata.Upstream, Reason.outcome(),
      Context.Time.now() - Found->second.ArrivalTime);
  Deferred.push_back(
      [Respond = std::move(Found->second.Request.Respond),
       Response = apiErrorResponse(Reason)] { Respond(Response); });
  OpenRequests.erase(Found);
}

} // namespace apricotwing
