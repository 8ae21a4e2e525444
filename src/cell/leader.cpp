#include "cell/leader.h"

#include "cell/caretakers.h"
#include "cell/codec.h"

#include <algorithm>
#include <utility>

namespace apricotwing::cell {

namespace {

/// Least time between two calls for the workers' registry, of which each
/// answer holds the rows of all that wrote since.
constexpr Duration RegistryGap{250};
constexpr Duration RegistryWait{2000};

/// An entry that was missing for this long is not coming back by itself.
constexpr Duration UnlistedGrace{2500};

/// A member that was silent for this long loses its workers to others.
constexpr Duration MemberSilence{1000};

/// The same for a member that still sends mail, while its receipts are late: a
/// busy leader works them off late itself.
constexpr Duration ReceiptPatience{2500};

/// Up to SmallCell members send at Timing::MailGap: wider gaps cost their quick
/// jobs more than they saved. In larger cells the gap grows with the number of
/// members of each kind and with the load; mostly those send that look after
/// workers.
constexpr std::size_t SmallCell = 9;
constexpr std::size_t CaretakersPerGap = 4;
constexpr std::size_t OthersPerGap = 5;

/// Starts and ends wait for the mail of caretakers, so theirs is sent more
/// often than a sign of life.
constexpr Duration LongestCaretakerGap{80};

/// The leader hands its office to a member with so many times its processor
/// time, once that has been a member for HandOverAfter.
constexpr double HandOverFactor = 1.5;
constexpr Duration HandOverAfter{2000};
constexpr Duration HandOverStoreAge{1000};

/// Least time between two rounds of decisions, so that events that come
/// together are decided on together.
constexpr Duration DecisionGap{4};

/// Rounds are held at least this often, as tickets and pauses run out.
constexpr Duration DecisionPeriod{100};

/// How often ended jobs are looked through for those to forget.
constexpr Duration ForgetPeriod{5000};

/// How often members, registry and advice calls are looked through.
constexpr Duration SweepPeriod{100};

/// How often the leader logs what waits.
constexpr Duration LoadLinePeriod{2000};

/// Pause before a worker whose process had ended is called again, if the
/// registry still names that life.
constexpr Duration DeadWorkerPause{1500};

/// Covers an answer that was on its way when the store failed.
constexpr Duration StoreAnswerMargin{60};

/// Weight of the leader's own instance in the sharing out of workers; it has
/// other work.
constexpr double OwnShareOfWorkers = 0.5;

/// A round that took long is followed by a pause of so many times its length,
/// so that mail and commits get the larger part of the processor.
constexpr int RoundPause = 2;

/// Load of a member of another zone than the worker's is counted so many times.
constexpr double OtherZoneFactor = 4;

/// Stands for the share of an instance that tells none.
constexpr double LeastCpuShare = 0.01;

/// Workers change their member if that lessens the load by this factor. Each
/// change makes the worker's lists be read anew, which takes some 20 ms.
constexpr double LeastBalanceGain = 1.3;
constexpr Duration BalancePeriod{250};
constexpr int MaxMovesPerBalance = 12;

/// After taking office, members get this long to join before workers are
/// given out; most join within two mails.
constexpr Duration JoinTime{60};

/// Tokens that one term may give out.
constexpr std::int64_t TokensPerTerm = 1'000'000;

} // namespace

Leader::Leader(const Ports &Use, const LeaderRecord &Own, std::int64_t Version,
               TimePoint SentAt)
    : Use(Use), Own(Own),
      Writer(Use.Store, Use.Time, Use.Times, Own, Version, SentAt),
      Scheduler(Own.Term), Pacer(Own.Instance.CpuShare),
      Registry(Use.Store, Use.Time, Use.Records.workerTable(), RegistryGap,
               RegistryWait,
               {[this](const std::vector<StoredRow> &Rows) {
                  registryReplaced(Rows);
                },
                [this](const std::vector<StoredRow> &Rows) {
                  registryChanged(Rows);
                }}),
      State(Use.Store, Use.Time, Use.Log,
            {[this](const StoredState &Stored) { restoreJobs(Stored); },
             [this](const std::string &Id, jobs::JobPhase Phase) {
               restoreEnded(Id, Phase);
             },
             [this] { serveDeferred(); }}),
      LastToken(Own.Term * TokensPerTerm), TookOfficeAt(Use.Time.now()) {
  Use.Log.event("leading", Own.Instance.Name,
                {{"term", std::to_string(Own.Term)},
                 {"version", std::to_string(Version)}});
}

void Leader::setPolicy(const jobs::ClusterPolicy &Next) {
  Scheduler.setPolicy(Next);
  PolicyKnown = PolicyKnown || Next.Version > 0;
  Dirty = true;
}

// Takeover.

void Leader::restoreJobs(const StoredState &Stored) {
  const TimePoint Now = Use.Time.now();
  // Workers first, as the jobs' placements refer to them.
  for (const RosterEntry &Entry : Stored.Roster) {
    Care &Known = Cares[Entry.Life.Id];
    if (Known.Info.Life.StartedUnixMs > Entry.Life.StartedUnixMs)
      continue; // The registry names a later life.
    if (!Known.Listed) {
      Known.Info.Life = Entry.Life;
      Known.Info.Address = Entry.Address;
      Known.Info.Zone = Entry.Zone;
      Known.Info.Draining = true;
      Known.UnlistedSince = Now;
      Scheduler.updateWorker(Known.Info);
    }
    Known.InRoster = true;
  }
  // A member of the last leader may have extended leases for as long as its
  // own lasted, and that was granted before the last leader's office ended.
  for (auto &[Id, Entry] : Cares)
    Entry.LeaseBound = TookOfficeAt + Use.Times.MemberLease +
                       Use.Times.WorkerLease + Use.Times.LeaderMargin;
  const std::int64_t Today = Use.Calendar.unixMs();
  for (const auto &[Id, Spec] : Stored.Jobs) {
    const auto Progress = Stored.Progress.find(Id);
    const Duration Age(std::max<std::int64_t>(Today - Spec.AcceptedUnixMs, 0));
    Scheduler.restore(Spec,
                      Progress == Stored.Progress.end() ? jobs::JobProgress{}
                                                        : Progress->second,
                      Age, Now);
  }
  Use.Log.event("state loaded", Own.Instance.Name,
                {{"term", std::to_string(Own.Term)},
                 {"jobs", std::to_string(Stored.Jobs.size())},
                 {"roster", std::to_string(Stored.Roster.size())},
                 {"after_ms", std::to_string((Now - TookOfficeAt).count())}});
  Loaded = true;
  Dirty = true;
}

void Leader::restoreEnded(const std::string &Id, jobs::JobPhase Phase) {
  jobs::JobSpec Ended;
  Ended.Id = Id;
  jobs::JobProgress Progress;
  Progress.Phase = Phase;
  Scheduler.restore(Ended, Progress, Duration{0}, Use.Time.now());
}

void Leader::serveDeferred() {
  Use.Log.event(
      "ended jobs loaded", Own.Instance.Name,
      {{"term", std::to_string(Own.Term)},
       {"after_ms", std::to_string((Use.Time.now() - TookOfficeAt).count())}});
  for (const auto &Call : std::exchange(Deferred, {}))
    Call();
}

const Leader::MemberState *Leader::largestMember() const {
  const MemberState *Best = nullptr;
  for (const auto &[Name, Entry] : Members) {
    const bool Fit = Name != Own.Instance.Name && !Entry.Leaving &&
                     Entry.Sender->isConfirmed();
    if (Fit && (!Best || Entry.Info.CpuShare > Best->Info.CpuShare))
      Best = &Entry;
  }
  return Best;
}

// Among equal members the first that notices takes over; to wait for a certain
// one would only cost time.
void Leader::stepDown() {
  const MemberState *Next = largestMember();
  const bool Outstanding =
      Next && std::any_of(Members.begin(), Members.end(), [&](const auto &One) {
        return One.second.Info.CpuShare * HandOverFactor <= Next->Info.CpuShare;
      });
  const std::string Successor = Outstanding ? Next->Info.Name : std::string();
  Use.Log.event("stepping down", Own.Instance.Name,
                {{"term", std::to_string(Own.Term)}, {"for", Successor}});
  Writer.stepDown(Successor);
}

// The leader needs more processor time than any member. Load: a cell of
// instances of unequal size whose small ones came first.
bool Leader::shouldHandOver() const {
  const TimePoint Now = Use.Time.now();
  const MemberState *Next = largestMember();
  return Loaded && Next &&
         Next->Info.CpuShare >= Own.Instance.CpuShare * HandOverFactor &&
         Now - Next->JoinedAt >= HandOverAfter &&
         Now - TookOfficeAt >= HandOverAfter &&
         Now - Next->StoreAnsweredAt < HandOverStoreAge;
}

bool Leader::shouldResign() const {
  const Duration Failing = Writer.failingFor();
  if (Failing < Use.Times.ResignAfter)
    return false;
  // In an outage for all, no member has had an answer since the first failure.
  const TimePoint Since = Use.Time.now() - Failing + StoreAnswerMargin;
  return std::any_of(Members.begin(), Members.end(), [&](const auto &Entry) {
    return Entry.first != Own.Instance.Name && !Entry.second.Leaving &&
           Entry.second.StoreAnsweredAt > Since;
  });
}

// The registry of workers.

void Leader::registryReplaced(const std::vector<StoredRow> &Rows) {
  std::set<std::string> Named;
  for (const StoredRow &Row : Rows) {
    registryRow(Row);
    Named.insert(Row.Key);
  }
  for (auto &[Id, Entry] : Cares)
    if (Entry.Listed && !Named.contains(Id))
      unlist(Entry);
  RegistryRead = true;
  Dirty = true;
}

void Leader::registryChanged(const std::vector<StoredRow> &Rows) {
  for (const StoredRow &Row : Rows)
    registryRow(Row);
}

void Leader::registryRow(const StoredRow &Row) {
  const auto Found = Cares.find(Row.Key);
  if (Row.Deleted) {
    if (Found != Cares.end() && Found->second.Listed)
      unlist(Found->second);
    return;
  }
  const auto Info = Use.Records.decodeWorker(Row);
  if (!Info)
    return; // Another writer's entry names no worker to use.
  if (Found != Cares.end() && Found->second.Listed &&
      Found->second.Info == *Info)
    return;
  if (Found != Cares.end() &&
      Found->second.Info.Life.StartedUnixMs > Info->Life.StartedUnixMs)
    return; // An old entry of an earlier life.
  if (Found != Cares.end() && Found->second.Info.Life != Info->Life) {
    Use.Log.event("worker restarted", Row.Key,
                  {{"born", std::to_string(Info->Life.StartedUnixMs)}});
    forgetWorker(Row.Key);
  }
  Care &Entry = Cares[Row.Key];
  if (Entry.Info.Draining != Info->Draining)
    Use.Log.event("worker drain state", Row.Key,
                  {{"draining", Info->Draining ? "1" : "0"}});
  Entry.Info = *Info;
  Entry.Listed = true;
  Scheduler.updateWorker(*Info);
  Dirty = true;
}

void Leader::unlist(Care &Entry) {
  Entry.Listed = false;
  Entry.UnlistedSince = Use.Time.now();
  Use.Log.event("worker left the registry", Entry.Info.Life.Id, {});
}

void Leader::expireUnlisted() {
  const TimePoint Now = Use.Time.now();
  std::vector<std::string> Gone;
  for (auto &[Id, Entry] : Cares) {
    if (Entry.Listed || Now - Entry.UnlistedSince < UnlistedGrace)
      continue;
    if (!Entry.Info.Draining) {
      Entry.Info.Draining = true;
      Scheduler.updateWorker(Entry.Info);
    }
    const jobs::Worker *Known = Scheduler.worker(Id);
    const bool Empty = Entry.Settled && (!Known || Known->runs().empty());
    if (Empty && (!Known || !Known->isSynced() || !Known->isReachable()))
      Gone.push_back(Id);
  }
  for (const std::string &Id : Gone) {
    Use.Log.event("worker gone", Id, {});
    forgetWorker(Id);
  }
}

void Leader::forgetWorker(const std::string &Id) {
  const auto Found = Cares.find(Id);
  if (Found == Cares.end())
    return;
  releaseFromMember(Id);
  Scheduler.removeWorker(Found->second.Info.Life);
  if (Found->second.InRoster || Found->second.RosterPending)
    Writer.remove(RosterTable, Id);
  Cares.erase(Found);
  Dirty = true;
}

void Leader::releaseFromMember(const std::string &Id) {
  Care &Entry = Cares.at(Id);
  const auto Member = Members.find(Entry.Member);
  if (Member != Members.end()) {
    Member->second.Workers.erase(Id);
    Member->second.Outgoing.Dismissed.push_back(Entry.Info.Life);
  }
  Entry.Member.clear();
}

// Mail.

std::optional<Receipt> Leader::receive(const Envelope &Mail) {
  if (Writer.isDeposed() || Mail.Term != Own.Term)
    return Receipt{false};
  // Without authority nothing is promised; the member sends the mail again.
  if (!Writer.isLeaseValid())
    return std::nullopt;
  const TimePoint Now = Use.Time.now();
  auto Found = Members.find(Mail.From.Name);
  const bool IsOpen =
      Found != Members.end() && Found->second.Session == Mail.Session;
  if (!IsOpen) {
    if (Mail.Sequence != 1)
      return Receipt{false};
    if (Found != Members.end())
      closeMember(Mail.From.Name);
    MemberState &Fresh = Members[Mail.From.Name];
    Fresh.Info = Mail.From;
    Fresh.Session = Mail.Session;
    Fresh.JoinedAt = Now;
    Fresh.Sender = std::make_unique<MailSender>(
        Use.Peers, Use.Time, Use.Times, Mail.From.Address,
        MailSender::Source{[&Fresh] { return !Fresh.Outgoing.isEmpty(); },
                           [this, &Fresh](std::int64_t Sequence) {
                             return compose(Fresh, Sequence);
                           }});
    Found = Members.find(Mail.From.Name);
    Desk.add(Mail.From.Name, Mail.From.CpuShare);
    Use.Log.event("member joined", Mail.From.Name,
                  {{"session", Mail.Session}, {"zone", Mail.From.Zone}});
  }
  MemberState &From = Found->second;
  From.LastHeard = Now;
  Pacer.note(Now);
  switch (From.Receiver.evaluate(Mail.Sequence)) {
  case MailReceiver::Verdict::OutOfOrder:
    return Receipt{false};
  case MailReceiver::Verdict::Repeated:
    return Receipt{true};
  case MailReceiver::Verdict::New:
    break;
  }
  if (!Mail.ToLeader)
    return Receipt{true};
  const MemberMail &Content = *Mail.ToLeader;
  if (Content.StoreAnswerAgeMs >= 0)
    From.StoreAnsweredAt = Now - Duration(Content.StoreAnswerAgeMs);
  for (const Submission &Handed : Content.Submissions)
    submit(From, Handed);
  for (const WorkerReport &Report : Content.Workers)
    workerReported(From, Report);
  for (const RefusedStart &Refused : Content.Refused) {
    Scheduler.startRefused(Refused.Life, Refused.Task, Refused.Run,
                           Refused.Reason, Now);
    Dirty = true;
  }
  for (const AdviceAnswer &Answer : Content.Advice)
    adviceAnswered(From, Answer);
  for (const Query &Asked : Content.Queries)
    query(From, Asked);
  if (Content.Leaving && !From.Leaving) {
    From.Leaving = true;
    for (const std::string &Step : Desk.remove(From.Info.Name))
      Scheduler.adviceFailed(Step);
    Use.Log.event("member leaving", From.Info.Name, {});
    const std::set<std::string> Workers = From.Workers;
    for (const std::string &Id : Workers) {
      Cares.at(Id).LeaseBound =
          std::max(Cares.at(Id).LeaseBound,
                   Now + Use.Times.WorkerLease + Use.Times.LeaderMargin);
      Scheduler.markUnsynced(Cares.at(Id).Info.Life);
      releaseFromMember(Id);
    }
  }
  storeChanges();
  return Receipt{true};
}

std::string Leader::compose(MemberState &To, std::int64_t Sequence) {
  Pacer.note(Use.Time.now());
  Envelope Mail;
  Mail.Session = To.Session;
  Mail.Sequence = Sequence;
  Mail.Term = Own.Term;
  Mail.FromLeader = true;
  Mail.From = Own.Instance;
  const Duration Gap = mailGapFor(To);
  if (Gap != To.ToldGap)
    To.Outgoing.MailGapMs = Gap.count();
  To.ToldGap = Gap;
  To.Sender->setGap(Gap);
  Mail.ToMember = std::exchange(To.Outgoing, LeaderMail{});
  return encode(Mail);
}

// Callers' calls.

void Leader::submit(MemberState &From, const Submission &Handed) {
  const std::string &Id = Handed.Job.Id;
  const std::string Member = From.Info.Name;
  const std::string Session = From.Session;
  const std::uint64_t Tag = Handed.Tag;
  const auto Answer = [this, Member, Session, Tag] {
    submitted(Member, Session, Tag, SubmitResult::Accepted);
  };
  if (!State.isDone()) {
    // Whether the job is known is clear only once the state is loaded.
    Deferred.push_back([this, Member, Session, Handed] {
      const auto Found = Members.find(Member);
      if (Found != Members.end() && Found->second.Session == Session)
        submit(Found->second, Handed);
    });
    return;
  }
  if (const auto Waiting = Storing.find(Id); Waiting != Storing.end()) {
    Waiting->second.push_back(Answer);
    return;
  }
  if (Scheduler.find(Id)) {
    Answer();
    return;
  }
  if (const auto Problem = jobs::validationError(Handed.Job)) {
    Use.Log.event("job malformed", Id, {{"problem", *Problem}});
    From.Outgoing.Submitted.push_back({Tag, SubmitResult::Malformed, 0});
    return;
  }
  const jobs::Queue *Terms = Scheduler.queue(Handed.Job.Queue);
  const jobs::AdmissionResult Judged =
      Terms ? Gate.evaluate(
                  Handed.Job, *Terms, Scheduler.account(Handed.Job.Account),
                  Scheduler.estimatedWait(Terms->Priority), Use.Time.now())
            : jobs::AdmissionResult{};
  if (Judged.RetryAfter) {
    Use.Log.event(
        "job refused", Id,
        {{"queue", Handed.Job.Queue},
         {"account", Handed.Job.Account},
         {"beyond_share", Judged.BeyondShare ? "1" : "0"},
         {"wait_ms",
          std::to_string(Scheduler.estimatedWait(Terms->Priority).count())}});
    From.Outgoing.Submitted.push_back(
        {Tag, SubmitResult::Busy, Judged.RetryAfter->count()});
    return;
  }
  Storing[Id].push_back(Answer);
  Scheduler.add(Handed.Job, Judged.BeyondShare, Use.Time.now());
  Dirty = true;
  Writer.put(JobTable, Id, encode(Handed.Job));
  Writer.whenStored(Life.guard([this, Job = Handed.Job] {
    Use.Log.event("job accepted", Job.Id,
                  {{"queue", Job.Queue},
                   {"account", Job.Account},
                   {"steps", std::to_string(Job.Steps.size())},
                   {"tasks", std::to_string(Job.Steps.front().Count)}});
    Dirty = true;
    const auto Waiting = Storing.extract(Job.Id);
    if (!Waiting.empty())
      for (const auto &Then : Waiting.mapped())
        Then();
  }));
}

void Leader::submitted(const std::string &Member, const std::string &Session,
                       std::uint64_t Tag, SubmitResult Result) {
  const auto Found = Members.find(Member);
  if (Found != Members.end() && Found->second.Session == Session)
    Found->second.Outgoing.Submitted.push_back({Tag, Result, 0});
}

void Leader::query(MemberState &From, const Query &Asked) {
  const std::string Member = From.Info.Name;
  const std::string Session = From.Session;
  const auto AskAgain = [this, Member, Session, Asked] {
    const auto Found = Members.find(Member);
    if (Found != Members.end() && Found->second.Session == Session)
      query(Found->second, Asked);
  };
  // A job that has not ended is known before all others.
  if (!Loaded || (!State.isDone() && !Scheduler.find(Asked.Subject))) {
    Deferred.push_back(AskAgain);
    return;
  }
  // A job that is being stored is about to be known.
  if (Storing.contains(Asked.Subject)) {
    Storing[Asked.Subject].push_back(AskAgain);
    return;
  }
  if (Asked.Kind == QueryKind::Cancel && Scheduler.find(Asked.Subject)) {
    Scheduler.cancel(Asked.Subject, Use.Time.now());
    Use.Log.event("job cancelled", Asked.Subject, {});
    Dirty = true;
    storeChanges();
    Writer.whenStored(Life.guard([this, Member, Session, Asked] {
      answerQuery(Member, Session, Asked);
    }));
    return;
  }
  answerQuery(Member, Session, Asked);
}

void Leader::answerQuery(const std::string &Member, const std::string &Session,
                         const Query &Asked) {
  const auto Found = Members.find(Member);
  if (Found == Members.end() || Found->second.Session != Session)
    return;
  QueryAnswer Answer{Asked.Tag, jobs::JobView::Unknown, 0};
  if (Asked.Kind == QueryKind::Pending)
    Answer.Count = Scheduler.pending(Asked.Subject);
  else
    Answer.View = Scheduler.view(Asked.Subject);
  Found->second.Outgoing.Answers.push_back(Answer);
}

// Workers.

void Leader::workerReported(MemberState &From, const WorkerReport &Report) {
  const auto Found = Cares.find(Report.Life.Id);
  if (Found == Cares.end() || Found->second.Info.Life != Report.Life ||
      Found->second.Token != Report.Token ||
      Found->second.Member != From.Info.Name)
    return; // A report by an earlier holder.
  Care &Entry = Found->second;
  const TimePoint Now = Use.Time.now();
  Dirty = true;
  switch (Report.Event) {
  case WorkerEvent::Synced:
    Entry.Settled = true;
    Scheduler.syncWorker(Report.Life, Report.Running, Report.Ended, Now);
    Use.Log.event("worker synced", Report.Life.Id,
                  {{"member", From.Info.Name},
                   {"token", std::to_string(Report.Token)},
                   {"running", std::to_string(Report.Running.size())},
                   {"ended", std::to_string(Report.Ended.size())}});
    synced(Report, Entry);
    acknowledge(Report);
    return;
  case WorkerEvent::Ended:
    for (const jobs::ActiveRun &Run : Report.Running)
      Scheduler.runProgressed(Report.Life, Run);
    for (const jobs::EndedRun &End : Report.Ended) {
      Scheduler.runEnded(Report.Life, End, Now);
      Use.Log.event(
          "run ended", End.Task,
          {{"run", std::to_string(End.Run)},
           {"worker", Report.Life.Id},
           {"how", std::string(enumName(jobs::EndKindNames, End.Kind))}});
    }
    acknowledge(Report);
    return;
  case WorkerEvent::Reachable:
    Scheduler.setReachable(Report.Life, Entry.InRoster);
    return;
  case WorkerEvent::Unreachable:
    Scheduler.setReachable(Report.Life, false);
    return;
  case WorkerEvent::Lapsed:
    Entry.Settled = true;
    Scheduler.expireWorkerLease(Report.Life);
    Scheduler.setReachable(Report.Life, false);
    return;
  case WorkerEvent::Fenced:
    // Only an order of a later term can be the cause, unless a message of an
    // earlier holder of this term came late; a new token settles both.
    Scheduler.markUnsynced(Report.Life);
    From.Workers.erase(Report.Life.Id);
    Entry.Member.clear();
    return;
  case WorkerEvent::LifeEnded:
    // Whatever ran in this life has ended with it. The registry names the next
    // life when that has reported.
    Entry.Settled = true;
    Scheduler.expireWorkerLease(Report.Life);
    Scheduler.setReachable(Report.Life, false);
    From.Workers.erase(Report.Life.Id);
    Entry.Member.clear();
    Entry.AssignAfter = Now + DeadWorkerPause;
    return;
  }
}

void Leader::synced(const WorkerReport &Report, Care &Entry) {
  if (Entry.InRoster)
    return;
  // Not used before the roster names it, as a next leader must know of it.
  Scheduler.setReachable(Report.Life, false);
  if (Entry.RosterPending)
    return;
  Entry.RosterPending = true;
  Writer.put(RosterTable, Report.Life.Id,
             encode(std::vector<RosterEntry>{
                 {Report.Life, Entry.Info.Address, Entry.Info.Zone}}));
  Writer.whenStored(Life.guard([this, Of = Report.Life] {
    const auto Found = Cares.find(Of.Id);
    if (Found == Cares.end() || Found->second.Info.Life != Of)
      return;
    Found->second.InRoster = true;
    Found->second.RosterPending = false;
    Scheduler.setReachable(Of, true);
    Dirty = true;
  }));
}

void Leader::acknowledge(const WorkerReport &Report) {
  if (Report.Ended.empty())
    return;
  std::int64_t UpTo = 0;
  for (const jobs::EndedRun &End : Report.Ended)
    UpTo = std::max(UpTo, End.Number);
  storeChanges();
  Writer.whenStored(
      Life.guard([this, Of = Report.Life, Token = Report.Token, UpTo] {
        const auto Found = Cares.find(Of.Id);
        if (Found == Cares.end() || Found->second.Token != Token)
          return;
        if (MemberState *To = memberInCharge(Of))
          To->Outgoing.Acks.push_back({Of, UpTo});
      }));
}

void Leader::storeChanges() {
  const std::set<std::string> Changed = Scheduler.takeChanged();
  for (const std::string &Id : Changed) {
    const jobs::Job *Entry = Scheduler.find(Id);
    if (!Entry)
      continue;
    const jobs::JobProgress Progress = Entry->progress();
    if (Progress.Phase != jobs::JobPhase::Active) {
      Writer.change({{JobTable, Id, std::nullopt},
                     {ProgressTable, Id, std::nullopt},
                     {EndedTable, Id, endText(Progress.Phase)}});
      Use.Log.event(
          "job ended", Id,
          {{"phase",
            std::string(enumName(jobs::JobPhaseNames, Progress.Phase))},
           {"after_ms",
            std::to_string((Use.Time.now() - Entry->AcceptedAt).count())},
           {"allowed_ms",
            std::to_string((Entry->Due - Entry->AcceptedAt).count())}});
    }
    if (Progress.Phase != jobs::JobPhase::Active)
      Writer.whenStored(
          Life.guard([this, Id] { Scheduler.markPhaseStored(Id); }));
    else
      Writer.put(ProgressTable, Id, encode(Progress));
  }
}

// Members.

void Leader::checkMembers() {
  std::vector<std::string> Silent;
  for (const auto &[Name, Entry] : Members)
    if (isLost(Entry))
      Silent.push_back(Name);
  for (const std::string &Name : Silent)
    closeMember(Name);
}

bool Leader::isLost(const MemberState &Entry) const {
  const TimePoint Now = Use.Time.now();
  return Now - Entry.LastHeard > MemberSilence || Entry.Sender->isRejected() ||
         Now - Entry.Sender->lastConfirmed() > ReceiptPatience;
}

Duration Leader::mailGapFor(const MemberState &To) const {
  if (Members.size() <= SmallCell)
    return Use.Times.MailGap;
  const bool InCare = Caretakers.contains(To.Info.Name);
  const std::size_t Alike =
      InCare ? Caretakers.size() / CaretakersPerGap
             : (Members.size() - Caretakers.size()) / OthersPerGap;
  const double Gap = double(Use.Times.MailGap.count()) *
                     double(std::max<std::size_t>(Alike, 1)) * Pacer.factor();
  return std::min(Duration(Duration::rep(Gap)),
                  InCare ? LongestCaretakerGap : Use.Times.KeepAlive);
}

void Leader::updateCaretakers() {
  std::vector<CaretakerCandidate> Fit;
  double Largest = Own.Instance.CpuShare;
  for (const auto &[Name, Entry] : Members) {
    if (Entry.Leaving || !Entry.Sender->isConfirmed())
      continue;
    Largest = std::max(Largest, Entry.Info.CpuShare);
    if (Name != Own.Instance.Name)
      Fit.push_back({Name, Entry.Info.CpuShare});
  }
  const bool Small = Fit.size() <= MinCaretakers;
  Caretakers = chooseCaretakers(std::move(Fit), Cares.size());
  // In a small cell the leader's own instance does its part.
  if (Small)
    Caretakers.insert(Own.Instance.Name);
  Writer.setLargestShare(Largest);
}

void Leader::closeMember(const std::string &Name) {
  const auto Found = Members.find(Name);
  const TimePoint Heard = Found->second.LastHeard;
  Use.Log.event(
      "member lost", Name,
      {{"silent_ms", std::to_string((Use.Time.now() - Heard).count())},
       {"workers", std::to_string(Found->second.Workers.size())}});
  for (const std::string &Id : Found->second.Workers) {
    Care &Entry = Cares.at(Id);
    Entry.Member.clear();
    Entry.LeaseBound = std::max(
        Entry.LeaseBound, Heard + Use.Times.MemberLease +
                              Use.Times.WorkerLease + Use.Times.LeaderMargin);
    Scheduler.markUnsynced(Entry.Info.Life);
  }
  for (const std::string &Step : Desk.remove(Name))
    Scheduler.adviceFailed(Step);
  Members.erase(Found);
  Dirty = true;
}

double Leader::loadOf(const MemberState &Entry, std::size_t MoreWorkers) const {
  double Share = Entry.Info.CpuShare;
  if (!Caretakers.contains(Entry.Info.Name))
    Share = 0; // Its workers go to others.
  if (Entry.Info.Name == Own.Instance.Name)
    Share *= OwnShareOfWorkers;
  return double(Entry.Workers.size() + MoreWorkers) /
         std::max(Share, LeastCpuShare);
}

// Members join one after the other, so the first ones get too many workers,
// the leader's own instance before all.
void Leader::balanceWorkers() {
  const TimePoint Now = Use.Time.now();
  if (Now < NextBalance)
    return;
  NextBalance = Now + BalancePeriod;
  for (int Moved = 0; Moved < MaxMovesPerBalance; ++Moved) {
    const auto Busiest = std::max_element(
        Members.begin(), Members.end(), [this](const auto &A, const auto &B) {
          return loadOf(A.second, 0) < loadOf(B.second, 0);
        });
    if (Busiest == Members.end() || !moveOneWorker(Busiest->second))
      return;
    assignWorkers();
  }
}

// Takes the worker from a member whose move lessens the load most; false if
// none is worth it.
bool Leader::moveOneWorker(MemberState &From) {
  Care *Chosen = nullptr;
  double BestGain = LeastBalanceGain;
  for (const std::string &Id : From.Workers) {
    Care &Entry = Cares.at(Id);
    const jobs::Worker *Host = Scheduler.worker(Id);
    // The next member would have to wait for the lease of a silent worker
    // anew, as it cannot read the worker's clock.
    const bool Answers = Host && Host->isSynced() && Host->isReachable();
    MemberState *Other = Answers ? memberFor(Entry) : nullptr;
    if (!Other || Other == &From)
      continue;
    const bool LeavesZone = From.Info.Zone == Entry.Info.Zone &&
                            Other->Info.Zone != Entry.Info.Zone;
    const double Gain = loadOf(From, 0) / (loadOf(*Other, 1) *
                                           (LeavesZone ? OtherZoneFactor : 1));
    if (Gain <= BestGain)
      continue;
    BestGain = Gain;
    Chosen = &Entry;
  }
  if (!Chosen)
    return false;
  Chosen->LeaseBound =
      std::max(Chosen->LeaseBound,
               Use.Time.now() + Use.Times.WorkerLease + Use.Times.LeaderMargin);
  Scheduler.markUnsynced(Chosen->Info.Life);
  releaseFromMember(Chosen->Info.Life.Id);
  return true;
}

Leader::MemberState *Leader::memberFor(const Care &Entry) {
  MemberState *Best = nullptr;
  double BestLoad = 0;
  for (auto &[Name, Candidate] : Members) {
    if (Candidate.Leaving || !Candidate.Sender->isConfirmed() ||
        !Caretakers.contains(Name))
      continue;
    double Load = loadOf(Candidate, 1);
    // Bytes between zones cost time and money, so another zone's member is
    // taken only if it has far less to do.
    if (Candidate.Info.Zone != Entry.Info.Zone)
      Load *= OtherZoneFactor;
    if (!Best || Load < BestLoad) {
      Best = &Candidate;
      BestLoad = Load;
    }
  }
  return Best;
}

void Leader::assignWorkers() {
  const TimePoint Now = Use.Time.now();
  for (auto &[Id, Entry] : Cares) {
    if (!Entry.Member.empty() || Now < Entry.AssignAfter)
      continue;
    MemberState *To = memberFor(Entry);
    if (!To)
      return;
    Entry.Member = To->Info.Name;
    Entry.Token = ++LastToken;
    To->Workers.insert(Id);
    const Duration Assumed = std::max(Entry.LeaseBound - Now, Duration{0});
    To->Outgoing.Assigned.push_back({Entry.Info.Life, Entry.Info.Address,
                                     Entry.Token,
                                     std::int64_t(Assumed.count())});
  }
}

Leader::MemberState *
Leader::memberInCharge(const jobs::WorkerIncarnation &Life) {
  const auto Found = Cares.find(Life.Id);
  if (Found == Cares.end() || Found->second.Info.Life != Life)
    return nullptr;
  const auto Member = Members.find(Found->second.Member);
  return Member == Members.end() ? nullptr : &Member->second;
}

// Decisions.

void Leader::decide() {
  const TimePoint Now = Use.Time.now();
  if (Now < NextDecision || (!Dirty && Now - LastDecision < DecisionPeriod))
    return;
  LastDecision = Now;
  Dirty = false;
  const jobs::Decisions Made = Scheduler.decide(Now, Desk.budget(Now));
  const TimePoint Ended = Use.Time.now();
  NextDecision = Ended + std::max(DecisionGap, (Ended - Now) * RoundPause);
  dispatch(Made);
}

void Leader::dispatch(const jobs::Decisions &Made) {
  for (const jobs::StopCommand &Order : Made.Stops)
    if (MemberState *To = memberInCharge(Order.Worker))
      To->Outgoing.Stops.push_back(Order);
  for (const jobs::AdviceRequest &Request : Made.Advice)
    dispatchAdvice(Request);
  if (Made.Starts.empty())
    return;
  // The placements are stored before any order leaves, so that a next leader
  // knows on which worker each task may run.
  storeChanges();
  Writer.whenStored(Life.guard([this, Starts = Made.Starts] {
    for (const jobs::StartCommand &Order : Starts)
      sendStart(Order);
  }));
}

void Leader::sendStart(const jobs::StartCommand &Order) {
  MemberState *To = memberInCharge(Order.Worker);
  const jobs::Worker *Host = Scheduler.worker(Order.Worker.Id);
  const bool Usable = To && Host && Host->isSynced() && Writer.isLeaseValid();
  if (Usable && Scheduler.isCurrent(Order)) {
    To->Outgoing.Starts.push_back(Order);
    return;
  }
  // Never sent, so it did not run. If the worker is to be read anew, that
  // reading settles it as well.
  Scheduler.startRefused(Order.Worker, Order.Task, Order.Run,
                         jobs::StartRefusal::Expired, Use.Time.now());
  Dirty = true;
}

void Leader::dispatchAdvice(const jobs::AdviceRequest &Request) {
  const auto Name = Desk.assign(Request, Use.Time.now());
  if (!Name) {
    Scheduler.adviceFailed(Request.Step);
    return;
  }
  Use.Log.event("advice asked", Request.Step,
                {{"workers", std::to_string(Request.Workers.size())},
                 {"cost_ms", std::to_string(int(Request.CostMs))},
                 {"member", *Name}});
  Members.at(*Name).Outgoing.Advice.push_back(Request);
}

void Leader::adviceAnswered(MemberState &From, const AdviceAnswer &Answer) {
  const TimePoint Now = Use.Time.now();
  Desk.answered(From.Info.Name, Answer.Step, Now);
  Dirty = true;
  if (!Answer.Answered) {
    Use.Log.event("advice missing", Answer.Step, {{"member", From.Info.Name}});
    Scheduler.adviceFailed(Answer.Step);
    return;
  }
  Scheduler.adviceArrived(Answer.Step, Answer.Asked, Answer.Approved, Now);
}

void Leader::logLoad(TimePoint Now) {
  if (Now < NextLoadLine)
    return;
  NextLoadLine = Now + LoadLinePeriod;
  Use.Log.event("load", Own.Instance.Name,
                {{"waiting", Scheduler.summary()},
                 {"jobs", std::to_string(Scheduler.activeJobs())},
                 {"advice_calls", std::to_string(Desk.openCalls())},
                 {"mails_per_s", std::to_string(int(Pacer.rate()))},
                 {"gap_factor", std::to_string(Pacer.factor())},
                 {"members", std::to_string(Members.size())}});
}

void Leader::forgetOldJobs(TimePoint Now) {
  if (Now < NextForget)
    return;
  NextForget = Now + ForgetPeriod;
  for (const std::string &Id :
       Scheduler.endedBefore(Now - Use.Times.StatusRetention)) {
    Scheduler.forget(Id);
    Writer.remove(EndedTable, Id);
  }
}

void Leader::pump() {
  if (Writer.isDeposed())
    return;
  const TimePoint Now = Use.Time.now();
  // Restored jobs need the terms of their queues.
  if (PolicyKnown)
    State.pump();
  Registry.pump();
  // Without a valid lease nothing is ordered or told; the journal goes on
  // trying to renew it.
  if (Writer.isLeaseValid()) {
    checkMembers();
    if (Loaded && RegistryRead) {
      if (Now >= NextSweep) {
        NextSweep = Now + SweepPeriod;
        updateCaretakers();
        if (shouldHandOver()) {
          stepDown();
          return;
        }
        expireUnlisted();
        for (const std::string &Step : Desk.takeOverdue(Now))
          Scheduler.adviceFailed(Step);
        forgetOldJobs(Now);
        logLoad(Now);
      }
      if (Now - TookOfficeAt >= JoinTime) {
        assignWorkers();
        balanceWorkers();
      }
      decide();
      storeChanges();
    }
    for (auto &[Name, Entry] : Members)
      Entry.Sender->pump();
  }
  Writer.pump();
}

} // namespace apricotwing::cell
