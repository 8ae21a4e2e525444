/// \file
/// How often the members of a cell and their leader may exchange mail.
#ifndef APRICOTWING_CELL_MAILPACER_H
#define APRICOTWING_CELL_MAILPACER_H

#include "core/time.h"

namespace apricotwing::cell {

/// Spreads mail out while the leader handles more of it than it has processor
/// time for: each mail costs some 0.2 ms beside its content, so fewer and
/// larger mails leave time to decide. Load: bursts of submissions at dozens of
/// members; small cells do without it. Owned by the leader; used on its thread
/// only.
class MailPacer {
public:
  /// \p CpuShare is the part of a core that the leader's instance may use.
  explicit MailPacer(double CpuShare) : CpuShare(CpuShare) {}

  /// Counts a mail that was received or sent at \p Now.
  void note(TimePoint Now);

  /// By how much the usual gaps between mails are to be multiplied; at least 1.
  double factor() const { return Factor; }

  /// Mails a second in the last full window.
  double rate() const { return Rate; }

  /// Mails a second, in both directions, for which a whole core has time: half
  /// of it at 0.2 ms each.
  static constexpr double MailsPerCore = 2400;

  /// Length of the windows in which mails are counted.
  static constexpr Duration Window{250};

  static constexpr double LargestFactor = 8;

private:
  const double CpuShare;
  TimePoint WindowStart;
  int Count = 0;
  double Rate = 0;
  double Factor = 1;
};

} // namespace apricotwing::cell

#endif
