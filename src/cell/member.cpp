#include "cell/member.h"

#include "cell/codec.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace apricotwing::cell {

namespace {

/// Time reserved for sending the answer back to the caller.
constexpr Duration ResponseMargin{150};

/// Limits of Retry-After while there is no leader. A takeover takes up to 2 s
/// and an outage of the store longer, and a caller retries only a few times.
/// Jobs that may take longer are therefore retried later.
constexpr Duration MinNoLeaderRetryAfter{1000};
constexpr Duration MaxNoLeaderRetryAfter{4000};
constexpr int RetriesInAllowedTime = 4;

/// Length of a job id in hexadecimal digits.
constexpr std::size_t JobIdLength = 16;

bool isJobId(const std::string &Text) {
  return Text.size() == JobIdLength &&
         Text.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
}

/// Returns the answer to a call while there is no leader. \p AllowedTime is the
/// time that the submitted job may take.
ClientAnswer unavailable(Duration AllowedTime) {
  ClientAnswer Result{ClientStatus::Unavailable};
  Result.RetryAfter = std::clamp(AllowedTime / RetriesInAllowedTime,
                                 MinNoLeaderRetryAfter, MaxNoLeaderRetryAfter);
  return Result;
}

} // namespace

Member::Member(const Ports &Deps, InstanceInfo Instance, std::string Process)
    : Deps(Deps), Instance(std::move(Instance)), Process(std::move(Process)) {}

void Member::setPolicy(const jobs::ClusterPolicy &NewPolicy) {
  if (NewPolicy.Version <= Policy.Version)
    return;
  Deps.Log.event("policy in force", "",
                 {{"version", std::to_string(NewPolicy.Version)},
                  {"before", std::to_string(Policy.Version)}});
  Policy = NewPolicy;
}

// Callers.

void Member::serve(ClientCall Call, ClientResponder Respond) {
  OpenCall NewCall;
  NewCall.Respond = std::move(Respond);
  NewCall.ArrivedAt = Deps.Time.now();
  NewCall.Deadline = NewCall.ArrivedAt +
                     std::max(Call.Deadline - ResponseMargin, Duration{100});
  if (Policy.Version == 0) {
    finish(NewCall, unavailable(Duration{0}));
    return;
  }
  const jobs::Queue *Queue = Policy.match(Call.Host, Call.Path);
  if (!Queue) {
    finish(NewCall, {ClientStatus::NoSuchQueue});
    return;
  }
  std::string Account;
  const jobs::ClientAccount *KeyOwner = Policy.accountOfKey(Call.Key);
  if (!KeyOwner && !Queue->Public) {
    finish(NewCall, {ClientStatus::UnknownKey});
    return;
  }
  if (KeyOwner)
    Account = KeyOwner->Name;
  const std::string Id = Call.Path.substr(Queue->PathPrefix.size());
  const std::uint64_t Tag = ++LastTag;
  if (Id.empty() && Call.Verb == ClientVerb::Read) {
    NewCall.QueryRequest = Query{Tag, QueryKind::Pending, Queue->Name};
    open(std::move(NewCall));
    return;
  }
  if (!isJobId(Id)) {
    finish(NewCall,
           {Call.Verb == ClientVerb::Submit ? ClientStatus::Malformed
                                            : ClientStatus::NoSuchJob});
    return;
  }
  switch (Call.Verb) {
  case ClientVerb::Read:
    NewCall.QueryRequest = Query{Tag, QueryKind::State, Id};
    break;
  case ClientVerb::Cancel:
    NewCall.QueryRequest = Query{Tag, QueryKind::Cancel, Id};
    break;
  case ClientVerb::Submit:
    if (!Call.Job) {
      finish(NewCall, {ClientStatus::Malformed});
      return;
    }
    Call.Job->Id = Id;
    Call.Job->Queue = Queue->Name;
    Call.Job->Account = Account;
    Call.Job->AcceptedUnixMs = Deps.WallTime.unixMs();
    NewCall.AllowedTime = jobs::allowedTime(*Queue, *Call.Job);
    NewCall.SubmitRequest = Submission{Tag, std::move(*Call.Job)};
    break;
  }
  open(std::move(NewCall));
}

void Member::open(OpenCall Call) {
  const std::uint64_t Tag =
      Call.SubmitRequest ? Call.SubmitRequest->Tag : Call.QueryRequest->Tag;
  if (isConnected()) {
    if (Call.SubmitRequest)
      Outgoing.Submissions.push_back(*Call.SubmitRequest);
    else
      Outgoing.Queries.push_back(*Call.QueryRequest);
    Call.SentToLeader = true;
  }
  Open.emplace(Tag, std::move(Call));
}

