/// \file
/// The log of an entry instance's decisions.
#ifndef APRICOTWING_ENTRY_DECISIONLOG_H
#define APRICOTWING_ENTRY_DECISIONLOG_H

#include "cell/ports.h"
#include "daemon/log.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace apricotwing::entry {

/// Writes one line of key=value pairs per event to standard output. Beyond
/// LinesPerSecond, lines are counted and the count is written. Owned by the
/// process; used on the control thread.
class DecisionLog final : public cell::EventLog {
public:
  /// Bounds the volume under load; a quiet instance writes far less.
  static constexpr int LinesPerSecond = 200;

  /// \p Instance is written on each line.
  DecisionLog(const Clock &Time, std::string Instance);

  /// See EventLog.
  void event(std::string_view Name, std::string_view Subject,
             std::initializer_list<Field> Fields) override;

  /// Lines that were counted instead of written.
  std::uint64_t dropped() const { return Dropped; }

private:
  void newSecond(TimePoint Now);

  const Clock &Time;
  const std::string Instance;
  const Log::Sink Output;
  TimePoint SecondStart;
  int Written = 0;
  std::uint64_t DroppedInSecond = 0;
  std::uint64_t Dropped = 0;
};

} // namespace apricotwing::entry

#endif
