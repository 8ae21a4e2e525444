/// \file
/// Log of an entry instance's decisions.
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

/// Writes one line of key=value pairs per event to standard output. Lines are
/// limited per event name: beyond MaxLinesPerSecond they are counted instead,
/// and the count is written after the second. Frequent events of tasks thus
/// don't suppress rare events such as a change of the leader. Owned by the
/// process; used on the control thread only.
class DecisionLog final : public cell::EventLog {
public:
  /// Largest number of lines per second and event name. A busy leader reaches
  /// this limit with four event names and writes about 300 lines per second in
  /// total; an idle instance writes far fewer.
  static constexpr int MaxLinesPerSecond = 60;

  /// \p Instance is the name of the instance, which is written on each line.
  DecisionLog(const Clock &Time, std::string Instance,
              Log::Sink Output = Log::easyloggingSink());

  /// See EventLog.
  void event(std::string_view Name, std::string_view Subject,
             std::initializer_list<Field> Fields) override;

  /// Total number of lines that were not written because of the limit.
  std::uint64_t dropped() const { return Dropped; }

private:
  void startSecond(TimePoint Now);

  const Clock &Time;
  const std::string Instance;
  const Log::Sink Output;
  TimePoint SecondStart;
  std::map<std::string, int, std::less<>> LinesThisSecond; ///< By event name.
  std::uint64_t Dropped = 0;
};

} // namespace apricotwing::entry

#endif
