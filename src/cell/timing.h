/// \file
/// Timeouts and intervals of the cell's protocols, and scheduler options.
#ifndef APRICOTWING_CELL_TIMING_H
#define APRICOTWING_CELL_TIMING_H

#include "core/time.h"
#include "jobs/scheduleroptions.h"

namespace apricotwing::cell {

/// Durations that leader election, message links and worker leases depend on.
/// The defaults suit a platform that limits worker leases to 10 s and considers
/// an instance reachable after 3 s; platform code derives the values from its
/// settings.
struct Timing {
  /// A leader stops making decisions if it has not committed for this long.
  /// Other instances wait ClockSkewMargin longer before they take over.
  Duration LeaderLease{1200};

  /// Safety margin of leases for rounding and for clock rates that differ by up
  /// to 2%.
  Duration ClockSkewMargin{150};

  /// Interval of commits of an idle leader: four within LeaderLease.
  Duration LeaderRenewInterval{300};

  /// A leader whose commits fail for this long resigns if another instance can
  /// reach the store.
  Duration ResignTimeout{500};

  /// Maximum time between two messages from a member to its leader; an empty
  /// message is sent if there is no content.
  Duration KeepAliveInterval{250};

  /// The same for members that supervise no workers. Two fit into LinkTimeout.
  Duration IdleKeepAliveInterval{400};

  /// The same for messages from the leader, which show only whether this
  /// direction of the link works.
  Duration LeaderKeepAliveInterval{1000};

  /// Minimum interval between two messages in one direction of a link. Each
  /// message costs about 0.3 ms of CPU time at both ends, so without this limit
  /// a busy leader would spend its whole CPU share on messages.
  Duration MinMessageInterval{10};

  /// A link is considered broken if no message was acknowledged for this long.
  /// A shorter timeout would break links to slow instances, a longer one would
  /// delay a takeover.
  Duration LinkTimeout{900};

  /// A member may extend worker leases for this long after it sent the last
  /// message that its leader acknowledged.
  Duration MemberLease{2000};

  /// Duration of a worker's lease. It is long enough to outlast a change of the
  /// leader (4 s). Tasks on a lost worker can be started again only after it
  /// expires.
  Duration WorkerLease{6500};

  /// Longest lease that a worker accepts, whatever it is asked for.
  Duration MaxWorkerLease{10'000};

  /// Maximum time that a worker may delay the response to a heartbeat.
  Duration HeartbeatWait{900};

  /// Validity of a start order. Its worker rejects it after this time, so the
  /// effect of an order without a response is known afterwards.
  Duration StartValidity{1500};

  /// Longest time for which the network holds a start order back that gets no
  /// answer.
  Duration StartTransit{2000};

  /// How long a member delays the response to a caller while there is no
  /// leader.
  Duration NoLeaderTimeout{700};

  /// Longest time for which a call is kept open, whatever its caller states.
  Duration MaxCallTime{60'000};

  /// How long the state of ended jobs can be queried.
  Duration StatusRetention{120'000};

  /// Time after which a worker carries out no call that it has not answered.
  /// The platform says "seconds" and has been seen to take up to 12.
  Duration MaxCallDelay{15'000};

  /// Operators may evacuate availability zones. A leader then starts nothing
  /// while its view of the operators' rows is older than
  /// PolicyTracker::MaxViewAge.
  bool EvacuatesZones = false;

  /// Options of the scheduler of each leader.
  jobs::SchedulerOptions Scheduler;

  /// Lower bound for the rate of a worker's clock relative to the local clock.
  double MinWorkerClockRate = 0.98;

  /// Longest local time that \p Length takes on a worker's clock.
  Duration onWorkerClock(Duration Length) const {
    return Duration(Duration::rep(double(Length.count()) / MinWorkerClockRate));
  }
};

} // namespace apricotwing::cell

#endif
