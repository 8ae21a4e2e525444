/// \file
/// Durations of the cell's protocols.
#ifndef APRICOTWING_CELL_TIMING_H
#define APRICOTWING_CELL_TIMING_H

#include "core/time.h"

namespace apricotwing::cell {

/// All durations that leadership, links and worker leases depend on. The
/// defaults are for a platform that keeps worker leases for up to 10 s and
/// counts an instance as in touch after 3 s; platform code derives them from
/// its settings.
struct Timing {
  /// A leader without a commit for this long stops deciding. Other instances
  /// wait LeaderMargin longer before they take over.
  Duration LeaderLease{1200};

  /// Covers clock rates that differ by up to 2% and rounding.
  Duration LeaderMargin{150};

  /// An idle leader commits this often, four times within its lease.
  Duration LeaderRenewal{300};

  /// A leader whose commits fail for this long resigns if another instance
  /// reaches the store.
  Duration ResignAfter{500};

  /// Longest silence of a link; mail is sent at least this often.
  Duration KeepAlive{250};

  /// Least time between two mails of one direction of a link. Each costs some
  /// 0.3 ms of processor time at both ends, so that without it a busy leader
  /// would spend its whole share on them.
  Duration MailGap{10};

  /// A link without an acknowledged mail for this long is broken. Shorter
  /// would break links to slowed instances, longer would delay a takeover.
  Duration LinkTimeout{900};

  /// A member extends worker leases for this long after the sending of the
  /// last mail that its leader acknowledged.
  Duration MemberLease{2000};

  /// Length of a worker's lease. Bridges a change of the leader (4 s); work on
  /// a worker that is lost can be repeated only after it.
  Duration WorkerLease{6500};

  /// Longest wait of a call that reads a worker's lists.
  Duration HoldWait{900};

  /// A start that arrives later at its worker is refused there, so that an
  /// order without an answer is settled after this time.
  Duration StartValidity{1500};

  /// How long a member keeps a caller waiting while there is no leader.
  Duration LeaderlessWait{700};

  /// Time that ended jobs can be asked for.
  Duration StatusRetention{120'000};

  /// The worker's clock may be slower than ours by this factor.
  double SlowestWorkerClock = 0.98;
};

} // namespace apricotwing::cell

#endif
