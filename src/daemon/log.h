/// \file
/// The log of the daemon: one line per event, with a fixed prefix per
/// component; repeated events are counted.
#ifndef APRICOTWING_DAEMON_LOG_H
#define APRICOTWING_DAEMON_LOG_H

#include "core/time.h"
#include "daemon/loglevel.h"

#include <cstdint>
#include <exception>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

namespace apricotwing {

/// Parts of the daemon that write to the log; the name is the prefix.
enum class Component {
  Daemon,
  Authority,
  Membership,
  Config,
  Scheduler,
  Workers,
  Requests,
  Grants,
  Http,
  Peers,
  Store,
  Objects,
  List,
};

/// Prefix of the lines of \p Value, for example "scheduler". Thread-safe.
std::string_view componentName(Component Value);

/// The one log of a daemon, created by main() and passed by reference to its
/// parts. An event is named by a constant text; details that differ, such as
/// ids, go into a separate text. Of one event (component and name) at most
/// EventBurst lines are written per EventWindow; the rest is counted and
/// reported as "repeated N times in S s". Keys and bearer tokens are replaced
/// before a line leaves this class. Thread-safe.
class Log {
public:
  /// Receives each finished line without time and level.
  using Sink = std::function<void(LogLevel Level, const std::string &Line)>;

  static constexpr std::uint64_t EventBurst = 5;
  static constexpr Duration EventWindow{10'000};

  /// Further names of events share one limit, so that a name made from data
  /// cannot use up the memory.
  static constexpr std::size_t MaxEvents = 1024;

  /// Writes lines of \p Least and above to \p Output. \p Time must outlive
  /// this object.
  Log(const Clock &Time, LogLevel Least, Sink Output = easyloggingSink());

  /// Writes a line for the study of a fault. Thread-safe.
  void debug(Component Part, std::string_view Event,
             std::string_view Details = {});
  /// Writes a line for a normal event. Thread-safe.
  void info(Component Part, std::string_view Event,
            std::string_view Details = {});
  /// Writes a line for a fault that the daemon handles. Thread-safe.
  void warning(Component Part, std::string_view Event,
               std::string_view Details = {});
  /// Writes a line for a fault that needs an operator. Thread-safe.
  void error(Component Part, std::string_view Event,
             std::string_view Details = {});

  /// Writes an exception of this project or of a library, as a warning, with
  /// kind, outcome and remedy where it has them. Thread-safe.
  void failure(Component Part, std::string_view Event,
               const std::exception &Cause);

  /// Reports the counts of events whose window is over. To be called every
  /// few seconds and before the end of the process. Thread-safe.
  void flush();

  /// Lines that were counted instead of written, since the start.
  /// Thread-safe.
  std::uint64_t suppressed() const;

  /// Writes to standard output through easylogging++, with time and level.
  /// Thread-safe.
  static Sink easyloggingSink();

private:
  using EventKey = std::pair<Component, std::string>;

  struct Window {
    TimePoint Start;
    LogLevel Level = LogLevel::Info;
    std::uint64_t Written = 0;
    std::uint64_t Counted = 0;
  };

  void write(LogLevel Level, Component Part, std::string_view Event,
             std::string_view Details);
  Window &windowOf(Component Part, std::string_view Event, TimePoint Now);
  void report(const EventKey &Key, const Window &Ended, TimePoint Now);

  const Clock &Time;
  const LogLevel Least;
  const Sink Output;
  mutable std::mutex Mutex;
  std::map<EventKey, Window> Windows;
  std::uint64_t Suppressed = 0;
};

} // namespace apricotwing

#endif
