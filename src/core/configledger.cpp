#include "core/configledger.h"

#include <algorithm>
#include <utility>

namespace apricotwing {

namespace {

constexpr int CommitAttempts = 3;

/// Attempts at a signature. It conflicts with each renewal of this process's
/// session row.
constexpr int SignAttempts = 4;

constexpr std::uint32_t ScanPage = 500;

/// Maximum number of proposals deleted in one transaction.
constexpr std::size_t MaxPruned = 200;

template <typename Visitor>
void scanAll(TableService &Table, const std::string &Prefix, Visitor Visit) {
  std::string After;
  for (;;) {
    const std::vector<Row> Page = Table.scan(Prefix, After, ScanPage);
    for (const Row &Each : Page)
      Visit(Each);
    if (Page.size() < ScanPage)
      return;
    After = Page.back().Key;
  }
}

} // namespace

ConfigConflictError::ConfigConflictError(const std::string &Message,
                                         std::uint64_t Current)
    : Error(ErrorKind::ConfigConflict,
            Message + "; version " + std::to_string(Current) + " is current",
            "propose the change again on top of version " +
                std::to_string(Current)),
      Current(Current) {}

ConfigLedger::ConfigLedger(TableService &Table, const RecordCodec &Codec,
                           const Clock &Time, TransactionIds &Ids,
                           SessionManager &Session)
    : Table(Table), Codec(Codec), Time(Time), Ids(Ids), Session(Session) {}

void ConfigLedger::bootstrap(Config Initial) {
  if (Table.read(keys::ConfigCurrent))
    return;
  Initial.Version = 1;
  HistoryRecord First;
  First.Version = 1;
  Transaction Change;
  Change.Id = Ids.next();
  Change.Conditions = {{keys::ConfigCurrent, 0}, {keys::history(1), 0}};
  Change.Writes = {{keys::ConfigCurrent, Codec.encode(Initial)},
                   {keys::history(1), Codec.encode(First)}};
  // A conflict means that another instance has written the first version.
  commitWithRetry(Table, Change, keys::history(1), CommitAttempts);
}

ProposalRecord ConfigLedger::propose(const std::string &Owner,
                                     std::uint64_t Base,
                                     const std::vector<ConfigChange> &Changes) {
  requireAuthority();
  if (Changes.empty())
    throw Error(ErrorKind::BadRequest, "the proposal contains no change",
                "name at least one change");
  const Config Present = readCurrent().Value;
  if (Present.Version != Base)
    throw ConfigConflictError("the proposal is based on version " +
                                  std::to_string(Base),
                              Present.Version);
  applyChanges(Present, Changes);

  ProposalRecord Record;
  Record.Id = Ids.next();
  Record.BaseVersion = Base;
  Record.Changes = Changes;
  Record.ProposedBy = Owner;
  Transaction Change;
  Change.Id = Ids.next();
  Change.Conditions = {{keys::proposal(Record.Id), 0}};
  Change.Writes = {{keys::proposal(Record.Id), Codec.encode(Record)}};
  if (commitWithRetry(Table, Change, keys::proposal(Record.Id),
                      CommitAttempts) == CommitResult::Conflict)
    throw Error(ErrorKind::StoreConflict,
                "the proposal id " + Record.Id + " is taken",
                "send the proposal again");
  return Record;
}

std::uint64_t ConfigLedger::sign(const std::string &Proposal,
                                 const std::string &Owner) {
  for (int Attempt = 0; Attempt < SignAttempts; ++Attempt)
    if (const std::optional<std::uint64_t> Version = trySign(Proposal, Owner))
      return *Version;
  throw Error(ErrorKind::StoreConflict,
              "the signature conflicted with concurrent changes", "sign again");
}

std::optional<std::uint64_t> ConfigLedger::trySign(const std::string &Proposal,
                                                   const std::string &Owner) {
  requireAuthority();
  const Read<ProposalRecord> Proposed = readProposal(Proposal);
  ProposalRecord Record = Proposed.Value;
  if (Record.State == ProposalState::Signed && Record.DecidedBy == Owner)
    return Record.BaseVersion + 1;
  if (Record.ProposedBy == Owner)
    throw Error(ErrorKind::SameOwner,
                "proposal " + Proposal + " was made by " + Owner,
                "have the other owner sign it");
  const Read<Config> Present = readCurrent();
  requireOpen(Record, Present.Value.Version);
  if (Present.Value.Version != Record.BaseVersion)
    throw ConfigConflictError("proposal " + Proposal + " is based on version " +
                                  std::to_string(Record.BaseVersion),
                              Present.Value.Version);
  const RowCondition OwnSessionRow = requireKnownByAll();

  const Config Next = applyChanges(Present.Value, Record.Changes);
  Record.State = ProposalState::Signed;
  Record.DecidedBy = Owner;
  HistoryRecord Entry;
  Entry.Version = Next.Version;
  Entry.Proposal = Proposal;
  Entry.ProposedBy = Record.ProposedBy;
  Entry.SignedBy = Owner;
  Entry.Changes = Record.Changes;
  Transaction Change;
  Change.Id = Ids.next();
  // Because of the condition on this process's session row, a delayed copy of
  // the transaction can no longer commit once this session has been renewed,
  // fenced or replaced.
  Change.Conditions = {{keys::ConfigCurrent, Present.Version},
                       {keys::proposal(Proposal), Proposed.Version},
                       {keys::history(Next.Version), 0},
                       OwnSessionRow};
  Change.Writes = {{keys::ConfigCurrent, Codec.encode(Next)},
                   {keys::proposal(Proposal), Codec.encode(Record)},
                   {keys::history(Next.Version), Codec.encode(Entry)}};
  if (commitExcludingPromises(Change, Next.Version) == CommitResult::Conflict)
    return std::nullopt;
  return Next.Version;
}

CommitResult ConfigLedger::commitExcludingPromises(const Transaction &Change,
                                                   std::uint64_t Version) {
  PromiseTracker &Promises = Session.promises();
  if (!Promises.beginTransaction(Time.now()))
    throw Error(ErrorKind::NoAuthority,
                "this instance has promised a peer not to change the "
                "configuration",
                "sign again in a few seconds");
  try {
    const CommitResult Result =
        commitWithRetry(Table, Change, keys::history(Version), CommitAttempts);
    // The version is recorded before the transaction ends, so that no later
    // promise reports an older version.
    if (Result == CommitResult::Committed)
      Promises.noteConfigVersion(Version);
    Promises.endTransaction();
    return Result;
  } catch (const Error &Failure) {
    if (Failure.kind() == ErrorKind::StoreUnavailable)
      Promises.endTransaction();
    else
      Promises.markInDoubt();
    throw;
  }
}

void ConfigLedger::reject(const std::string &Proposal,
                          const std::string &Owner) {
  requireAuthority();
  const Read<ProposalRecord> Proposed = readProposal(Proposal);
  ProposalRecord Record = Proposed.Value;
  if (Record.State == ProposalState::Rejected)
    return;
  if (Record.State != ProposalState::Open)
    requireOpen(Record, readCurrent().Value.Version);
  Record.State = ProposalState::Rejected;
  Record.DecidedBy = Owner;
  Transaction Change;
  Change.Id = Ids.next();
  Change.Conditions = {{keys::proposal(Proposal), Proposed.Version}};
  Change.Writes = {{keys::proposal(Proposal), Codec.encode(Record)}};
  if (commitWithRetry(Table, Change, keys::proposal(Proposal),
                      CommitAttempts) == CommitResult::Conflict)
    throw ConfigConflictError("proposal " + Proposal +
                                  " was decided at the same time",
                              readCurrent().Value.Version);
}

std::vector<ProposalRecord> ConfigLedger::proposals() {
  std::vector<ProposalRecord> Open;
  scanAll(Table, keys::ProposalPrefix, [&](const Row &Each) {
    ProposalRecord Record = Codec.decodeProposal(Each.Value);
    if (Record.State == ProposalState::Open)
      Open.push_back(std::move(Record));
  });
  return Open;
}

std::size_t ConfigLedger::pruneProposals() {
  const std::uint64_t Current = readCurrent().Value.Version;
  Transaction Change;
  scanAll(Table, keys::ProposalPrefix, [&](const Row &Each) {
    const ProposalRecord Record = Codec.decodeProposal(Each.Value);
    if (Record.BaseVersion + RetainedVersions >= Current ||
        Change.Writes.size() == MaxPruned)
      return;
    Change.Conditions.push_back({Each.Key, Each.Version});
    Change.Writes.push_back({Each.Key, std::nullopt});
  });
  if (Change.Writes.empty())
    return 0;
  Change.Id = Ids.next();
  const bool Committed = Table.transact(Change) == CommitResult::Committed;
  return Committed ? Change.Writes.size() : 0;
}

std::vector<HistoryRecord> ConfigLedger::history(std::uint64_t After,
                                                 std::uint32_t Limit) {
  std::vector<HistoryRecord> Result;
  for (const Row &Each :
       Table.scan(keys::HistoryPrefix, keys::history(After), Limit))
    Result.push_back(Codec.decodeHistory(Each.Value));
  return Result;
}

void ConfigLedger::requireAuthority() const {
  if (!Session.isValid(Time.now()))
    throw Error(ErrorKind::NoAuthority,
                "this instance cannot reach the table service",
                "try again, or at another instance");
}

void ConfigLedger::requireOpen(const ProposalRecord &Record,
                               std::uint64_t Current) {
  if (Record.State == ProposalState::Open)
    return;
  throw ConfigConflictError("proposal " + Record.Id + " is already " +
                                std::string(proposalStateName(Record.State)),
                            Current);
}

RowCondition ConfigLedger::requireKnownByAll() {
  const SessionId OwnSession = Session.sessionId();
  std::optional<RowCondition> OwnRow;
  scanAll(Table, keys::SessionPrefix, [&](const Row &Each) {
    const SessionRecord Record = Codec.decodeSession(Each.Value);
    if (Record.State == SessionState::Fenced)
      return;
    if (Record.Id == OwnSession) {
      OwnRow = RowCondition{Each.Key, Each.Version};
      return;
    }
    if (std::find(Record.Known.begin(), Record.Known.end(), OwnSession) ==
        Record.Known.end())
      throw Error(ErrorKind::NoAuthority,
                  "instance " + Record.Id.Instance +
                      " does not know this instance yet",
                  "sign through an older instance, or wait a few seconds");
  });
  if (!OwnRow)
    throw Error(ErrorKind::NoAuthority, "the session of this instance ended",
                "try again, or at another instance");
  return *OwnRow;
}

ConfigLedger::Read<ProposalRecord>
ConfigLedger::readProposal(const std::string &Proposal) {
  const std::optional<Row> Present = Table.read(keys::proposal(Proposal));
  if (!Present)
    throw Error(ErrorKind::NotFound, "there is no proposal " + Proposal,
                "list the open proposals");
  return {Codec.decodeProposal(Present->Value), Present->Version};
}

ConfigLedger::Read<Config> ConfigLedger::readCurrent() {
  const std::optional<Row> Present = Table.read(keys::ConfigCurrent);
  if (!Present)
    throw Error(ErrorKind::NotFound, "there is no configuration yet",
                "wait until an instance has started with the store up");
  return {Codec.decodeConfig(Present->Value), Present->Version};
}

} // namespace apricotwing