void Member::finish(OpenCall &Call, ClientAnswer Answer) {
  ++Counts.Answers[Answer.Status];
  if (Call.SubmitRequest || Answer.Status == ClientStatus::UnknownKey ||
      Answer.Status == ClientStatus::Unavailable ||
      Answer.Status == ClientStatus::Unresolved)
    Deps.Log.event(
        "answered",
        Call.SubmitRequest ? Call.SubmitRequest->Job.Id : std::string(),
        {{"outcome", std::string(enumName(ClientStatusNames, Answer.Status))},
         {"after_ms",
          std::to_string((Deps.Time.now() - Call.ArrivedAt).count())},
         {"policy", std::to_string(Policy.Version)},
         {"term", std::to_string(leaderTerm())}});
  Call.Respond(Answer);
}

void Member::answer(std::uint64_t Tag, ClientAnswer Answer) {
  const auto Found = Open.find(Tag);
  if (Found == Open.end())
    return;
  OpenCall Call = std::move(Found->second);
  Open.erase(Found);
  finish(Call, Answer);
}

void Member::expireCalls() {
  const TimePoint Now = Deps.Time.now();
  std::vector<std::pair<std::uint64_t, ClientAnswer>> Expired;
  for (const auto &[Tag, Call] : Open) {
    if (Now >= Call.Deadline)
      Expired.emplace_back(Tag, Call.SentToLeader && Call.SubmitRequest
                                    ? ClientAnswer{ClientStatus::Unresolved}
                                    : unavailable(Call.AllowedTime));
    else if (!Call.SentToLeader &&
             Now >= Call.ArrivedAt + Deps.Times.NoLeaderTimeout)
      Expired.emplace_back(Tag, unavailable(Call.AllowedTime));
  }
  for (const auto &[Tag, Answer] : Expired)
    answer(Tag, Answer);
}

void Member::failOpenCalls() {
  while (!Open.empty()) {
    const auto &[Tag, Call] = *Open.begin();
    answer(Tag, Call.SentToLeader && Call.SubmitRequest
                    ? ClientAnswer{ClientStatus::Unresolved}
                    : unavailable(Call.AllowedTime));
  }
}

// The link.

bool Member::isConnected() const { return Sender && !Sender->isBroken(); }

bool Member::isServing() const {
  return Policy.Version > 0 && isConnected() && Sender->isEstablished();
}

void Member::connect(const LeaderRecord &NewLeader) {
  if (isConnected() && Leader && Leader->Term == NewLeader.Term &&
      Leader->Process == NewLeader.Process)
    return;
  Leader = NewLeader;
  Session = Process + "/" + std::to_string(++LastSession);
  Receiver = MessageReceiver{};
  Outgoing = MemberMessage{};
  LeavingSent = false;
  Deps.Log.event("connecting to leader", NewLeader.Instance.Name,
                 {{"term", std::to_string(NewLeader.Term)},
                  {"address", NewLeader.Instance.Address},
                  {"session", Session}});
  Sender = std::make_unique<MessageSender>(
      Deps.Peers, Deps.Time, Deps.Times, NewLeader.Instance.Address,
      MessageSender::Source{
          [this] { return !Outgoing.isEmpty() || (Leaving && !LeavingSent); },
          [this](std::int64_t Sequence) { return composeMessage(Sequence); }});
  // A new session first sends all open calls again. The leader recognizes
  // repeated submissions by the job id.
  for (auto &[Tag, Call] : Open) {
    if (Call.SubmitRequest)
      Outgoing.Submissions.push_back(*Call.SubmitRequest);
    else
      Outgoing.Queries.push_back(*Call.QueryRequest);
    Call.SentToLeader = true;
  }
}

std::string Member::composeMessage(std::int64_t Sequence) {
  Envelope Message;
  Message.Session = Session;
  Message.Sequence = Sequence;
  Message.Term = leaderTerm();
  Message.From = Instance;
  Message.ToLeader = std::exchange(Outgoing, MemberMessage{});
  Message.ToLeader->Leaving = Leaving;
  if (LastStoreResponse)
    Message.ToLeader->StoreResponseAgeMs =
        (Deps.Time.now() - *LastStoreResponse).count();
  LeavingSent = Leaving;
  return encode(Message);
}

void Member::closeLink() {
  ++Counts.LinksLost;
  Deps.Log.event(
      "link to leader lost", Leader ? Leader->Instance.Name : "",
      {{"term", std::to_string(leaderTerm())},
       {"silent_ms",
        std::to_string((Deps.Time.now() - Sender->lastAckedSend()).count())}});
  if (Sender->hasResigned())
    ResignedTerm = leaderTerm();
  Sender.reset();
}

EnvelopeReply Member::receive(const Envelope &Message) {
  if (!isConnected() || Message.Session != Session ||
      Message.Term != leaderTerm())
    return {false};
  switch (Receiver.checkSequence(Message.Sequence)) {
  case MessageReceiver::SequenceStatus::OutOfOrder:
    return {false};
  case MessageReceiver::SequenceStatus::Duplicate:
    return {true};
  case MessageReceiver::SequenceStatus::New:
    break;
  }
  if (Message.ToMember)
    handle(*Message.ToMember);
  return {true};
}

