#include "core/grantledger.h"

#include "core/error.h"

#include <algorithm>
#include <charconv>
#include <set>

namespace apricotwing {

namespace {

/// Read-modify-write attempts before an update gives up because of contention.
constexpr int UpdateAttempts = 8;

std::int64_t amountOf(const UnitAmounts &Amounts, const std::string &Unit) {
  const auto Found = Amounts.find(Unit);
  return Found == Amounts.end() ? 0 : Found->second;
}

std::int64_t freeOf(const PoolRecord &Record, const std::string &Unit) {
  std::int64_t Free = amountOf(Record.Capacity, Unit);
  for (const auto &[Holder, Amounts] : Record.Grants)
    Free -= amountOf(Amounts, Unit);
  return Free;
}

/// Sets one grant as far as the capacity permits; returns whether it changed. A
/// holder that gets nothing is recorded with a grant of 0, which marks it as
/// waiting.
bool setGrant(PoolRecord &Record, const std::string &Holder,
              const std::string &Unit, std::int64_t Target) {
  const auto Own = Record.Grants.find(Holder);
  const bool WasListed =
      Own != Record.Grants.end() && Own->second.contains(Unit);
  const std::int64_t Old = WasListed ? Own->second.at(Unit) : 0;
  std::int64_t NewAmount = Target;
  if (Target > Old) {
    const std::int64_t Free = std::max<std::int64_t>(freeOf(Record, Unit), 0);
    NewAmount = Old + std::min(Target - Old, Free);
  }
  const bool ShouldList = Target > 0;
  if (NewAmount == Old && ShouldList == WasListed)
    return false;
  UnitAmounts &Amounts = Record.Grants[Holder];
  if (ShouldList)
    Amounts[Unit] = NewAmount;
  else
    Amounts.erase(Unit);
  if (Amounts.empty())
    Record.Grants.erase(Holder);
  return true;
}

PoolShare shareOf(const PoolRecord &Record, const std::string &Holder) {
  PoolShare Share;
  if (const auto Own = Record.Grants.find(Holder); Own != Record.Grants.end())
    Share.Granted = Own->second;
  Share.Capacity = Share.Free = Record.Capacity;
  std::map<std::string, std::int64_t> Holders;
  std::set<std::string> Contended;
  for (const auto &[EachHolder, Amounts] : Record.Grants)
    for (const auto &[Unit, Amount] : Amounts) {
      Share.Free[Unit] -= Amount;
      ++Holders[Unit];
      if (Amount == 0 && EachHolder != Holder)
        Contended.insert(Unit);
    }
  for (const std::string &Unit : Contended)
    Share.FairShare[Unit] = std::max<std::int64_t>(
        amountOf(Record.Capacity, Unit) / Holders[Unit], 1);
  return Share;
}

Error unknownOutcome(const std::string &Pool) {
  return {ErrorKind::StoreUnknownOutcome,
          "a change of " + Pool + " has no definite outcome yet",
          "none; the next round reads the grant back", Outcome::Unknown};
}

} // namespace

std::optional<SessionId> parseHolder(const std::string &Holder) {
  const std::size_t Separator = Holder.rfind('@');
  if (Separator == std::string::npos || Separator == 0 ||
      Separator + 1 == Holder.size())
    return std::nullopt;
  SessionId Id;
  Id.Instance = Holder.substr(0, Separator);
  const char *End = Holder.data() + Holder.size();
  const auto [Rest, Status] =
      std::from_chars(Holder.data() + Separator + 1, End, Id.SessionEpoch);
  if (Status != std::errc() || Rest != End)
    return std::nullopt;
  return Id;
}

GrantLedger::GrantLedger(TableService &Table, const RecordCodec &Codec,
                         TransactionIds &Ids)
    : Table(Table), Codec(Codec), Ids(Ids) {}

void GrantLedger::ensureCapacity(const std::string &Pool,
                                 const UnitAmounts &Capacity,
                                 const std::vector<RowCondition> &Guards) {
  const auto SetCapacity = [&](PoolRecord &Record) {
    if (Record.Capacity == Capacity)
      return false;
    Record.Capacity = Capacity;
    return true;
  };
  update(Pool, SetCapacity, Guards);
}

PoolShare GrantLedger::adjust(const std::string &Pool,
                              const std::string &Holder,
                              const UnitAmounts &Targets,
                              const std::vector<RowCondition> &Guards) {
  const auto SetAll = [&](PoolRecord &Record) {
    bool Changed = false;
    for (const auto &[Unit, Target] : Targets)
      Changed |= setGrant(Record, Holder, Unit, Target);
    return Changed;
  };
  return shareOf(update(Pool, SetAll, Guards), Holder);
}

std::int64_t GrantLedger::acquire(const std::string &Pool,
                                  const std::string &Holder,
                                  const std::string &Unit,
                                  std::int64_t Amount) {
  std::int64_t Old = 0;
  const PoolRecord Record = update(Pool, [&](PoolRecord &Present) {
    Old = amountOf(shareOf(Present, Holder).Granted, Unit);
    return setGrant(Present, Holder, Unit, Old + Amount);
  });
  return amountOf(shareOf(Record, Holder).Granted, Unit) - Old;
}

void GrantLedger::release(const std::string &Pool, const std::string &Holder,
                          const std::string &Unit, std::int64_t Amount) {
  // The first read determines the target, so that a retry after an unknown
  // outcome does not release the amount twice.
  std::optional<std::int64_t> Target;
  update(Pool, [&](PoolRecord &Present) {
    const std::int64_t Old = amountOf(shareOf(Present, Holder).Granted, Unit);
    if (!Target)
      Target = std::max<std::int64_t>(Old - Amount, 0);
    return Old > *Target && setGrant(Present, Holder, Unit, *Target);
  });
}

void GrantLedger::releaseAll(const std::string &Pool,
                             const std::string &Holder) {
  update(Pool,
         [&](PoolRecord &Record) { return Record.Grants.erase(Holder) > 0; });
}

std::size_t
GrantLedger::reclaim(const std::string &Pool,
                     const std::function<bool(const SessionId &)> &MayReclaim) {
  const std::optional<PoolRecord> Present = read(Pool);
  if (!Present)
    return 0;
  std::vector<std::string> Ended;
  std::vector<RowCondition> Guards;
  for (const auto &[Holder, Amounts] : Present->Grants) {
    const std::optional<SessionId> Id = parseHolder(Holder);
    if (!Id || !MayReclaim(*Id))
      continue;
    const std::optional<RowCondition> Guard = endedSession(*Id);
    if (!Guard)
      continue;
    Ended.push_back(Holder);
    Guards.push_back(*Guard);
  }
  if (Ended.empty())
    return 0;
  std::size_t Removed = 0;
  const auto RemoveEnded = [&](PoolRecord &Record) {
    Removed = 0;
    for (const std::string &Holder : Ended)
      Removed += Record.Grants.erase(Holder);
    return Removed > 0;
  };
  update(Pool, RemoveEnded, Guards);
  return Removed;
}

std::optional<RowCondition> GrantLedger::endedSession(const SessionId &Id) {
  const std::string Key = keys::session(Id.Instance);
  const std::optional<Row> Present = Table.read(Key);
  if (!Present)
    return RowCondition{Key, 0};
  const SessionRecord Record = Codec.decodeSession(Present->Value);
  const bool Replaced = Record.Id.SessionEpoch > Id.SessionEpoch;
  const bool Fenced = Record.Id == Id && Record.State == SessionState::Fenced;
  if (!Replaced && !Fenced)
    return std::nullopt;
  return RowCondition{Key, Present->Version};
}

std::optional<PoolRecord> GrantLedger::read(const std::string &Pool) {
  const std::optional<Row> Present = Table.read(Pool);
  if (!Present)
    return std::nullopt;
  return Codec.decodePool(Present->Value);
}

PoolRecord GrantLedger::update(const std::string &Pool, const Change &Apply,
                               const std::vector<RowCondition> &Guards) {
  std::optional<RowVersion>
      ConflictVersion; // Row version at which a write conflicted.
  for (int Attempt = 0; Attempt < UpdateAttempts; ++Attempt) {
    const std::optional<Row> Present = Table.read(Pool);
    const RowVersion Base = Present ? Present->Version : 0;
    if (ConflictVersion == Base)
      throw Error(ErrorKind::StaleEpoch,
                  "a condition on the change of " + Pool + " does not hold",
                  "none; ownership has changed");
    PoolRecord Record =
        Present ? Codec.decodePool(Present->Value) : PoolRecord();
    const auto InDoubtWrite = InDoubt.find(Pool);
    const bool MayStillCommit =
        InDoubtWrite != InDoubt.end() && InDoubtWrite->second == Base;
    if (InDoubtWrite != InDoubt.end() && !MayStillCommit)
      InDoubt.erase(InDoubtWrite);
    // If a write with unknown outcome depends on this row version, the row is
    // written even without a change: the new version makes the condition of the
    // delayed write fail.
    if (!Apply(Record) && !MayStillCommit)
      return Record;
    try {
      if (tryWrite(Pool, Base, Record, Guards))
        return Record;
      ConflictVersion = Base;
    } catch (const Error &Failure) {
      if (Failure.kind() != ErrorKind::StoreUnknownOutcome)
        throw;
    }
  }
  if (InDoubt.contains(Pool))
    throw unknownOutcome(Pool);
  throw Error(ErrorKind::StoreConflict,
              "too many instances change " + Pool + " at the same time",
              "none; the next round tries again");
}

bool GrantLedger::tryWrite(const std::string &Pool, RowVersion Base,
                           const PoolRecord &Record,
                           const std::vector<RowCondition> &Guards) {
  Transaction Change;
  Change.Id = Ids.next();
  Change.Conditions = Guards;
  Change.Conditions.push_back({Pool, Base});
  Change.Writes = {{Pool, Codec.encode(Record)}};
  try {
    const bool Committed = Table.transact(Change) == CommitResult::Committed;
    if (Committed)
      InDoubt.erase(Pool);
    return Committed;
  } catch (const Error &Failure) {
    if (Failure.kind() == ErrorKind::StoreUnknownOutcome)
      InDoubt[Pool] = Base;
    throw;
  }
}

} // namespace apricotwing
