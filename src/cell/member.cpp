#include "cell/member.h"

#include "cell/codec.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace apricotwing::cell {

Member::Member(const Ports &Deps, int Shard, InstanceInfo Instance,
               std::string Process)
    : Deps(Deps), Shard(Shard), Instance(std::move(Instance)),
      Process(std::move(Process)) {}

// The link.

bool Member::isConnected() const { return Sender && !Sender->isBroken(); }

void Member::connect(const LeaderRecord &NewLeader, bool AsGuest) {
  if (isConnected() && Leader && Leader->Term == NewLeader.Term &&
      Leader->Process == NewLeader.Process)
    return;
  Leader = NewLeader;
  Guest = AsGuest;
  RejectedAsGuest = false;
  Session = Process + "/" + std::to_string(++LastSession);
  Receiver = MessageReceiver{};
  Outgoing = MemberMessage{};
  // The leader of the new link assigns the workers anew, possibly to others.
  // The old sessions must not extend leases that it may take for expired.
  Sessions.clear();
  LeavingSent = false;
  Deps.Log.event("connecting to leader", NewLeader.Instance.Name,
                 {{"shard", std::to_string(Shard)},
                  {"term", std::to_string(NewLeader.Term)},
                  {"address", NewLeader.Instance.Address},
                  {"session", Session}});
  Sender = std::make_unique<MessageSender>(
      Deps.Peers, Deps.Time, Deps.Times, NewLeader.Instance.Address,
      Deps.Times.KeepAliveInterval,
      MessageSender::Source{
          [this] { return !Outgoing.isEmpty() || (Leaving && !LeavingSent); },
          [this](std::int64_t Sequence) { return composeMessage(Sequence); }});
}

void Member::disconnect() {
  Sender.reset();
  Sessions.clear();
}

std::string Member::composeMessage(std::int64_t Sequence) {
  Envelope Message;
  Message.Shard = Shard;
  Message.Guest = Guest;
  Message.Session = Session;
  Message.Sequence = Sequence;
  Message.Term = leaderTerm();
  Message.From = Instance;
  Message.PolicyVersion = PolicyVersion;
  Message.ToLeader = std::exchange(Outgoing, MemberMessage{});
  for (auto &[Id, Supervision] : Sessions)
    std::ranges::move(Supervision->takeConfirmedStarts(),
                      std::back_inserter(Message.ToLeader->Confirmed));
  Message.ToLeader->Leaving = Leaving;
  Message.ToLeader->OtherShardsLed = OtherShardsLed;
  Message.ToLeader->FreezesLeases = true;
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
       {"full", Sender->isFull() ? "1" : "0"},
       {"silent_ms",
        std::to_string((Deps.Time.now() - Sender->lastAckedSend()).count())}});
  if (Sender->hasResigned())
    ResignedTerm = leaderTerm();
  RejectedAsGuest = Sender->isFull();
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
  if (!Message.Contacts.empty())
    Contacts = Message.Contacts;
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
  for (const LeaseRelease &Release : Message.Released) {
    WorkerSession *To = SessionOf(Release.Incarnation);
    if (To && To->token() == Release.Token)
      To->releaseLease();
  }
  for (const jobs::StopCommand &Order : Message.Stops)
    if (WorkerSession *To = SessionOf(Order.Worker))
      To->stop(Order);
  for (const jobs::StartCommand &Order : Message.Starts) {
    ++Counts.Starts;
    logStart(Order);
    if (WorkerSession *To = SessionOf(Order.Worker))
      To->start(Order);
    else
      Outgoing.Refused.push_back(
          {Order.Worker, Order.Task, Order.Run, jobs::StartRefusal::Expired});
  }
  for (const jobs::AdviceRequest &Request : Message.Advice)
    requestAdvice(Request);
}

// The lines on the run before may be on other instances.
void Member::logStart(const jobs::StartCommand &Order) {
  const std::string Run = std::to_string(Order.Run);
  const std::string &Worker = Order.Worker.Id;
  if (!Order.Previous) {
    Deps.Log.event("starting", Order.Task, {{"run", Run}, {"worker", Worker}});
    return;
  }
  const jobs::PreviousRun &Last = *Order.Previous;
  const std::string LastRun = std::to_string(Last.Run);
  const std::string LastEnd(enumName(jobs::RunOutcomeNames, Last.Outcome));
  const std::string EndAgeMs = std::to_string(Last.Age.count());
  if (Last.Outcome != jobs::RunOutcome::Lost) {
    Deps.Log.event("starting", Order.Task,
                   {{"run", Run},
                    {"worker", Worker},
                    {"last_run", LastRun},
                    {"last_worker", Last.Worker},
                    {"last_end", LastEnd},
                    {"last_end_age_ms", EndAgeMs}});
    return;
  }
  const jobs::LossProof &Proof = Last.Proof;
  Deps.Log.event(
      "starting", Order.Task,
      {{"run", Run},
       {"worker", Worker},
       {"last_run", LastRun},
       {"last_worker", Last.Worker},
       {"last_end", LastEnd},
       {"last_end_age_ms", EndAgeMs},
       {"cause", std::string(enumName(jobs::WorkerLossNames, Last.Cause))},
       {"evidence",
        std::string(enumName(jobs::LossEvidenceNames, Proof.Evidence))},
       {"basis", std::string(enumName(jobs::LeaseBasisNames, Proof.Basis))},
       {"grant_age_ms", std::to_string(Proof.GrantAgeMs)},
       {"answer_age_ms", std::to_string(Proof.AnswerAgeMs)}});
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
            Deps.Log.event(
                "start refused", Refused.Task,
                {{"run", std::to_string(Refused.Run)},
                 {"worker", Refused.Incarnation.Id},
                 {"token", std::to_string(Token)},
                 {"reason", std::string(enumName(jobs::StartRefusalNames,
                                                 Refused.Reason))}});
            Outgoing.Refused.push_back(Refused);
          },
          [this] { return canExtendLeases(); }});
}

void Member::requestAdvice(const jobs::AdviceRequest &Request) {
  ++Counts.AdviceCalls;
  Deps.Advice.ask(
      Request,
      Guard.wrap(
          [this, Request, RequestSession = Session, AskedAt = Deps.Time.now()](
              const std::optional<std::vector<jobs::Approval>> &Approved) {
            if (RequestSession != Session)
              return;
            AdviceAnswer Answer{Request.Step,
                                Request.Workers,
                                bool(Approved),
                                {},
                                (Deps.Time.now() - AskedAt).count()};
            if (Approved)
              Answer.Approved = *Approved;
            Outgoing.Advice.push_back(std::move(Answer));
          }));
}

void Member::pump() {
  if (Sender && Sender->isBroken())
    closeLink();
  for (auto &[Id, Session] : Sessions)
    Session->pump();
  if (!Sender)
    return;
  Sender->setKeepAliveInterval(Sessions.empty()
                                   ? Deps.Times.IdleKeepAliveInterval
                                   : Deps.Times.KeepAliveInterval);
  Sender->pump();
}

} // namespace apricotwing::cell