void Member::handle(const LeaderMessage &Message) {
  if (Message.MinMessageIntervalMs > 0)
    Sender->setMinInterval(Duration(Message.MinMessageIntervalMs));
  for (const SubmitAnswer &Result : Message.Submitted) {
    ClientAnswer Answer{ClientStatus::Accepted};
    if (Result.Result == SubmitResult::Malformed)
      Answer.Status = ClientStatus::Malformed;
    if (Result.Result == SubmitResult::Busy) {
      Answer.Status = ClientStatus::Busy;
      Answer.RetryAfter = Duration(Result.RetryAfterMs);
    }
    answer(Result.Tag, Answer);
  }
  for (const QueryAnswer &Result : Message.Answers) {
    const auto Found = Open.find(Result.Tag);
    if (Found == Open.end() || !Found->second.QueryRequest)
      continue;
    const QueryKind Kind = Found->second.QueryRequest->Kind;
    ClientAnswer Answer{ClientStatus::State};
    Answer.View = Result.View;
    Answer.Count = Result.Count;
    if (Kind == QueryKind::Pending)
      Answer.Status = ClientStatus::Count;
    else if (Result.View == jobs::JobView::Unknown)
      Answer.Status = ClientStatus::NoSuchJob;
    else if (Kind == QueryKind::Cancel)
      Answer.Status = ClientStatus::Accepted;
    answer(Result.Tag, Answer);
  }
  for (const Assignment &NewAssignment : Message.Assigned)
    assign(NewAssignment);
  for (const jobs::WorkerIncarnation &Incarnation : Message.Revoked) {
    const auto Found = Sessions.find(Incarnation.Id);
    if (Found != Sessions.end() && Found->second->incarnation() == Incarnation)
      Sessions.erase(Found);
  }
  const auto SessionOf = [this](const jobs::WorkerIncarnation &Incarnation) {
    const auto Found = Sessions.find(Incarnation.Id);
    const bool Same =
        Found != Sessions.end() && Found->second->incarnation() == Incarnation;
    return Same ? Found->second.get() : nullptr;
  };
  for (const EndedRunsAck &Ack : Message.Acks)
    if (WorkerSession *To = SessionOf(Ack.Incarnation))
      To->acknowledge(Ack.UpTo);
  for (const jobs::StopCommand &Order : Message.Stops)
    if (WorkerSession *To = SessionOf(Order.Worker))
      To->stop(Order);
  for (const jobs::StartCommand &Order : Message.Starts) {
    ++Counts.Starts;
    Deps.Log.event(
        "starting", Order.Task,
        {{"run", std::to_string(Order.Run)}, {"worker", Order.Worker.Id}});
    if (WorkerSession *To = SessionOf(Order.Worker))
      To->start(Order);
    else
      Outgoing.Refused.push_back(
          {Order.Worker, Order.Task, Order.Run, jobs::StartRefusal::Expired});
  }
  for (const jobs::AdviceRequest &Request : Message.Advice)
    requestAdvice(Request);
}

// Workers.

bool Member::canExtendLeases() const {
  return isConnected() && Sender->isEstablished() &&
         Deps.Time.now() < Sender->lastAckedSend() + Deps.Times.MemberLease;
}

void Member::assign(const Assignment &NewAssignment) {
  const std::int64_t Token = NewAssignment.Token;
  Sessions[NewAssignment.Incarnation.Id] = std::make_unique<WorkerSession>(
      Deps.Workers, Deps.Time, Deps.Times, Deps.Log, NewAssignment,
      WorkerSession::Callbacks{
          [this](WorkerReport Report) {
            Counts.EndedRuns += Report.Ended.size();
            Outgoing.Workers.push_back(std::move(Report));
          },
          [this, Token](const RefusedStart &Refused) {
            Deps.Log.event("start refused", Refused.Task,
                           {{"run", std::to_string(Refused.Run)},
                            {"worker", Refused.Incarnation.Id},
                            {"token", std::to_string(Token)},
                            {"reason", std::to_string(int(Refused.Reason))}});
            Outgoing.Refused.push_back(Refused);
          },
          [this] { return canExtendLeases(); }});
}

void Member::requestAdvice(const jobs::AdviceRequest &Request) {
  ++Counts.AdviceCalls;
  Deps.Advice.ask(
      Request, Guard.wrap([this, Request, RequestSession = Session](
                              const std::optional<std::vector<jobs::Approval>>
                                  &Approved) {
        if (RequestSession != Session)
          return;
        AdviceAnswer Answer{Request.Step, Request.Workers, bool(Approved), {}};
        if (Approved)
          Answer.Approved = *Approved;
        Outgoing.Advice.push_back(std::move(Answer));
      }));
}

void Member::pump() {
  if (Sender && Sender->isBroken())
    closeLink();
  expireCalls();
  for (auto &[Id, Session] : Sessions)
    Session->pump();
  if (Sender)
    Sender->pump();
}

} // namespace apricotwing::cell
