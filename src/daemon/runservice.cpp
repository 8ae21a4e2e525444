#include "daemon/runservice.h"

#include "core/shardmap.h"
#include "httpclient/crypto.h"

#include <chrono>
#include <future>
#include <memory>

namespace apricotwing {

namespace {

constexpr int MaxCommitAttempts = 3;

/// Allows for the commit that the scheduler thread may have to finish before it
/// handles the query.
constexpr std::chrono::milliseconds LocalViewTimeout{1500};

RunView storedView(const RunRecord &Record) {
  RunView View;
  View.Record = Record;
  const std::uint32_t Placed =
      Record.Running + Record.Succeeded + Record.Failed;
  if (!isFinal(Record.State) && Record.Spec.Tasks > Placed)
    View.PendingTasks = Record.Spec.Tasks - Placed;
  if (View.PendingTasks > 0)
    View.PendingReason = Record.Reason;
  return View;
}

} // namespace

RunService::RunService(DaemonContext &Context, ShardRunner &Shards,
                       PeerViewFetcher FetchPeerView)
    : Context(Context), Shards(Shards),
      FetchPeerView(std::move(FetchPeerView)) {}

SubmissionResult RunService::submit(const TeamName &Team, const RunSpec &Spec) {
  RunRecord Record;
  Record.Id = randomId();
  Record.Team = Team;
  Record.Shard = shardOfRun(Record.Id, Context.Options.Scheduler.ShardsPerCell);
  Record.Spec = Spec;
  const IdempotencyRecord Entry{Record.Id, sha256Hex(runDigestInput(Spec))};
  const std::string IdempotencyRowKey =
      keys::idempotency(Team, Spec.IdempotencyKey);
  Transaction Change;
  Change.Id = Context.Ids.next();
  Change.Conditions = {{IdempotencyRowKey, 0}};
  Change.Writes = {{IdempotencyRowKey, Context.Codec.encode(Entry)},
                   {keys::run(Team, Record.Id), Context.Codec.encode(Record)},
                   {keys::inbox(Record.Shard, Record.Id), Team}};
  if (commitWithRetry(Context.Table, Change, IdempotencyRowKey,
                      MaxCommitAttempts) == CommitResult::Committed) {
    Context.Metrics.runAccepted(Team, Spec.Kind);
    notifyOwner(Record.Shard);
    return {{Record.Id, RunState::Accepted}, false};
  }
  const std::optional<Row> Existing = Context.Table.read(IdempotencyRowKey);
  if (!Existing)
    throw Error(ErrorKind::StoreConflict, "the idempotency row was deleted",
                "retry the same submission");
  const IdempotencyRecord Found =
      Context.Codec.decodeIdempotency(Existing->Value);
  if (Found.Digest != Entry.Digest)
    throw Error(ErrorKind::IdempotencyConflict,
                "the idempotency key belongs to run " + Found.Run +
                    ", which has another specification",
                "use a new idempotency key for a new run");
  return {{Found.Run, readRun(Team, Found.Run).State}, true};
}

RunRecord RunService::readRun(const TeamName &Team, const RunId &Run) {
  const std::optional<Row> Found = Context.Table.read(keys::run(Team, Run));
  if (!Found)
    throw Error(ErrorKind::NotFound, "team " + Team + " has no run " + Run,
                "list the team's runs with 'apricotwing list'");
  return Context.Codec.decodeRun(Found->Value);
}

std::optional<RunView> RunService::localView(const TeamName &Team,
                                             const RunId &Run) {
  const auto ViewPromise =
      std::make_shared<std::promise<std::optional<RunView>>>();
  std::future<std::optional<RunView>> ViewFuture = ViewPromise->get_future();
  if (!Shards.queryRun(Run, [ViewPromise](std::optional<RunView> View) {
        ViewPromise->set_value(std::move(View));
      }))
    return std::nullopt;
  if (ViewFuture.wait_for(LocalViewTimeout) != std::future_status::ready)
    return std::nullopt;
  std::optional<RunView> View = ViewFuture.get();
  if (View && View->Record.Team != Team)
    return std::nullopt;
  return View;
}

RunView RunService::view(const TeamName &Team, const RunId &Run) {
  if (std::optional<RunView> Local = localView(Team, Run))
    return *Local;
  const RunRecord Record = readRun(Team, Run);
  if (isFinal(Record.State))
    return storedView(Record);
  const std::optional<SessionRecord> Owner = ownerOf(Record.Shard);
  if (Owner && Owner->Id != Context.Session.sessionId())
    if (std::optional<RunView> Remote =
            FetchPeerView(Owner->PeerAddress, Team, Run))
      return *Remote;
  return storedView(Record);
}

RunPage RunService::list(const TeamName &Team, const RunId &After,
                         std::uint32_t Limit) {
  const std::string Prefix = keys::runPrefix(Team);
  const std::vector<Row> Rows = Context.Table.scan(
      Prefix, After.empty() ? std::string() : Prefix + After, Limit + 1);
  RunPage Page;
  for (const Row &Entry : Rows) {
    if (Page.Runs.size() == Limit) {
      Page.HasMore = true;
      break;
    }
    Page.Runs.push_back(storedView(Context.Codec.decodeRun(Entry.Value)));
  }
  return Page;
}

void RunService::cancel(const TeamName &Team, const RunId &Run) {
  const RunRecord Record = readRun(Team, Run);
  if (isFinal(Record.State))
    return;
  // Concurrent cancellations write the same row, so no condition is needed.
  Transaction Change;
  Change.Id = Context.Ids.next();
  const std::string Key = keys::cancel(Record.Shard, Run);
  Change.Writes = {{Key, Team}};
  commitWithRetry(Context.Table, Change, Key, MaxCommitAttempts);
  notifyOwner(Record.Shard);
}

std::optional<SessionRecord> RunService::ownerOf(const ShardId &Shard) {
  const std::optional<Row> Found = Context.Table.read(keys::shard(Shard));
  if (!Found)
    return std::nullopt;
  const SessionId Owner = Context.Codec.decodeShard(Found->Value).Owner;
  for (const MemberRow &Member : Context.Session.members())
    if (Member.Record.Id == Owner)
      return Member.Record;
  return std::nullopt;
}

void RunService::notifyOwner(const ShardId &Shard) {
  Shards.notify();
  try {
    const std::optional<SessionRecord> Owner = ownerOf(Shard);
    if (Owner && Owner->Id != Context.Session.sessionId())
      Context.Peers.notify(Owner->PeerAddress, Shard);
  } catch (const Error &Failure) {
    // Without the notification, the owner finds the rows in its next periodic
    // scan of the inbox.
    Context.Logger.failure(Component::Peers, "cannot notify the shard's owner",
                           Failure);
  }
}

} // namespace apricotwing
