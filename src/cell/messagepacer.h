/// \file
/// Adapts the message rate between the leader of a cell and its members to the
/// load.
#ifndef APRICOTWING_CELL_MESSAGEPACER_H
#define APRICOTWING_CELL_MESSAGEPACER_H

#include "core/time.h"

namespace apricotwing::cell {

/// Increases the interval between messages while the leader handles more of
/// them than its CPU share allows. Each message has a fixed cost of about
/// 0.2 ms, so fewer and larger messages leave more time for scheduling. This
/// matters when dozens of members forward bursts of submissions; small cells
/// do not need it. Owned by the leader and used on its thread only.
class MessagePacer {
public:
  /// \p CpuShare is the fraction of a core that the leader's instance may use.
  explicit MessagePacer(double CpuShare) : CpuShare(CpuShare) {}

  /// Counts a message that was received or sent at \p Now.
  void recordMessage(TimePoint Now);

  /// Factor by which the normal interval between messages is multiplied; at
  /// least 1.
  double factor() const { return Factor; }

  /// Messages per second in the last complete window.
  double rate() const { return Rate; }

  /// Messages per second, in both directions, that a whole core can handle if
  /// it spends half of its time on them, at 0.2 ms each.
  static constexpr double MessagesPerCore = 2400;

  /// Length of the window over which messages are counted.
  static constexpr Duration Window{250};

  static constexpr double MaxFactor = 8;

private:
  const double CpuShare;
  TimePoint WindowStart;
  int Count = 0;
  double Rate = 0;
  double Factor = 1;
};

} // namespace apricotwing::cell

#endif
