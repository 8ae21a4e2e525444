#include "cell/member.h"

#include "cell/codec.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace apricotwing::cell {

namespace {

/// Time kept for the way back of an answer.
constexpr Duration AnswerMargin{150};

/// Retry-After while there is no leader. A takeover takes up to 2 s, an outage
/// of the store longer, and a caller comes back only a few times; so work that
/// may take longer comes back later.
constexpr Duration LeastLeaderlessRetry{1000};
constexpr Duration LongestLeaderlessRetry{4000};
constexpr int RetriesInAllowedTime = 4;

/// Length of a job's id, in hexadecimal digits.
constexpr std::size_t JobIdLength = 16;

bool isJobId(const std::string &Text) {
  return Text.size() == JobIdLength &&
         Text.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
}

/// The answer while there is nobody to decide. \p Allowed is the time that the
/// caller's job may take.
ClientAnswer unavailable(Duration Allowed) {
  ClientAnswer Result{ClientStatus::Unavailable};
  Result.RetryAfter = std::clamp(Allowed / RetriesInAllowedTime,
                                 LeastLeaderlessRetry, LongestLeaderlessRetry);
  return Result;
}

} // namespace

Member::Member(const Ports &Use, InstanceInfo Own, std::string Process)
    : Use(Use), Own(std::move(Own)), Process(std::move(Process)) {}

void Member::setPolicy(const jobs::ClusterPolicy &Next) {
  if (Next.Version <= Policy.Version)
    return;
  Use.Log.event("policy in force", "",
                {{"version", std::to_string(Next.Version)},
                 {"before", std::to_string(Policy.Version)}});
  Policy = Next;
}

// Callers.

void Member::serve(ClientCall Call, ClientResponder Respond) {
  OpenCall Entry;
  Entry.Respond = std::move(Respond);
  Entry.ArrivedAt = Use.Time.now();
  Entry.GiveUpAt =
      Entry.ArrivedAt + std::max(Call.Deadline - AnswerMargin, Duration{100});
  if (Policy.Version == 0) {
    finish(Entry, unavailable(Duration{0}));
    return;
  }
  const jobs::Queue *Queue = Policy.match(Call.Host, Call.Path);
  if (!Queue) {
    finish(Entry, {ClientStatus::NoSuchQueue});
    return;
  }
  std::string Account;
  const jobs::ClientAccount *Holder = Policy.accountOfKey(Call.Key);
  if (!Holder && !Queue->Public) {
    finish(Entry, {ClientStatus::UnknownKey});
    return;
  }
  if (Holder)
    Account = Holder->Name;
  const std::string Id = Call.Path.substr(Queue->PathPrefix.size());
  const std::uint64_t Tag = ++LastTag;
  if (Id.empty() && Call.Verb == ClientVerb::Read) {
    Entry.Asked = Query{Tag, QueryKind::Pending, Queue->Name};
    open(std::move(Entry));
    return;
  }
  if (!isJobId(Id)) {
    finish(Entry, {Call.Verb == ClientVerb::Submit ? ClientStatus::Malformed
                                                   : ClientStatus::NoSuchJob});
    return;
  }
  switch (Call.Verb) {
  case ClientVerb::Read:
    Entry.Asked = Query{Tag, QueryKind::State, Id};
    break;
  case ClientVerb::Cancel:
    Entry.Asked = Query{Tag, QueryKind::Cancel, Id};
    break;
  case ClientVerb::Submit:
    if (!Call.Job) {
      finish(Entry, {ClientStatus::Malformed});
      return;
    }
    Call.Job->Id = Id;
    Call.Job->Queue = Queue->Name;
    Call.Job->Account = Account;
    Call.Job->AcceptedUnixMs = Use.Calendar.unixMs();
    Entry.Allowed = jobs::allowedTime(*Queue, *Call.Job);
    Entry.Submitted = Submission{Tag, std::move(*Call.Job)};
    break;
  }
  open(std::move(Entry));
}

void Member::open(OpenCall Call) {
  const std::uint64_t Tag =
      Call.Submitted ? Call.Submitted->Tag : Call.Asked->Tag;
  if (isLinked()) {
    if (Call.Submitted)
      Outgoing.Submissions.push_back(*Call.Submitted);
    else
      Outgoing.Queries.push_back(*Call.Asked);
    Call.Sent = true;
  }
  Open.emplace(Tag, std::move(Call));
}

