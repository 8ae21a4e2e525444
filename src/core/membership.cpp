#include "core/membership.h"

#include "core/error.h"

#include <algorithm>

namespace apricotwing {

namespace {

constexpr int FenceAttempts = 3;

/// Observations after which a session that no scan has shown counts as
/// ended: the second one certainly began after the first question.
constexpr std::uint64_t UnseenObservations = 2;

} // namespace

Membership::Membership(TableService &Table, const RecordCodec &Codec,
                       const Clock &Time, TransactionIds &Ids,
                       SessionManager &Session)
    : Table(Table), Codec(Codec), Time(Time), Ids(Ids), Session(Session) {}

void Membership::observe(const SessionView &View) {
  Own = View.Own;
  OwnVersion = View.OwnVersion;
  ++Observations;
  std::map<InstanceId, Observed> Fresh;
  for (const MemberRow &Row : View.Members) {
    const InstanceId &Instance = Row.Record.Id.Instance;
    const auto Old = Rows.find(Instance);
    const bool Same = Old != Rows.end() && Old->second.Version == Row.Version;
    Fresh[Instance] = {Row.Record, Row.Version,
                       Same ? Old->second.Since : View.ReadAt};
  }
  for (const auto &[Instance, Old] : Rows) {
    const auto Now = Fresh.find(Instance);
    if (Now == Fresh.end() || Now->second.Record.Id != Old.Record.Id)
      GoneSince.emplace(Old.Record.Id, View.ReadAt);
  }
  for (const auto &[Instance, Row] : Fresh)
    if (Row.Record.State == SessionState::Fenced)
      GoneSince.emplace(Row.Record.Id, View.ReadAt);
  Rows = std::move(Fresh);
  forgetOld(View.ReadAt);
}

void Membership::forgetOld(TimePoint Now) {
  std::erase_if(GoneSince, [&](const auto &Entry) {
    return Now - Entry.second > 2 * RetainFenced;
  });
  std::erase_if(FirstAsked, [&](const auto &Entry) {
    return GoneSince.contains(Entry.first);
  });
}

bool Membership::knowsThis(const SessionRecord &Record) const {
  return std::find(Record.Known.begin(), Record.Known.end(), Own) !=
         Record.Known.end();
}

std::vector<SessionId> Membership::fenceable(TimePoint Now) const {
  const AuthoritySettings &Settings = Session.settings();
  std::vector<SessionId> Result;
  for (const auto &[Instance, Row] : Rows) {
    if (Row.Record.Id == Own || Row.Record.State == SessionState::Fenced)
      continue;
    // A session that does not know this one does not ask it for promises, so
    // it may have been extended up to G without this process's consent.
    const Duration Wait =
        knowsThis(Row.Record)
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
  // The condition on the own row ends the effect of a delayed copy of this
  // transaction as soon as this session renews, is fenced or replaced.
  Change.Conditions = {{keys::session(Target.Instance), Found->second.Version},
                       {keys::session(Own.Instance), OwnVersion}};
  Change.Writes = {{keys::session(Target.Instance), Codec.encode(Record)}};

  PromiseTracker &Book = Session.promises();
  if (!Book.beginTransaction(Time.now()))
    return FenceResult::Promised;
  CommitResult Result = CommitResult::Conflict;
  try {
    Result = commitWithRetry(Table, Change, keys::session(Target.Instance),
                             FenceAttempts);
  } catch (const Error &Failure) {
    if (Failure.kind() == ErrorKind::StoreUnavailable)
      Book.endTransaction();
    else
      Book.leaveInDoubt();
    throw;
  }
  Book.endTransaction();
  if (Result == CommitResult::Conflict)
    return FenceResult::Conflict;
  Found->second = {Record, 0, Time.now()};
  GoneSince.emplace(Target, Time.now());
  return FenceResult::Fenced;
}

bool Membership::isGone(const SessionId &Id) const {
  if (GoneSince.contains(Id))
    return true;
  const auto Found = Rows.find(Id.Instance);
  if (Found != Rows.end()) {
    const SessionRecord &Record = Found->second.Record;
    return Record.Id.SessionEpoch > Id.SessionEpoch ||
           (Record.Id == Id && Record.State == SessionState::Fenced);
  }
  // Epochs are given out in order, so an earlier session than the own one was
  // registered before every scan of this session.
  if (Own.SessionEpoch != 0 && Id.SessionEpoch < Own.SessionEpoch)
    return true;
  const auto Asked = FirstAsked.find(Id);
  return Asked != FirstAsked.end() &&
         Observations >= Asked->second + UnseenObservations;
}

bool Membership::mayReclaim(const SessionId &Id, TimePoint Now) {
  if (!isGone(Id)) {
    FirstAsked.emplace(Id, Observations);
    return false;
  }
  const TimePoint Since = GoneSince.emplace(Id, Now).first->second;
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
