/// \file
/// Submission, queries and cancellation of runs.
#ifndef APRICOTWING_DAEMON_RUNSERVICE_H
#define APRICOTWING_DAEMON_RUNSERVICE_H

#include "daemon/context.h"
#include "daemon/shardrunner.h"
#include "wire/runcodec.h"

#include <functional>
#include <optional>
#include <string>

namespace apricotwing {

/// Result of a submission.
struct Submission {
  RunAccepted Answer;
  bool Existed = false; ///< The same submission had been accepted before.
};

/// Runs as callers see them. A run is accepted only once its rows are
/// committed. Owned by the Daemon. All methods are thread-safe and block for a
/// few calls of the table service; they throw Error(StoreUnavailable), and
/// those that write Error(StoreUnknownOutcome).
class RunService {
public:
  /// Asks another instance for its live view of a run.
  using RemoteView = std::function<std::optional<RunView>(
      const std::string &PeerAddress, const TeamName &, const RunId &)>;

  RunService(DaemonContext &Context, ShardRunner &Shards, RemoteView AskPeer);

  /// Accepts a run, or finds the one that was accepted with the same
  /// idempotency key. Throws Error(IdempotencyConflict) if that one differs.
  Submission submit(const TeamName &Team, const RunSpec &Spec);

  /// A run with the reason why it waits. Throws Error(NotFound).
  RunView view(const TeamName &Team, const RunId &Run);

  /// A page of the team's runs after \p After.
  RunPage list(const TeamName &Team, const RunId &After, std::uint32_t Limit);

  /// Asks for a cancellation. Throws Error(NotFound).
  void cancel(const TeamName &Team, const RunId &Run);

  /// The view of a run that this instance schedules; empty otherwise. Does
  /// not use the table service.
  std::optional<RunView> localView(const TeamName &Team, const RunId &Run);

private:
  RunRecord readRun(const TeamName &Team, const RunId &Run);
  void notifyOwner(const ShardId &Shard);
  std::optional<SessionRecord> ownerOf(const ShardId &Shard);

  DaemonContext &Context;
  ShardRunner &Shards;
  const RemoteView AskPeer;
};

} // namespace apricotwing

#endif
