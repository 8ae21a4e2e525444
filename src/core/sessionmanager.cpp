#include "core/sessionmanager.h"

#include "core/error.h"

#include <algorithm>
#include <utility>

namespace apricotwing {

namespace {

/// Times that one transaction is sent within a round. The next round follows
/// soon, so a round gives up early.
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
    // Rounds that take longer than half of T leave gaps between each other,
    // so a slow store is treated like an outage.
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
  // If the outcome stays open, the next round registers with another epoch:
  // it reads the counter anew, so at most one of both can take effect later.
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
  // A conflict comes from fencing, or from an earlier write of this session
  // that took effect late; the latter is adopted and the write repeated.
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
  // The validity ends before the epoch changes; see isValidFor().
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
  // A configuration that this process has signed, or may have signed, since
  // its last round would otherwise stay out of force here.
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
  // process's last round; going on with the old one would break I10.
  return !Answer->StoreReachable && Answer->PromisedFor >= Settings.Promise &&
         Answer->ConfigVersion <= NewestConfig.load()->Version;
}

PeerPromise SessionManager::handlePromiseRequest(const InstanceId &From,
                                                 Epoch SessionEpoch,
                                                 TimePoint Now) {
  PeerPromise Answer;
  Answer.StoreReachable = LastRoundReachedStore;
  // A session that has ended gains nothing from a promise, which would delay
  // fencing and signatures for the others.
  const std::shared_ptr<const SessionView> Last = View.load();
  if (Answer.StoreReachable || !Last || OwnEpoch == 0 ||
      hasEnded(*Last, {From, SessionEpoch}))
    return Answer;
  if (Promises.promise(Now, Settings.Promise))
    Answer.PromisedFor = Settings.Promise;
  // Read after the promise, which excludes any later commit of this process.
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
  // In this order: a session that ends resets the time before its epoch, and
  // a new one sets its epoch before the time.
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
