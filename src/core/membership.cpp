#include "core/membership.h"

#include "core/error.h"

#include <algorithm>

namespace apricotwing {

namespace {

constexpr int FenceAttempts = 3;

/// Number of observations without a session's row after which the session
/// counts as ended. The first of them may have started before mayReclaim() was
/// called; the second one certainly started afterwards.
constexpr std::uint64_t UnseenObservations = 2;

} // namespace

Membership::Membership(TableService &Table, const RecordCodec &Codec,
                       const Clock &Time, TransactionIds &Ids,
                       SessionManager &Session)
    : Table(Table), Codec(Codec), Time(Time), Ids(Ids), Session(Session) {}

void Membership::observe(const SessionView &View) {
  OwnSession = View.OwnSession;
  OwnVersion = View.OwnVersion;
  ++Observations;
  std::map<InstanceId, Observed> NewRows;
  for (const MemberRow &Row : View.Members) {
    const InstanceId &Instance = Row.Record.Id.Instance;
    const auto Previous = Rows.find(Instance);
    const bool Same =
        Previous != Rows.end() && Previous->second.Version == Row.Version;
    NewRows[Instance] = {Row.Record, Row.Version,
                         Same ? Previous->second.Since : View.ReadAt};
  }
  for (const auto &[Instance, Previous] : Rows) {
    const auto Found = NewRows.find(Instance);
    if (Found == NewRows.end() || Found->second.Record.Id != Previous.Record.Id)
      EndedSince.emplace(Previous.Record.Id, View.ReadAt);
  }
  for (const auto &[Instance, Row] : NewRows)
    if (Row.Record.State == SessionState::Fenced)
      EndedSince.emplace(Row.Record.Id, View.ReadAt);
  Rows = std::move(NewRows);
  pruneEnded(View.ReadAt);
}

void Membership::pruneEnded(TimePoint Now) {
  std::erase_if(EndedSince, [&](const auto &Entry) {
    return Now - Entry.second > 2 * RetainFenced;
  });
  std::erase_if(FirstQueried, [&](const auto &Entry) {
    return EndedSince.contains(Entry.first);
  });
}

bool Membership::knowsOwnSession(const SessionRecord &Record) const {
  return std::find(Record.Known.begin(), Record.Known.end(), OwnSession) !=
         Record.Known.end();
}

std::vector<SessionId> Membership::fenceable(TimePoint Now) const {
  const AuthoritySettings &Settings = Session.settings();
  std::vector<SessionId> Result;
  for (const auto &[Instance, Row] : Rows) {
    if (Row.Record.Id == OwnSession || Row.Record.State == SessionState::Fenced)
      continue;
    // A session that does not know this one does not request promises from it,
    // so it may have extended its lease by up to MaxExtension without this
    // process's consent.
    const Duration Wait =
        knowsOwnSession(Row.Record)
            ? Settings.Fence
            : Settings.Fence + lengthenByClockDrift(Settings.MaxExtension);
    if (Now - Row.Since >= Wait)
      Result.push_back(Row.Record.Id);
  }
  return Result;
}

FenceResult Membership::fence(const SessionId &Target) {
  const auto Found = Rows.find(Target.Instance);
  if (Found == Rows.end() || Found->second.Record.Id != Target)
    return FenceResult::Conflict;
  SessionRecord Record = Found->second.Record;
  Record.State = SessionState::Fenced;
  Transaction Change;
  Change.Id = Ids.next();
  // Because of the condition on this process's own row, a delayed copy of the
  // transaction can no longer commit once this session has been renewed, fenced
  // or replaced.
  Change.Conditions = {{keys::session(Target.Instance), Found->second.Version},
                       {keys::session(OwnSession.Instance), OwnVersion}};
  Change.Writes = {{keys::session(Target.Instance), Codec.encode(Record)}};

  PromiseTracker &Promises = Session.promises();
  if (!Promises.beginTransaction(Time.now()))
    return FenceResult::Promised;
  CommitResult Result = CommitResult::Conflict;
  try {
    Result = commitWithRetry(Table, Change, keys::session(Target.Instance),
                             FenceAttempts);
  } catch (const Error &Failure) {
    if (Failure.kind() == ErrorKind::StoreUnavailable)
      Promises.endTransaction();
    else
      Promises.markInDoubt();
    throw;
  }
  Promises.endTransaction();
  if (Result == CommitResult::Conflict)
    return FenceResult::Conflict;
  Found->second = {Record, 0, Time.now()};
  EndedSince.emplace(Target, Time.now());
  return FenceResult::Fenced;
}

bool Membership::hasEnded(const SessionId &Id) const {
  if (EndedSince.contains(Id))
    return true;
  const auto Found = Rows.find(Id.Instance);
  if (Found != Rows.end()) {
    const SessionRecord &Record = Found->second.Record;
    return Record.Id.SessionEpoch > Id.SessionEpoch ||
           (Record.Id == Id && Record.State == SessionState::Fenced);
  }
  // Epochs are assigned in ascending order, so a session with a lower epoch was
  // registered before any scan by this process's session.
  if (OwnSession.SessionEpoch != 0 && Id.SessionEpoch < OwnSession.SessionEpoch)
    return true;
  const auto Queried = FirstQueried.find(Id);
  return Queried != FirstQueried.end() &&
         Observations >= Queried->second + UnseenObservations;
}

bool Membership::mayReclaim(const SessionId &Id, TimePoint Now) {
  if (!hasEnded(Id)) {
    FirstQueried.emplace(Id, Observations);
    return false;
  }
  const TimePoint Since = EndedSince.emplace(Id, Now).first->second;
  return Now - Since >=
         lengthenByClockDrift(Session.settings().RequestDeadline);
}

void Membership::removeFenced(TimePoint Now) {
  for (const auto &[Instance, Row] : Rows) {
    if (Row.Record.State != SessionState::Fenced || Row.Version == 0 ||
        Now - Row.Since < RetainFenced)
      continue;
    Transaction Change;
    Change.Id = Ids.next();
    Change.Conditions = {{keys::session(Instance), Row.Version}};
    Change.Writes = {{keys::session(Instance), std::nullopt}};
    Table.transact(Change);
  }
}

} // namespace apricotwing
