#include "cell/leader.h"

#include "cell/codec.h"
#include "cell/supervisorselection.h"

#include <algorithm>
#include <utility>

namespace apricotwing::cell {

namespace {

/// Minimum interval between two watch calls for the worker registry. Each
/// response contains all rows that were written since.
constexpr Duration RegistryWatchInterval{250};
constexpr Duration RegistryWatchTimeout{2000};

/// A worker that is missing in the registry for this long is considered gone.
constexpr Duration UnregisteredGracePeriod{2500};

/// A member is removed, and its workers are reassigned, if no message arrives
/// from it for this long.
constexpr Duration MemberTimeout{1000};

/// The same limit for a member that still sends messages but whose replies are
/// late. It is longer because a busy leader processes the replies late itself.
constexpr Duration MemberAckTimeout{2500};

/// In cells of up to SmallCellSize members all members send at
/// Timing::MinMessageInterval: a longer interval delayed short jobs more than
/// it saved. In larger cells the interval grows with the load and with the
/// number of supervisors or of other members; most messages are sent by
/// supervisors.
constexpr std::size_t SmallCellSize = 9;
constexpr std::size_t SupervisorsPerInterval = 4;
constexpr std::size_t OthersPerInterval = 5;

/// Upper limit of the interval for supervisors. Start orders and ended runs
/// wait for their messages, so it is shorter than the keep-alive interval.
constexpr Duration MaxSupervisorInterval{80};

/// Leadership is transferred to a member whose CPU share is larger by this
/// factor, once it has been a member for MinTransferDelay.
constexpr double TransferShareRatio = 1.5;
constexpr Duration MinTransferDelay{2000};
constexpr Duration MaxSuccessorStoreAge{1000};

/// Minimum interval between two scheduling rounds, so that simultaneous events
/// are handled in one round.
constexpr Duration MinDecisionInterval{4};

/// Maximum interval between two scheduling rounds, because tickets and delays
/// expire without an event.
constexpr Duration MaxDecisionInterval{100};

/// Interval of the removal of expired ended jobs.
constexpr Duration JobExpiryInterval{5000};

/// Interval of the checks of members, registry and advice calls.
constexpr Duration MaintenanceInterval{100};

/// Interval of the log lines about the load.
constexpr Duration LoadLogInterval{2000};

/// Delay before a worker whose process has ended is assigned again if the
/// registry still contains the same process.
constexpr Duration EndedProcessDelay{1500};

/// Tolerance for a response that was in transit when the store failed.
constexpr Duration StoreResponseMargin{60};

/// Factor for the CPU share of the leader's own instance when workers are
/// distributed, because it also does the scheduling.
constexpr double LeaderSupervisionWeight = 0.5;

/// A long scheduling round is followed by a pause of this many times its
/// duration, so that messages and commits get the larger part of the CPU time.
constexpr int RoundPauseFactor = 2;

/// Factor for the load of a member that is in another zone than the worker.
constexpr double CrossZoneLoadFactor = 4;

/// Replaces the CPU share of an instance that reports none.
constexpr double MinCpuShare = 0.01;

/// A worker is moved to another member if that reduces the load by at least
/// this factor. After each move the worker's lists must be read again, which
/// takes about 20 ms.
constexpr double MinRebalanceGain = 1.3;
constexpr Duration RebalanceInterval{250};
constexpr int MaxMovesPerRebalance = 12;

/// Time for members to join after a takeover before workers are assigned. Most
/// members join within two messages.
constexpr Duration JoinPeriod{60};

/// Maximum number of fencing tokens per term.
constexpr std::int64_t TokensPerTerm = 1'000'000;

} // namespace

Leader::Leader(const Ports &Deps, const LeaderRecord &Record,
               std::int64_t Version, TimePoint SentAt)
    : Deps(Deps), Record(Record),
      StateJournal(Deps.Store, Deps.Time, Deps.Times, Record, Version, SentAt),
      Scheduler(Record.Term), Pacer(Record.Instance.CpuShare),
      Registry(Deps.Store, Deps.Time, Deps.Records.workerTable(),
               RegistryWatchInterval, RegistryWatchTimeout,
               {[this](const std::vector<StoredRow> &Rows) {
                  onRegistrySnapshot(Rows);
                },
                [this](const std::vector<StoredRow> &Rows) {
                  onRegistryChanges(Rows);
                }}),
      Loader(Deps.Store, Deps.Time, Deps.Log,
             {[this](const StoredState &Stored) { restoreJobs(Stored); },
              [this](const std::string &Id, jobs::JobPhase Phase) {
                restoreEnded(Id, Phase);
              },
              [this] { serveDeferred(); }}),
      LastToken(Record.Term * TokensPerTerm), TermStartedAt(Deps.Time.now()) {
  Deps.Log.event("leading", Record.Instance.Name,
                 {{"term", std::to_string(Record.Term)},
                  {"version", std::to_string(Version)}});
}

void Leader::setPolicy(const jobs::ClusterPolicy &NewPolicy) {
  Scheduler.setPolicy(NewPolicy);
  PolicyKnown = PolicyKnown || NewPolicy.Version > 0;
  DecisionNeeded = true;
}

// State recovery after a takeover.

void Leader::restoreJobs(const StoredState &Stored) {
  const TimePoint Now = Deps.Time.now();
  // Restore workers first because the placements of jobs refer to them.
  for (const RosterEntry &Entry : Stored.Roster) {
    WorkerState &Known = WorkerStates[Entry.Incarnation.Id];
    if (Known.Info.Incarnation.StartedUnixMs > Entry.Incarnation.StartedUnixMs)
      continue; // The registry contains a newer process.
    if (!Known.Registered) {
      Known.Info.Incarnation = Entry.Incarnation;
      Known.Info.Address = Entry.Address;
      Known.Info.Zone = Entry.Zone;
      Known.Info.Draining = true;
      Known.UnregisteredSince = Now;
      Scheduler.updateWorker(Known.Info);
    }
    Known.InRoster = true;
  }
  // Members of the previous leader may have extended worker leases until their
  // own lease expired, which was last renewed before the previous term ended.
  for (auto &[Id, Worker] : WorkerStates)
    Worker.MaxLeaseEnd = TermStartedAt + Deps.Times.MemberLease +
                         Deps.Times.WorkerLease + Deps.Times.ClockSkewMargin;
  const std::int64_t UnixNowMs = Deps.WallTime.unixMs();
  for (const auto &[Id, Spec] : Stored.Jobs) {
    const auto Progress = Stored.Progress.find(Id);
    const Duration Age(
        std::max<std::int64_t>(UnixNowMs - Spec.AcceptedUnixMs, 0));
    Scheduler.restore(Spec,
                      Progress == Stored.Progress.end() ? jobs::JobProgress{}
                                                        : Progress->second,
                      Age, Now);
  }
  Deps.Log.event("state loaded", Record.Instance.Name,
                 {{"term", std::to_string(Record.Term)},
                  {"jobs", std::to_string(Stored.Jobs.size())},
                  {"roster", std::to_string(Stored.Roster.size())},
                  {"after_ms", std::to_string((Now - TermStartedAt).count())}});
  Loaded = true;
  DecisionNeeded = true;
}

void Leader::restoreEnded(const std::string &Id, jobs::JobPhase Phase) {
  jobs::JobSpec Ended;
  Ended.Id = Id;
  jobs::JobProgress Progress;
  Progress.Phase = Phase;
  Scheduler.restore(Ended, Progress, Duration{0}, Deps.Time.now());
}

void Leader::serveDeferred() {
  Deps.Log.event("ended jobs loaded", Record.Instance.Name,
                 {{"term", std::to_string(Record.Term)},
                  {"after_ms",
                   std::to_string((Deps.Time.now() - TermStartedAt).count())}});
  for (const auto &Call : std::exchange(DeferredCalls, {}))
    Call();
}

const Leader::MemberState *Leader::largestMember() const {
  const MemberState *Best = nullptr;
  for (const auto &[Name, Member] : Members) {
    const bool Eligible = Name != Record.Instance.Name && !Member.Leaving &&
                          Member.Sender->isEstablished();
    if (Eligible && (!Best || Member.Info.CpuShare > Best->Info.CpuShare))
      Best = &Member;
  }
  return Best;
}

// Names a successor only if it is much larger than another member. Among equal
// members the first one that notices the step-down takes over without waiting.
void Leader::stepDown() {
  const MemberState *Candidate = largestMember();
  const bool HasLargeCandidate =
      Candidate &&
      std::any_of(Members.begin(), Members.end(), [&](const auto &One) {
        return One.second.Info.CpuShare * TransferShareRatio <=
               Candidate->Info.CpuShare;
      });
  const std::string Successor =
      HasLargeCandidate ? Candidate->Info.Name : std::string();
  Deps.Log.event("stepping down", Record.Instance.Name,
                 {{"term", std::to_string(Record.Term)}, {"for", Successor}});
  StateJournal.stepDown(Successor);
}

// The leader needs more CPU time than any other member. This matters in a cell
// with instances of unequal size whose small instances started first.
bool Leader::shouldTransferLeadership() const {
  const TimePoint Now = Deps.Time.now();
  const MemberState *Candidate = largestMember();
  return Loaded && Candidate &&
         Candidate->Info.CpuShare >=
             Record.Instance.CpuShare * TransferShareRatio &&
         Now - Candidate->JoinedAt >= MinTransferDelay &&
         Now - TermStartedAt >= MinTransferDelay &&
         Now - Candidate->StoreAnsweredAt < MaxSuccessorStoreAge;
}

bool Leader::shouldResign() const {
  const Duration Failing = StateJournal.failureDuration();
  if (Failing < Deps.Times.ResignTimeout)
    return false;
  // If the store is down for all instances, no member has received a response
  // since the first failure.
  const TimePoint Since = Deps.Time.now() - Failing + StoreResponseMargin;
  return std::any_of(Members.begin(), Members.end(), [&](const auto &Member) {
    return Member.first != Record.Instance.Name && !Member.second.Leaving &&
           Member.second.StoreAnsweredAt > Since;
  });
}

// Worker registry.

void Leader::onRegistrySnapshot(const std::vector<StoredRow> &Rows) {
  std::set<std::string> Named;
  for (const StoredRow &Row : Rows) {
    applyRegistryRow(Row);
    Named.insert(Row.Key);
  }
  for (auto &[Id, Worker] : WorkerStates)
    if (Worker.Registered && !Named.contains(Id))
      markUnregistered(Worker);
  RegistryRead = true;
  DecisionNeeded = true;
}

void Leader::onRegistryChanges(const std::vector<StoredRow> &Rows) {
  for (const StoredRow &Row : Rows)
    applyRegistryRow(Row);
}

void Leader::applyRegistryRow(const StoredRow &Row) {
  const auto Found = WorkerStates.find(Row.Key);
  if (Row.Deleted) {
    if (Found != WorkerStates.end() && Found->second.Registered)
      markUnregistered(Found->second);
    return;
  }
  const auto Info = Deps.Records.decodeWorker(Row);
  if (!Info)
    return; // The row describes no usable worker.
  if (Found != WorkerStates.end() && Found->second.Registered &&
      Found->second.Info == *Info)
    return;
  if (Found != WorkerStates.end() &&
      Found->second.Info.Incarnation.StartedUnixMs >
          Info->Incarnation.StartedUnixMs)
    return; // An outdated row of an earlier process.
  if (Found != WorkerStates.end() &&
      Found->second.Info.Incarnation != Info->Incarnation) {
    Deps.Log.event("worker restarted", Row.Key,
                   {{"born", std::to_string(Info->Incarnation.StartedUnixMs)}});
    removeWorker(Row.Key);
  }
  WorkerState &Worker = WorkerStates[Row.Key];
  if (Worker.Info.Draining != Info->Draining)
    Deps.Log.event("worker drain state", Row.Key,
                   {{"draining", Info->Draining ? "1" : "0"}});
  Worker.Info = *Info;
  Worker.Registered = true;
  Scheduler.updateWorker(*Info);
  DecisionNeeded = true;
}

void Leader::markUnregistered(WorkerState &Worker) {
  Worker.Registered = false;
  Worker.UnregisteredSince = Deps.Time.now();
  Deps.Log.event("worker left the registry", Worker.Info.Incarnation.Id, {});
}

void Leader::removeUnregistered() {
  const TimePoint Now = Deps.Time.now();
  std::vector<std::string> Gone;
  for (auto &[Id, Worker] : WorkerStates) {
    if (Worker.Registered ||
        Now - Worker.UnregisteredSince < UnregisteredGracePeriod)
      continue;
    if (!Worker.Info.Draining) {
      Worker.Info.Draining = true;
      Scheduler.updateWorker(Worker.Info);
    }
    const jobs::Worker *Known = Scheduler.worker(Id);
    const bool Empty = Worker.Resolved && (!Known || Known->runs().empty());
    if (Empty && (!Known || !Known->isSynced() || !Known->isReachable()))
      Gone.push_back(Id);
  }
  for (const std::string &Id : Gone) {
    Deps.Log.event("worker removed", Id, {});
    removeWorker(Id);
  }
}

void Leader::removeWorker(const std::string &Id) {
  const auto Found = WorkerStates.find(Id);
  if (Found == WorkerStates.end())
    return;
  releaseFromMember(Id);
  Scheduler.removeWorker(Found->second.Info.Incarnation);
  if (Found->second.InRoster || Found->second.RosterPending)
    StateJournal.remove(RosterTable, Id);
  WorkerStates.erase(Found);
  DecisionNeeded = true;
}

void Leader::releaseFromMember(const std::string &Id) {
  WorkerState &Worker = WorkerStates.at(Id);
  const auto Member = Members.find(Worker.Member);
  if (Member != Members.end()) {
    Member->second.Workers.erase(Id);
    Member->second.Outgoing.Revoked.push_back(Worker.Info.Incarnation);
  }
  Worker.Member.clear();
}

// Messages from members.

std::optional<EnvelopeReply> Leader::receive(const Envelope &Message) {
  if (StateJournal.isDeposed() || Message.Term != Record.Term)
    return EnvelopeReply{false};
  // Without a valid lease nothing may be confirmed. The member sends the
  // message again.
  if (!StateJournal.isLeaseValid())
    return std::nullopt;
  const TimePoint Now = Deps.Time.now();
  auto Found = Members.find(Message.From.Name);
  const bool IsOpen =
      Found != Members.end() && Found->second.Session == Message.Session;
  if (!IsOpen) {
    if (Message.Sequence != 1)
      return EnvelopeReply{false};
    if (Found != Members.end())
      removeMember(Message.From.Name);
    MemberState &NewMember = Members[Message.From.Name];
    NewMember.Info = Message.From;
    NewMember.Session = Message.Session;
    NewMember.JoinedAt = Now;
    NewMember.Sender = std::make_unique<MessageSender>(
        Deps.Peers, Deps.Time, Deps.Times, Message.From.Address,
        MessageSender::Source{
            [&NewMember] { return !NewMember.Outgoing.isEmpty(); },
            [this, &NewMember](std::int64_t Sequence) {
              return composeMessage(NewMember, Sequence);
            }});
    Found = Members.find(Message.From.Name);
    Dispatcher.add(Message.From.Name, Message.From.CpuShare);
    Deps.Log.event("member joined", Message.From.Name,
                   {{"session", Message.Session}, {"zone", Message.From.Zone}});
  }
  MemberState &From = Found->second;
  From.LastReceivedAt = Now;
  Pacer.recordMessage(Now);
  switch (From.Receiver.checkSequence(Message.Sequence)) {
  case MessageReceiver::SequenceStatus::OutOfOrder:
    return EnvelopeReply{false};
  case MessageReceiver::SequenceStatus::Duplicate:
    return EnvelopeReply{true};
  case MessageReceiver::SequenceStatus::New:
    break;
  }
  if (!Message.ToLeader)
    return EnvelopeReply{true};
  const MemberMessage &Content = *Message.ToLeader;
  if (Content.StoreResponseAgeMs >= 0)
    From.StoreAnsweredAt = Now - Duration(Content.StoreResponseAgeMs);
  for (const Submission &NewSubmission : Content.Submissions)
    submit(From, NewSubmission);
  for (const WorkerReport &Report : Content.Workers)
    onWorkerReport(From, Report);
  for (const RefusedStart &Refused : Content.Refused) {
    Scheduler.startRefused(Refused.Incarnation, Refused.Task, Refused.Run,
                           Refused.Reason, Now);
    DecisionNeeded = true;
  }
  for (const AdviceAnswer &Answer : Content.Advice)
    onAdviceAnswer(From, Answer);
  for (const Query &Request : Content.Queries)
    query(From, Request);
  if (Content.Leaving && !From.Leaving) {
    From.Leaving = true;
    for (const std::string &Step : Dispatcher.remove(From.Info.Name))
      Scheduler.adviceFailed(Step);
    Deps.Log.event("member leaving", From.Info.Name, {});
    const std::set<std::string> Workers = From.Workers;
    for (const std::string &Id : Workers) {
      WorkerStates.at(Id).MaxLeaseEnd =
          std::max(WorkerStates.at(Id).MaxLeaseEnd,
                   Now + Deps.Times.WorkerLease + Deps.Times.ClockSkewMargin);
      Scheduler.markUnsynced(WorkerStates.at(Id).Info.Incarnation);
      releaseFromMember(Id);
    }
  }
  storeChangedJobs();
  return EnvelopeReply{true};
}

std::string Leader::composeMessage(MemberState &To, std::int64_t Sequence) {
  Pacer.recordMessage(Deps.Time.now());
  Envelope Message;
  Message.Session = To.Session;
  Message.Sequence = Sequence;
  Message.Term = Record.Term;
  Message.FromLeader = true;
  Message.From = Record.Instance;
  const Duration Interval = messageIntervalFor(To);
  if (Interval != To.AnnouncedInterval)
    To.Outgoing.MinMessageIntervalMs = Interval.count();
  To.AnnouncedInterval = Interval;
  To.Sender->setMinInterval(Interval);
  Message.ToMember = std::exchange(To.Outgoing, LeaderMessage{});
  return encode(Message);
}

// Client calls.

void Leader::submit(MemberState &From, const Submission &NewSubmission) {
  const std::string &Id = NewSubmission.Job.Id;
  const std::string Member = From.Info.Name;
  const std::string Session = From.Session;
  const std::uint64_t Tag = NewSubmission.Tag;
  const auto Answer = [this, Member, Session, Tag] {
    answerSubmission(Member, Session, Tag, SubmitResult::Accepted);
  };
  if (!Loader.isDone()) {
    // Whether the job is already known is clear only once the state is loaded.
    DeferredCalls.push_back([this, Member, Session, NewSubmission] {
      const auto Found = Members.find(Member);
      if (Found != Members.end() && Found->second.Session == Session)
        submit(Found->second, NewSubmission);
    });
    return;
  }
  if (const auto Waiting = JobsBeingStored.find(Id);
      Waiting != JobsBeingStored.end()) {
    Waiting->second.push_back(Answer);
    return;
  }
  if (Scheduler.find(Id)) {
    Answer();
    return;
  }
  if (const auto Problem = jobs::validationError(NewSubmission.Job)) {
    Deps.Log.event("job malformed", Id, {{"problem", *Problem}});
    From.Outgoing.Submitted.push_back({Tag, SubmitResult::Malformed, 0});
    return;
  }
  const jobs::Queue *TargetQueue = Scheduler.queue(NewSubmission.Job.Queue);
  const jobs::AdmissionResult Admitted =
      TargetQueue
          ? AdmissionControl.evaluate(
                NewSubmission.Job, *TargetQueue,
                Scheduler.account(NewSubmission.Job.Account),
                Scheduler.estimatedWait(TargetQueue->Priority), Deps.Time.now())
          : jobs::AdmissionResult{};
  if (Admitted.RetryAfter) {
    Deps.Log.event(
        "job refused", Id,
        {{"queue", NewSubmission.Job.Queue},
         {"account", NewSubmission.Job.Account},
         {"beyond_share", Admitted.BeyondShare ? "1" : "0"},
         {"wait_ms",
          std::to_string(
              Scheduler.estimatedWait(TargetQueue->Priority).count())}});
    From.Outgoing.Submitted.push_back(
        {Tag, SubmitResult::Busy, Admitted.RetryAfter->count()});
    return;
  }
  JobsBeingStored[Id].push_back(Answer);
  Scheduler.add(NewSubmission.Job, Admitted.BeyondShare, Deps.Time.now());
  DecisionNeeded = true;
  StateJournal.put(JobTable, Id, encode(NewSubmission.Job));
  StateJournal.whenCommitted(Guard.wrap([this, Job = NewSubmission.Job] {
    Deps.Log.event("job accepted", Job.Id,
                   {{"queue", Job.Queue},
                    {"account", Job.Account},
                    {"steps", std::to_string(Job.Steps.size())},
                    {"tasks", std::to_string(Job.Steps.front().Count)}});
    DecisionNeeded = true;
    const auto Waiting = JobsBeingStored.extract(Job.Id);
    if (!Waiting.empty())
      for (const auto &Callback : Waiting.mapped())
        Callback();
  }));
}

void Leader::answerSubmission(const std::string &Member,
                              const std::string &Session, std::uint64_t Tag,
                              SubmitResult Result) {
  const auto Found = Members.find(Member);
  if (Found != Members.end() && Found->second.Session == Session)
    Found->second.Outgoing.Submitted.push_back({Tag, Result, 0});
}

void Leader::query(MemberState &From, const Query &Request) {
  const std::string Member = From.Info.Name;
  const std::string Session = From.Session;
  const auto AskAgain = [this, Member, Session, Request] {
    const auto Found = Members.find(Member);
    if (Found != Members.end() && Found->second.Session == Session)
      query(Found->second, Request);
  };
  // Jobs that have not ended are loaded before ended ones.
  if (!Loaded || (!Loader.isDone() && !Scheduler.find(Request.Subject))) {
    DeferredCalls.push_back(AskAgain);
    return;
  }
  // A job that is being stored will be known shortly.
  if (JobsBeingStored.contains(Request.Subject)) {
    JobsBeingStored[Request.Subject].push_back(AskAgain);
    return;
  }
  if (Request.Kind == QueryKind::Cancel && Scheduler.find(Request.Subject)) {
    Scheduler.cancel(Request.Subject, Deps.Time.now());
    Deps.Log.event("job cancelled", Request.Subject, {});
    DecisionNeeded = true;
    storeChangedJobs();
    StateJournal.whenCommitted(Guard.wrap([this, Member, Session, Request] {
      answerQuery(Member, Session, Request);
    }));
    return;
  }
  answerQuery(Member, Session, Request);
}

void Leader::answerQuery(const std::string &Member, const std::string &Session,
                         const Query &Request) {
  const auto Found = Members.find(Member);
  if (Found == Members.end() || Found->second.Session != Session)
    return;
  QueryAnswer Answer{Request.Tag, jobs::JobView::Unknown, 0};
  if (Request.Kind == QueryKind::Pending)
    Answer.Count = Scheduler.pending(Request.Subject);
  else
    Answer.View = Scheduler.view(Request.Subject);
  Found->second.Outgoing.Answers.push_back(Answer);
}

// Workers.

void Leader::onWorkerReport(MemberState &From, const WorkerReport &Report) {
  const auto Found = WorkerStates.find(Report.Incarnation.Id);
  if (Found == WorkerStates.end() ||
      Found->second.Info.Incarnation != Report.Incarnation ||
      Found->second.Token != Report.Token ||
      Found->second.Member != From.Info.Name)
    return; // A report of an earlier session.
  WorkerState &Worker = Found->second;
  const TimePoint Now = Deps.Time.now();
  DecisionNeeded = true;
  switch (Report.Event) {
  case WorkerEvent::Synced:
    Worker.Resolved = true;
    Scheduler.syncWorker(Report.Incarnation, Report.Running, Report.Ended, Now);
    Deps.Log.event("worker synced", Report.Incarnation.Id,
                   {{"member", From.Info.Name},
                    {"token", std::to_string(Report.Token)},
                    {"running", std::to_string(Report.Running.size())},
                    {"ended", std::to_string(Report.Ended.size())}});
    ensureInRoster(Report, Worker);
    acknowledge(Report);
    return;
  case WorkerEvent::Ended:
    for (const jobs::ActiveRun &Run : Report.Running)
      Scheduler.runProgressed(Report.Incarnation, Run);
    for (const jobs::EndedRun &End : Report.Ended) {
      Scheduler.runEnded(Report.Incarnation, End, Now);
      Deps.Log.event(
          "run ended", End.Task,
          {{"run", std::to_string(End.Run)},
           {"worker", Report.Incarnation.Id},
           {"how", std::string(enumName(jobs::EndKindNames, End.Kind))}});
    }
    acknowledge(Report);
    return;
  case WorkerEvent::Reachable:
    Scheduler.setReachable(Report.Incarnation, Worker.InRoster);
    return;
  case WorkerEvent::Unreachable:
    Scheduler.setReachable(Report.Incarnation, false);
    return;
  case WorkerEvent::LeaseExpired:
    Worker.Resolved = true;
    Scheduler.expireWorkerLease(Report.Incarnation);
    Scheduler.setReachable(Report.Incarnation, false);
    return;
  case WorkerEvent::Fenced:
    // The cause is an order of a later term or a delayed call of an earlier
    // session of this term. A new token resolves both cases.
    Scheduler.markUnsynced(Report.Incarnation);
    From.Workers.erase(Report.Incarnation.Id);
    Worker.Member.clear();
    return;
  case WorkerEvent::ProcessEnded:
    // All runs of this process have ended with it. The registry will contain
    // the next process once that has registered.
    Worker.Resolved = true;
    Scheduler.expireWorkerLease(Report.Incarnation);
    Scheduler.setReachable(Report.Incarnation, false);
    From.Workers.erase(Report.Incarnation.Id);
    Worker.Member.clear();
    Worker.AssignAfter = Now + EndedProcessDelay;
    return;
  }
}

void Leader::ensureInRoster(const WorkerReport &Report, WorkerState &Worker) {
  if (Worker.InRoster)
    return;
  // The worker is not used before the roster contains it, because the next
  // leader must know about it.
  Scheduler.setReachable(Report.Incarnation, false);
  if (Worker.RosterPending)
    return;
  Worker.RosterPending = true;
  StateJournal.put(
      RosterTable, Report.Incarnation.Id,
      encode(std::vector<RosterEntry>{
          {Report.Incarnation, Worker.Info.Address, Worker.Info.Zone}}));
  StateJournal.whenCommitted(
      Guard.wrap([this, Incarnation = Report.Incarnation] {
        const auto Found = WorkerStates.find(Incarnation.Id);
        if (Found == WorkerStates.end() ||
            Found->second.Info.Incarnation != Incarnation)
          return;
        Found->second.InRoster = true;
        Found->second.RosterPending = false;
        Scheduler.setReachable(Incarnation, true);
        DecisionNeeded = true;
      }));
}

void Leader::acknowledge(const WorkerReport &Report) {
  if (Report.Ended.empty())
    return;
  std::int64_t UpTo = 0;
  for (const jobs::EndedRun &End : Report.Ended)
    UpTo = std::max(UpTo, End.Number);
  storeChangedJobs();
  StateJournal.whenCommitted(Guard.wrap(
      [this, Incarnation = Report.Incarnation, Token = Report.Token, UpTo] {
        const auto Found = WorkerStates.find(Incarnation.Id);
        if (Found == WorkerStates.end() || Found->second.Token != Token)
          return;
        if (MemberState *To = supervisorOf(Incarnation))
          To->Outgoing.Acks.push_back({Incarnation, UpTo});
      }));
}

void Leader::storeChangedJobs() {
  const std::set<std::string> Changed = Scheduler.takeChanged();
  for (const std::string &Id : Changed) {
    const jobs::Job *Job = Scheduler.find(Id);
    if (!Job)
      continue;
    const jobs::JobProgress Progress = Job->progress();
    if (Progress.Phase != jobs::JobPhase::Active) {
      StateJournal.write({{JobTable, Id, std::nullopt},
                          {ProgressTable, Id, std::nullopt},
                          {EndedTable, Id, encodeEndPhase(Progress.Phase)}});
      Deps.Log.event(
          "job ended", Id,
          {{"phase",
            std::string(enumName(jobs::JobPhaseNames, Progress.Phase))},
           {"after_ms",
            std::to_string((Deps.Time.now() - Job->AcceptedAt).count())},
           {"allowed_ms",
            std::to_string((Job->Due - Job->AcceptedAt).count())}});
    }
    if (Progress.Phase != jobs::JobPhase::Active)
      StateJournal.whenCommitted(
          Guard.wrap([this, Id] { Scheduler.markPhaseStored(Id); }));
    else
      StateJournal.put(ProgressTable, Id, encode(Progress));
  }
}

// Members.

void Leader::checkMembers() {
  std::vector<std::string> Silent;
  for (const auto &[Name, Member] : Members)
    if (isLost(Member))
      Silent.push_back(Name);
  for (const std::string &Name : Silent)
    removeMember(Name);
}

bool Leader::isLost(const MemberState &Member) const {
  const TimePoint Now = Deps.Time.now();
  return Now - Member.LastReceivedAt > MemberTimeout ||
         Member.Sender->isRejected() ||
         Now - Member.Sender->lastAckedSend() > MemberAckTimeout;
}

Duration Leader::messageIntervalFor(const MemberState &To) const {
  if (Members.size() <= SmallCellSize)
    return Deps.Times.MinMessageInterval;
  const bool IsSupervisor = Supervisors.contains(To.Info.Name);
  const std::size_t GroupIntervals =
      IsSupervisor ? Supervisors.size() / SupervisorsPerInterval
                   : (Members.size() - Supervisors.size()) / OthersPerInterval;
  const double Interval = double(Deps.Times.MinMessageInterval.count()) *
                          double(std::max<std::size_t>(GroupIntervals, 1)) *
                          Pacer.factor();
  return std::min(Duration(Duration::rep(Interval)),
                  IsSupervisor ? MaxSupervisorInterval
                               : Deps.Times.KeepAliveInterval);
}

void Leader::updateSupervisors() {
  std::vector<SupervisorCandidate> Eligible;
  double Largest = Record.Instance.CpuShare;
  for (const auto &[Name, Member] : Members) {
    if (Member.Leaving || !Member.Sender->isEstablished())
      continue;
    Largest = std::max(Largest, Member.Info.CpuShare);
    if (Name != Record.Instance.Name)
      Eligible.push_back({Name, Member.Info.CpuShare});
  }
  const bool Small = Eligible.size() <= MinSupervisors;
  Supervisors = selectSupervisors(std::move(Eligible), WorkerStates.size());
  // In a small cell the leader's own instance supervises workers, too.
  if (Small)
    Supervisors.insert(Record.Instance.Name);
  StateJournal.setLargestCpuShare(Largest);
}

void Leader::removeMember(const std::string &Name) {
  const auto Found = Members.find(Name);
  const TimePoint LastReceived = Found->second.LastReceivedAt;
  Deps.Log.event(
      "member lost", Name,
      {{"silent_ms", std::to_string((Deps.Time.now() - LastReceived).count())},
       {"workers", std::to_string(Found->second.Workers.size())}});
  for (const std::string &Id : Found->second.Workers) {
    WorkerState &Worker = WorkerStates.at(Id);
    Worker.Member.clear();
    Worker.MaxLeaseEnd =
        std::max(Worker.MaxLeaseEnd, LastReceived + Deps.Times.MemberLease +
                                         Deps.Times.WorkerLease +
                                         Deps.Times.ClockSkewMargin);
    Scheduler.markUnsynced(Worker.Info.Incarnation);
  }
  for (const std::string &Step : Dispatcher.remove(Name))
    Scheduler.adviceFailed(Step);
  Members.erase(Found);
  DecisionNeeded = true;
}

double Leader::loadOf(const MemberState &Member,
                      std::size_t MoreWorkers) const {
  double Share = Member.Info.CpuShare;
  if (!Supervisors.contains(Member.Info.Name))
    Share = 0; // Its workers are moved to supervisors.
  if (Member.Info.Name == Record.Instance.Name)
    Share *= LeaderSupervisionWeight;
  return double(Member.Workers.size() + MoreWorkers) /
         std::max(Share, MinCpuShare);
}

// Members join one after another, so the first ones initially get too many
// workers, in particular the leader's own instance.
void Leader::rebalanceWorkers() {
  const TimePoint Now = Deps.Time.now();
  if (Now < NextRebalance)
    return;
  NextRebalance = Now + RebalanceInterval;
  for (int Moved = 0; Moved < MaxMovesPerRebalance; ++Moved) {
    const auto Busiest = std::max_element(
        Members.begin(), Members.end(), [this](const auto &A, const auto &B) {
          return loadOf(A.second, 0) < loadOf(B.second, 0);
        });
    if (Busiest == Members.end() || !moveOneWorker(Busiest->second))
      return;
    assignWorkers();
  }
}

// Releases the worker of a member whose move reduces the load most; returns
// false if no move is worth its cost.
bool Leader::moveOneWorker(MemberState &From) {
  WorkerState *Chosen = nullptr;
  double BestGain = MinRebalanceGain;
  for (const std::string &Id : From.Workers) {
    WorkerState &Worker = WorkerStates.at(Id);
    const jobs::Worker *Host = Scheduler.worker(Id);
    // A new session cannot read the clock of an unresponsive worker, so it
    // would have to wait for the whole lease again.
    const bool Answers = Host && Host->isSynced() && Host->isReachable();
    MemberState *Other = Answers ? selectSupervisor(Worker) : nullptr;
    if (!Other || Other == &From)
      continue;
    const bool LeavesZone = From.Info.Zone == Worker.Info.Zone &&
                            Other->Info.Zone != Worker.Info.Zone;
    const double Gain =
        loadOf(From, 0) /
        (loadOf(*Other, 1) * (LeavesZone ? CrossZoneLoadFactor : 1));
    if (Gain <= BestGain)
      continue;
    BestGain = Gain;
    Chosen = &Worker;
  }
  if (!Chosen)
    return false;
  Chosen->MaxLeaseEnd =
      std::max(Chosen->MaxLeaseEnd, Deps.Time.now() + Deps.Times.WorkerLease +
                                        Deps.Times.ClockSkewMargin);
  Scheduler.markUnsynced(Chosen->Info.Incarnation);
  releaseFromMember(Chosen->Info.Incarnation.Id);
  return true;
}

Leader::MemberState *Leader::selectSupervisor(const WorkerState &Worker) {
  MemberState *Best = nullptr;
  double BestLoad = 0;
  for (auto &[Name, Candidate] : Members) {
    if (Candidate.Leaving || !Candidate.Sender->isEstablished() ||
        !Supervisors.contains(Name))
      continue;
    double Load = loadOf(Candidate, 1);
    // Traffic between zones costs time and money, so a member in another zone
    // is selected only if its load is far lower.
    if (Candidate.Info.Zone != Worker.Info.Zone)
      Load *= CrossZoneLoadFactor;
    if (!Best || Load < BestLoad) {
      Best = &Candidate;
      BestLoad = Load;
    }
  }
  return Best;
}

void Leader::assignWorkers() {
  const TimePoint Now = Deps.Time.now();
  for (auto &[Id, Worker] : WorkerStates) {
    if (!Worker.Member.empty() || Now < Worker.AssignAfter)
      continue;
    MemberState *To = selectSupervisor(Worker);
    if (!To)
      return;
    Worker.Member = To->Info.Name;
    Worker.Token = ++LastToken;
    To->Workers.insert(Id);
    const Duration Assumed = std::max(Worker.MaxLeaseEnd - Now, Duration{0});
    To->Outgoing.Assigned.push_back({Worker.Info.Incarnation,
                                     Worker.Info.Address, Worker.Token,
                                     std::int64_t(Assumed.count())});
  }
}

Leader::MemberState *
Leader::supervisorOf(const jobs::WorkerIncarnation &Incarnation) {
  const auto Found = WorkerStates.find(Incarnation.Id);
  if (Found == WorkerStates.end() ||
      Found->second.Info.Incarnation != Incarnation)
    return nullptr;
  const auto Member = Members.find(Found->second.Member);
  return Member == Members.end() ? nullptr : &Member->second;
}

// Scheduling.

void Leader::decide() {
  const TimePoint Now = Deps.Time.now();
  if (Now < NextDecision ||
      (!DecisionNeeded && Now - LastDecision < MaxDecisionInterval))
    return;
  LastDecision = Now;
  DecisionNeeded = false;
  const jobs::Decisions Result = Scheduler.decide(Now, Dispatcher.budget(Now));
  const TimePoint Ended = Deps.Time.now();
  NextDecision =
      Ended + std::max(MinDecisionInterval, (Ended - Now) * RoundPauseFactor);
  dispatch(Result);
}

void Leader::dispatch(const jobs::Decisions &Result) {
  for (const jobs::StopCommand &Order : Result.Stops)
    if (MemberState *To = supervisorOf(Order.Worker))
      To->Outgoing.Stops.push_back(Order);
  for (const jobs::AdviceRequest &Request : Result.Advice)
    dispatchAdvice(Request);
  if (Result.Starts.empty())
    return;
  // The placements are stored before any order is sent, so that the next leader
  // knows on which worker each task may run.
  storeChangedJobs();
  StateJournal.whenCommitted(Guard.wrap([this, Starts = Result.Starts] {
    for (const jobs::StartCommand &Order : Starts)
      sendStart(Order);
  }));
}

void Leader::sendStart(const jobs::StartCommand &Order) {
  MemberState *To = supervisorOf(Order.Worker);
  const jobs::Worker *Host = Scheduler.worker(Order.Worker.Id);
  const bool Usable =
      To && Host && Host->isSynced() && StateJournal.isLeaseValid();
  if (Usable && Scheduler.isCurrent(Order)) {
    To->Outgoing.Starts.push_back(Order);
    return;
  }
  // The order was never sent, so the run was not started. If the worker's lists
  // must be read again, they will confirm it.
  Scheduler.startRefused(Order.Worker, Order.Task, Order.Run,
                         jobs::StartRefusal::Expired, Deps.Time.now());
  DecisionNeeded = true;
}

void Leader::dispatchAdvice(const jobs::AdviceRequest &Request) {
  const auto Name = Dispatcher.assign(Request, Deps.Time.now());
  if (!Name) {
    Scheduler.adviceFailed(Request.Step);
    return;
  }
  Deps.Log.event("advice asked", Request.Step,
                 {{"workers", std::to_string(Request.Workers.size())},
                  {"cost_ms", std::to_string(int(Request.CostMs))},
                  {"member", *Name}});
  Members.at(*Name).Outgoing.Advice.push_back(Request);
}

void Leader::onAdviceAnswer(MemberState &From, const AdviceAnswer &Answer) {
  const TimePoint Now = Deps.Time.now();
  Dispatcher.complete(From.Info.Name, Answer.Step, Now);
  DecisionNeeded = true;
  if (!Answer.Answered) {
    Deps.Log.event("advice call failed", Answer.Step,
                   {{"member", From.Info.Name}});
    Scheduler.adviceFailed(Answer.Step);
    return;
  }
  Scheduler.adviceArrived(Answer.Step, Answer.RequestedWorkers, Answer.Approved,
                          Now);
}

void Leader::logLoad(TimePoint Now) {
  if (Now < NextLoadLog)
    return;
  NextLoadLog = Now + LoadLogInterval;
  Deps.Log.event("load", Record.Instance.Name,
                 {{"waiting", Scheduler.summary()},
                  {"jobs", std::to_string(Scheduler.activeJobs())},
                  {"advice_calls", std::to_string(Dispatcher.openCalls())},
                  {"mails_per_s", std::to_string(int(Pacer.rate()))},
                  {"gap_factor", std::to_string(Pacer.factor())},
                  {"members", std::to_string(Members.size())}});
}

void Leader::removeExpiredJobs(TimePoint Now) {
  if (Now < NextJobExpiry)
    return;
  NextJobExpiry = Now + JobExpiryInterval;
  for (const std::string &Id :
       Scheduler.endedBefore(Now - Deps.Times.StatusRetention)) {
    Scheduler.forget(Id);
    StateJournal.remove(EndedTable, Id);
  }
}

void Leader::pump() {
  if (StateJournal.isDeposed())
    return;
  const TimePoint Now = Deps.Time.now();
  // Restoring jobs requires the settings of their queues.
  if (PolicyKnown)
    Loader.pump();
  Registry.pump();
  // Without a valid lease no orders or answers are sent. The journal keeps
  // trying to renew the lease.
  if (StateJournal.isLeaseValid()) {
    checkMembers();
    if (Loaded && RegistryRead) {
      if (Now >= NextMaintenance) {
        NextMaintenance = Now + MaintenanceInterval;
        updateSupervisors();
        if (shouldTransferLeadership()) {
          stepDown();
          return;
        }
        removeUnregistered();
        for (const std::string &Step : Dispatcher.expireCalls(Now))
          Scheduler.adviceFailed(Step);
        removeExpiredJobs(Now);
        logLoad(Now);
      }
      if (Now - TermStartedAt >= JoinPeriod) {
        assignWorkers();
        rebalanceWorkers();
      }
      decide();
      storeChangedJobs();
    }
    for (auto &[Name, Member] : Members)
      Member.Sender->pump();
  }
  StateJournal.pump();
}

} // namespace apricotwing::cell
