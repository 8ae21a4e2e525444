/// \file
/// The log of an entry instance's decisions.
#ifndef APRICOTWING_ENTRY_DECISIONLOG_H
#define APRICOTWING_ENTRY_DECISIONLOG_H

#include "cell/ports.h"
#include "daemon/log.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace apricotwing::entry {

/// Writes one line of key=value pairs per event to standard output. Beyond
/// LinesPerKind of one name in a second, lines are counted and the counts are
/// written, so that the many lines about tasks leave room for the few about
/// what the process believes. Owned by the process; used on the control thread.
class DecisionLog final : public cell::EventLog {
public:
  /// Bounds the volume under load. A busy leader writes four kinds of lines
  /// that often, some 300 lines a second; a quiet instance far less.
  static constexpr int LinesPerKind = 60;

  /// \p Instance is written on each line.
  DecisionLog(const Clock &Time, std::string Instance,
              Log::Sink Output = Log::easyloggingSink());

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
  std::map<std::string, int, std::less<>> Seen; ///< In this second, by name.
  std::uint64_t Dropped = 0;
};

} // namespace apricotwing::entry

#endif
