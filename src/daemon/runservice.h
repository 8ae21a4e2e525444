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

/// Result of submitting a run.
struct SubmissionResult {
  RunAccepted Accepted;
  bool IsDuplicate = false; ///< An equal submission was accepted before.
};

/// Implements the operations that callers perform on runs. A run is accepted
/// only after its rows are committed. Owned by the Daemon. All methods are
/// thread-safe and block for a few calls to the table service. They throw
/// Error(StoreUnavailable); methods that write also throw
/// Error(StoreUnknownOutcome).
class RunService {
public:
  /// Fetches the current view of a run from another instance; empty if that
  /// instance cannot be reached or does not schedule the run.
  using PeerViewFetcher = std::function<std::optional<RunView>(
      const std::string &PeerAddress, const TeamName &, const RunId &)>;

  RunService(DaemonContext &Context, ShardRunner &Shards,
             PeerViewFetcher FetchPeerView);

  /// Accepts a run, or returns the run that was accepted earlier with the same
  /// idempotency key. Throws Error(IdempotencyConflict) if the specification of
  /// the earlier run differs.
  SubmissionResult submit(const TeamName &Team, const RunSpec &Spec);

  /// Returns a run, including the reason why its tasks are pending. Throws
  /// Error(NotFound).
  RunView view(const TeamName &Team, const RunId &Run);

  /// Returns up to \p Limit runs of the team whose ids follow \p After.
  RunPage list(const TeamName &Team, const RunId &After, std::uint32_t Limit);

  /// Requests the cancellation of a run. Throws Error(NotFound).
  void cancel(const TeamName &Team, const RunId &Run);

  /// Returns the current view of a run that this instance schedules; empty for
  /// other runs. Does not call the table service.
  std::optional<RunView> localView(const TeamName &Team, const RunId &Run);

private:
  RunRecord readRun(const TeamName &Team, const RunId &Run);
  void notifyOwner(const ShardId &Shard);
  std::optional<SessionRecord> ownerOf(const ShardId &Shard);

  DaemonContext &Context;
  ShardRunner &Shards;
  const PeerViewFetcher FetchPeerView;
};

} // namespace apricotwing

#endif