void Member::finish(OpenCall &Call, ClientAnswer Answer) {
  ++Counts.Answers[Answer.Status];
  if (Call.Submitted || Answer.Status == ClientStatus::UnknownKey ||
      Answer.Status == ClientStatus::Unavailable ||
      Answer.Status == ClientStatus::Unresolved)
    Use.Log.event(
        "answered", Call.Submitted ? Call.Submitted->Job.Id : std::string(),
        {{"outcome", std::string(enumName(ClientStatusNames, Answer.Status))},
         {"after_ms",
          std::to_string((Use.Time.now() - Call.ArrivedAt).count())},
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
  const TimePoint Now = Use.Time.now();
  std::vector<std::pair<std::uint64_t, ClientAnswer>> Over;
  for (const auto &[Tag, Call] : Open) {
    if (Now >= Call.GiveUpAt)
      Over.emplace_back(Tag, Call.Sent && Call.Submitted
                                 ? ClientAnswer{ClientStatus::Unresolved}
                                 : unavailable(Call.Allowed));
    else if (!Call.Sent && Now >= Call.ArrivedAt + Use.Times.LeaderlessWait)
      Over.emplace_back(Tag, unavailable(Call.Allowed));
  }
  for (const auto &[Tag, Answer] : Over)
    answer(Tag, Answer);
}

void Member::failOpenCalls() {
  while (!Open.empty()) {
    const auto &[Tag, Call] = *Open.begin();
    answer(Tag, Call.Sent && Call.Submitted
                    ? ClientAnswer{ClientStatus::Unresolved}
                    : unavailable(Call.Allowed));
  }
}

// The link.

bool Member::isLinked() const { return Sender && !Sender->isBroken(); }

bool Member::isServing() const {
  return Policy.Version > 0 && isLinked() && Sender->isConfirmed();
}

void Member::connect(const LeaderRecord &Next) {
  if (isLinked() && Leader && Leader->Term == Next.Term &&
      Leader->Process == Next.Process)
    return;
  Leader = Next;
  Session = Process + "/" + std::to_string(++LastSession);
  Receiver = MailReceiver{};
  Outgoing = MemberMail{};
  LeavingTold = false;
  Use.Log.event("linking to leader", Next.Instance.Name,
                {{"term", std::to_string(Next.Term)},
                 {"address", Next.Instance.Address},
                 {"session", Session}});
  Sender = std::make_unique<MailSender>(
      Use.Peers, Use.Time, Use.Times, Next.Instance.Address,
      MailSender::Source{
          [this] { return !Outgoing.isEmpty() || (Leaving && !LeavingTold); },
          [this](std::int64_t Sequence) { return compose(Sequence); }});
  // A new session starts with all that is not answered; the leader knows
  // repeated submissions by the job's id.
  for (auto &[Tag, Call] : Open) {
    if (Call.Submitted)
      Outgoing.Submissions.push_back(*Call.Submitted);
    else
      Outgoing.Queries.push_back(*Call.Asked);
    Call.Sent = true;
  }
}

std::string Member::compose(std::int64_t Sequence) {
  Envelope Mail;
  Mail.Session = Session;
  Mail.Sequence = Sequence;
  Mail.Term = leaderTerm();
  Mail.From = Own;
  Mail.ToLeader = std::exchange(Outgoing, MemberMail{});
  Mail.ToLeader->Leaving = Leaving;
  if (StoreAnswer)
    Mail.ToLeader->StoreAnswerAgeMs = (Use.Time.now() - *StoreAnswer).count();
  LeavingTold = Leaving;
  return encode(Mail);
}

void Member::breakLink() {
  ++Counts.LinksLost;
  Use.Log.event(
      "link to leader lost", Leader ? Leader->Instance.Name : "",
      {{"term", std::to_string(leaderTerm())},
       {"silent_ms",
        std::to_string((Use.Time.now() - Sender->lastConfirmed()).count())}});
  if (Sender->hasResigned())
    ResignedTerm = leaderTerm();
  Sender.reset();
}

Receipt Member::receive(const Envelope &Mail) {
  if (!isLinked() || Mail.Session != Session || Mail.Term != leaderTerm())
    return {false};
  switch (Receiver.evaluate(Mail.Sequence)) {
  case MailReceiver::Verdict::OutOfOrder:
    return {false};
  case MailReceiver::Verdict::Repeated:
    return {true};
  case MailReceiver::Verdict::New:
    break;
  }
  if (Mail.ToMember)
    handle(*Mail.ToMember);
  return {true};
}

void Member::handle(const LeaderMail &Mail) {
  if (Mail.MailGapMs > 0)
    Sender->setGap(Duration(Mail.MailGapMs));
  for (const SubmitAnswer &Given : Mail.Submitted) {
    ClientAnswer Answer{ClientStatus::Accepted};
    if (Given.Result == SubmitResult::Malformed)
      Answer.Status = ClientStatus::Malformed;
    if (Given.Result == SubmitResult::Busy) {
      Answer.Status = ClientStatus::Busy;
      Answer.RetryAfter = Duration(Given.RetryAfterMs);
    }
    answer(Given.Tag, Answer);
  }
  for (const QueryAnswer &Given : Mail.Answers) {
    const auto Found = Open.find(Given.Tag);
    if (Found == Open.end() || !Found->second.Asked)
      continue;
    const QueryKind Kind = Found->second.Asked->Kind;
    ClientAnswer Answer{ClientStatus::State};
    Answer.View = Given.View;
    Answer.Count = Given.Count;
    if (Kind == QueryKind::Pending)
      Answer.Status = ClientStatus::Count;
    else if (Given.View == jobs::JobView::Unknown)
      Answer.Status = ClientStatus::NoSuchJob;
    else if (Kind == QueryKind::Cancel)
      Answer.Status = ClientStatus::Accepted;
    answer(Given.Tag, Answer);
  }
  for (const Assignment &Given : Mail.Assigned)
    assign(Given);
  for (const jobs::WorkerIncarnation &Life : Mail.Dismissed) {
    const auto Found = Sessions.find(Life.Id);
    if (Found != Sessions.end() && Found->second->life() == Life)
      Sessions.erase(Found);
  }
  const auto SessionOf = [this](const jobs::WorkerIncarnation &Life) {
    const auto Found = Sessions.find(Life.Id);
    const bool Same = Found != Sessions.end() && Found->second->life() == Life;
    return Same ? Found->second.get() : nullptr;
  };
  for (const EndAck &Ack : Mail.Acks)
    if (WorkerSession *To = SessionOf(Ack.Life))
      To->acknowledge(Ack.UpTo);
  for (const jobs::StopCommand &Order : Mail.Stops)
    if (WorkerSession *To = SessionOf(Order.Worker))
      To->stop(Order);
  for (const jobs::StartCommand &Order : Mail.Starts) {
    ++Counts.Starts;
    Use.Log.event(
        "starting", Order.Task,
        {{"run", std::to_string(Order.Run)}, {"worker", Order.Worker.Id}});
    if (WorkerSession *To = SessionOf(Order.Worker))
      To->start(Order);
    else
      Outgoing.Refused.push_back(
          {Order.Worker, Order.Task, Order.Run, jobs::StartRefusal::Expired});
  }
  for (const jobs::AdviceRequest &Request : Mail.Advice)
    ask(Request);
}

// Workers.

bool Member::mayExtendLeases() const {
  return isLinked() && Sender->isConfirmed() &&
         Use.Time.now() < Sender->lastConfirmed() + Use.Times.MemberLease;
}

void Member::assign(const Assignment &Given) {
  const std::int64_t Token = Given.Token;
  Sessions[Given.Life.Id] = std::make_unique<WorkerSession>(
      Use.Workers, Use.Time, Use.Times, Use.Log, Given,
      WorkerSession::Owner{
          [this](WorkerReport Report) {
            Counts.EndedRuns += Report.Ended.size();
            Outgoing.Workers.push_back(std::move(Report));
          },
          [this, Token](const RefusedStart &Refused) {
            Use.Log.event("start refused", Refused.Task,
                          {{"run", std::to_string(Refused.Run)},
                           {"worker", Refused.Life.Id},
                           {"token", std::to_string(Token)},
                           {"reason", std::to_string(int(Refused.Reason))}});
            Outgoing.Refused.push_back(Refused);
          },
          [this] { return mayExtendLeases(); }});
}

void Member::ask(const jobs::AdviceRequest &Request) {
  ++Counts.AdviceCalls;
  Use.Advice.ask(
      Request, Life.guard([this, Request, Of = Session](
                              const std::optional<std::vector<jobs::Approval>>
                                  &Approved) {
        if (Of != Session)
          return;
        AdviceAnswer Answer{Request.Step, Request.Workers, bool(Approved), {}};
        if (Approved)
          Answer.Approved = *Approved;
        Outgoing.Advice.push_back(std::move(Answer));
      }));
}

void Member::pump() {
  if (Sender && Sender->isBroken())
    breakLink();
  expireCalls();
  for (auto &[Id, Session] : Sessions)
    Session->pump();
  if (Sender)
    Sender->pump();
}

} // namespace apricotwing::cell
