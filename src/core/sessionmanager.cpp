#include "core/sessionmanager.h"

#include "core/error.h"

#include <algorithm>
#include <utility>

namespace apricotwing {

namespace {

/// Attempts to commit one transaction within a round. The number is small,
/// because the next round follows soon.
constexpr int RoundAttempts = 2;

constexpr std::uint32_t ScanPage = 1000;

TimePoint fromMs(TimePoint::rep Ms) { return TimePoint(Duration(Ms)); }

TimePoint::rep toMs(TimePoint At) { return At.time_since_epoch().count(); }

bool isStoreFailure(ErrorKind Kind) {
  return Kind == ErrorKind::StoreUnavailable ||
         Kind == ErrorKind::StoreUnknownOutcome;
}

} // namespace

SessionManager::SessionManager(TableService &Table, PeerClient &Peers,
                               const RecordCodec &Codec, const Clock &Time,
                               TransactionIds &Ids, InstanceIdentity Identity,
                               const AuthoritySettings &Settings)
    : Table(Table), Peers(Peers), Codec(Codec), Time(Time), Ids(Ids),
      Identity(std::move(Identity)), Settings(Settings), Lease(Settings),
      ValidUntilMs(toMs(TimePoint::min())),
      LastRenewalMs(toMs(TimePoint::min())),
      StoreContactMs(toMs(TimePoint::min())),
      PublishedPeerContacts(
          std::make_shared<const std::map<InstanceId, TimePoint>>()) {}

RoundReport SessionManager::renew() {
  RoundReport Report;
  const TimePoint Start = Time.now();
  const std::uint64_t InDoubtBefore = Promises.inDoubtCount();
  try {
    if (OwnEpoch != 0 && !writeSession())
      abandonSession(Report);
    if (OwnEpoch == 0)
      registerSession();
    const std::optional<RoundOutcome> Outcome =
        readClusterState(Start, InDoubtBefore);
    if (!Outcome)
      abandonSession(Report);
    Report.Outcome = Outcome.value_or(RoundOutcome::Failed);
    // With rounds that take longer than half of the lease duration, the lease
    // could expire between two renewals, so a slow table service is treated
    // like an outage.
    LastRoundReachedStore = Time.now() - Start <= Settings.Valid / 2;
    if (Report.Outcome == RoundOutcome::Renewed && !LastRoundReachedStore)
      collectPromises();
    return Report;
  } catch (const Error &Failure) {
    Report.Detail = Failure.what();
    LastRoundReachedStore = !isStoreFailure(Failure.kind());
  }
  const bool Extended = !LastRoundReachedStore && collectPromises();
  Report.Outcome = Extended ? RoundOutcome::Extended : RoundOutcome::Failed;
  return Report;
}

void SessionManager::registerSession() {
  const std::optional<Row> EpochRow = Table.read(keys::EpochNext);
  const std::optional<Row> OldRow =
      Table.read(keys::session(Identity.Instance));
  noteStoreContact();
  EpochRecord Next =
      EpochRow ? Codec.decodeEpoch(EpochRow->Value) : EpochRecord();
  const Epoch NewEpoch = Next.Next++;

  SessionRecord Record = ownRecord({});
  Record.Id.SessionEpoch = NewEpoch;
  Record.Counter = 1;
  Transaction Change;
  Change.Id = Ids.next();
  Change.Conditions = {
      {keys::EpochNext, EpochRow ? EpochRow->Version : 0},
      {keys::session(Identity.Instance), OldRow ? OldRow->Version : 0}};
  Change.Writes = {{keys::EpochNext, Codec.encode(Next)},
                   {keys::session(Identity.Instance), Codec.encode(Record)}};
  // If the outcome stays unknown, the next round registers with another epoch.
  // It reads the epoch counter again, and both transactions are conditional on
  // that row, so at most one of them can take effect.
  if (commitWithRetry(Table, Change, keys::session(Identity.Instance),
                      RoundAttempts) == CommitResult::Conflict)
    throw Error(ErrorKind::StoreConflict,
                "another instance registered at the same time",
                "none; the next renewal round tries again");
  noteStoreContact();
  Counter = 1;
  OwnVersion = 0;
  OwnEpoch = NewEpoch;
}

bool SessionManager::writeSession() {
  // A conflict is caused by fencing, or by an earlier write of this session
  // that took effect late. In the latter case the version of that write is
  // adopted and the write is repeated.
  for (int Attempt = 0; Attempt < RoundAttempts; ++Attempt) {
    if (OwnVersion == 0 && !adoptOwnRow())
      return false;
    SessionRecord Record = ownRecord(knownSessions());
    Record.Counter = ++Counter;
    Transaction Change;
    Change.Id = Ids.next();
    Change.Conditions = {
        {keys::session(Identity.Instance), std::exchange(OwnVersion, 0)}};
    Change.Writes = {{keys::session(Identity.Instance), Codec.encode(Record)}};
    const CommitResult Result = commitWithRetry(
        Table, Change, keys::session(Identity.Instance), RoundAttempts);
    noteStoreContact();
    if (Result == CommitResult::Committed)
      return true;
  }
  if (!adoptOwnRow())
    return false;
  throw Error(ErrorKind::StoreConflict, "the session row keeps changing",
              "check that no other process uses instance id '" +
                  Identity.Instance + "'");
}

bool SessionManager::adoptOwnRow() {
  const std::optional<Row> Present =
      Table.read(keys::session(Identity.Instance));
  noteStoreContact();
  if (!Present)
    return false;
  const SessionRecord Record = Codec.decodeSession(Present->Value);
  if (Record.Id.SessionEpoch != OwnEpoch ||
      Record.State == SessionState::Fenced)
    return false;
  OwnVersion = Present->Version;
  Counter = std::max(Counter, Record.Counter);
  return true;
}

std::optional<RoundOutcome>
SessionManager::readClusterState(TimePoint Start, std::uint64_t InDoubtBefore) {
  const std::shared_ptr<const Config> Current = readConfig();
  auto NewView = std::make_shared<SessionView>();
  NewView->Members = readMembers();
  NewView->OwnSession = sessionId();
  NewView->ReadAt = Time.now();
  NewView->Current = Current;
  const auto OwnRow =
      std::find_if(NewView->Members.begin(), NewView->Members.end(),
                   [&](const MemberRow &Each) {
                     return Each.Record.Id == NewView->OwnSession;
                   });
  if (OwnRow == NewView->Members.end() ||
      OwnRow->Record.State == SessionState::Fenced)
    return std::nullopt;
  OwnVersion = NewView->OwnVersion = OwnRow->Version;
  if (!Current)
    return RoundOutcome::NoConfig;

  View = std::move(NewView);
  Promises.resolveInDoubt(InDoubtBefore);
  Lease.renew(Start);
  publishLease();
  return RoundOutcome::Renewed;
}

std::shared_ptr<const Config> SessionManager::readConfig() {
  const std::optional<Row> Present = Table.read(keys::ConfigCurrent);
  noteStoreContact();
  std::shared_ptr<const Config> Known = NewestConfig.load();
  if (!Present && !Known)
    return nullptr;
  if (Present && Known && Present->Version == ConfigRowVersion)
    return Known;
  std::shared_ptr<const Config> Read =
      Present
          ? std::make_shared<const Config>(Codec.decodeConfig(Present->Value))
          : nullptr;
  if (!Read || (Known && Read->Version < Known->Version))
    throw Error(ErrorKind::Internal,
                "the table service lost configuration version " +
                    std::to_string(Known->Version),
                "restore the newest row config/current");
  ConfigRowVersion = Present->Version;
  Promises.noteConfigVersion(Read->Version);
  NewestConfig = Read;
  return Read;
}

std::vector<MemberRow> SessionManager::readMembers() {
  std::vector<MemberRow> Members;
  std::string After;
  for (;;) {
    const std::vector<Row> Page =
        Table.scan(keys::SessionPrefix, After, ScanPage);
    for (const Row &Each : Page)
      Members.push_back({Codec.decodeSession(Each.Value), Each.Version});
    if (Page.size() < ScanPage)
      break;
    After = Page.back().Key;
  }
  noteStoreContact();
  return Members;
}

void SessionManager::abandonSession(RoundReport &Report) {
  // The lease must end before the epoch changes; see isValidFor().
  Lease.relinquish();
  publishLease();
  Report.LostSession = sessionId();
  OwnEpoch = 0;
  OwnVersion = 0;
  View.store(nullptr);
}

bool SessionManager::collectPromises() {
  const std::shared_ptr<const SessionView> Last = View.load();
  if (!Last || !Lease.isValid(Time.now()))
    return false;
  // Without this check the process would keep using the old configuration after
  // it has signed, or may have signed, a newer one since its last round.
  if (!Promises.hasNoOpenTransaction() ||
      Promises.configVersion() > NewestConfig.load()->Version)
    return false;
  const TimePoint AskedAt = Time.now();
  for (const MemberRow &Member : Last->Members) {
    if (Member.Record.Id == Last->OwnSession ||
        Member.Record.State == SessionState::Fenced)
      continue;
    if (!isPromisedBy(Member.Record))
      return false;
  }
  const bool Extended = Lease.extend(AskedAt, Time.now());
  publishLease();
  return Extended;
}

bool SessionManager::isPromisedBy(const SessionRecord &Member) {
  const std::optional<PeerPromise> Answer =
      Peers.requestPromise(Member.PeerAddress, Identity.Instance, OwnEpoch);
  if (!Answer)
    return false;
  PeerContacts[Member.Id.Instance] = Time.now();
  PublishedPeerContacts =
      std::make_shared<const std::map<InstanceId, TimePoint>>(PeerContacts);
  // A peer with a newer configuration may have committed it after this
  // process's last round. Extending the lease would then let this process serve
  // an outdated configuration for longer than permitted (invariant I10).
  return !Answer->StoreReachable && Answer->PromisedFor >= Settings.Promise &&
         Answer->ConfigVersion <= NewestConfig.load()->Version;
}

PeerPromise SessionManager::handlePromiseRequest(const InstanceId &From,
                                                 Epoch SessionEpoch,
                                                 TimePoint Now) {
  PeerPromise Answer;
  Answer.StoreReachable = LastRoundReachedStore;
  // A promise is useless to a session that has ended, and it would delay
  // fencing and signatures.
  const std::shared_ptr<const SessionView> Last = View.load();
  if (Answer.StoreReachable || !Last || OwnEpoch == 0 ||
      hasEnded(*Last, {From, SessionEpoch}))
    return Answer;
  if (Promises.promise(Now, Settings.Promise))
    Answer.PromisedFor = Settings.Promise;
  // Read after the promise was given, since from then on this process commits
  // no newer version.
  Answer.ConfigVersion = Promises.configVersion();
  return Answer;
}

bool SessionManager::hasEnded(const SessionView &Last, const SessionId &Id) {
  return std::any_of(
      Last.Members.begin(), Last.Members.end(), [&](const MemberRow &Each) {
        const SessionRecord &Record = Each.Record;
        return Record.Id.Instance == Id.Instance &&
               (Record.Id.SessionEpoch > Id.SessionEpoch ||
                (Record.Id == Id && Record.State == SessionState::Fenced));
      });
}

void SessionManager::leave() { OwnState = SessionState::Leaving; }

void SessionManager::remove() {
  Lease.relinquish();
  publishLease();
  for (int Attempt = 0; Attempt < RoundAttempts; ++Attempt) {
    if (OwnEpoch == 0 || !adoptOwnRow())
      break;
    Transaction Change;
    Change.Id = Ids.next();
    Change.Conditions = {{keys::session(Identity.Instance), OwnVersion}};
    Change.Writes = {{keys::session(Identity.Instance), std::nullopt}};
    if (Table.transact(Change) == CommitResult::Committed)
      break;
  }
  OwnEpoch = 0;
  OwnVersion = 0;
  View.store(nullptr);
}

bool SessionManager::isValid(TimePoint Now) const {
  return Now < fromMs(ValidUntilMs);
}

bool SessionManager::isValidFor(const SessionId &Id, TimePoint Now) const {
  // The order matters: when a session ends, its lease is reset before its
  // epoch, and a new session sets its epoch before its lease.
  const bool Valid = isValid(Now);
  return Valid && OwnEpoch == Id.SessionEpoch &&
         Id.Instance == Identity.Instance;
}

TimePoint SessionManager::validUntil() const { return fromMs(ValidUntilMs); }

TimePoint SessionManager::lastRenewal() const { return fromMs(LastRenewalMs); }

SessionId SessionManager::sessionId() const {
  return {Identity.Instance, OwnEpoch};
}

std::vector<InstanceId> SessionManager::liveInstances() const {
  std::vector<InstanceId> Live;
  for (const MemberRow &Member : members())
    if (Member.Record.State == SessionState::Live)
      Live.push_back(Member.Record.Id.Instance);
  return Live;
}

std::vector<MemberRow> SessionManager::members() const {
  const std::shared_ptr<const SessionView> Last = View.load();
  return Last ? Last->Members : std::vector<MemberRow>();
}

TimePoint SessionManager::lastStoreContact() const {
  return fromMs(StoreContactMs);
}

std::map<InstanceId, TimePoint> SessionManager::lastPeerContacts() const {
  return *PublishedPeerContacts.load();
}

void SessionManager::publishLease() {
  ValidUntilMs = toMs(Lease.validUntil());
  LastRenewalMs = toMs(Lease.lastRenewal());
}

void SessionManager::noteStoreContact() { StoreContactMs = toMs(Time.now()); }

std::vector<SessionId> SessionManager::knownSessions() const {
  std::vector<SessionId> Known;
  const std::shared_ptr<const SessionView> Last = View.load();
  if (!Last)
    return Known;
  for (const MemberRow &Member : Last->Members)
    if (Member.Record.Id != Last->OwnSession &&
        Member.Record.State != SessionState::Fenced)
      Known.push_back(Member.Record.Id);
  return Known;
}

SessionRecord
SessionManager::ownRecord(const std::vector<SessionId> &Known) const {
  SessionRecord Record;
  Record.Id = sessionId();
  Record.Address = Identity.Address;
  Record.PeerAddress = Identity.PeerAddress;
  Record.Zone = Identity.Zone;
  Record.State = OwnState;
  Record.Known = Known;
  return Record;
}

} // namespace apricotwing
