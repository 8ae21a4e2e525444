/// \file
/// The daemon's logger: writes one line per event with the component as its
/// prefix, and limits the rate of repeated events.
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

/// Components that write to the log. The component's name is the line prefix.
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

/// Returns the line prefix of \p Value, for example "scheduler". Thread-safe.
std::string_view componentName(Component Value);

/// The logger of a process, passed by reference to all components. An event has
/// a constant name; variable details such as ids are passed separately. At most
/// EventBurst lines are written per event (component and name) and EventWindow;
/// further lines are counted and reported as "repeated N times in S s". API
/// keys and bearer tokens are redacted before a line is written. Thread-safe.
class Log {
public:
  /// Receives each formatted line, without timestamp and level.
  using Sink = std::function<void(LogLevel Level, const std::string &Line)>;

  static constexpr std::uint64_t EventBurst = 5;
  static constexpr Duration EventWindow{10'000};

  /// Maximum number of events with a limit of their own; all further events
  /// share one limit. Bounds the memory if an event name contains data.
  static constexpr std::size_t MaxEvents = 1024;

  /// Writes lines of level \p MinLevel and above to \p Output. \p Time must
  /// outlive this object.
  Log(const Clock &Time, LogLevel MinLevel, Sink Output = easyloggingSink());

  /// Logs details for debugging. Thread-safe.
  void debug(Component Source, std::string_view Event,
             std::string_view Details = {});
  /// Logs a normal event. Thread-safe.
  void info(Component Source, std::string_view Event,
            std::string_view Details = {});
  /// Logs a fault that the daemon handles itself. Thread-safe.
  void warning(Component Source, std::string_view Event,
               std::string_view Details = {});
  /// Logs a fault that requires an operator. Thread-safe.
  void error(Component Source, std::string_view Event,
             std::string_view Details = {});

  /// Logs an exception as a warning. An Error is logged with its kind, outcome
  /// and remedy. Thread-safe.
  void failure(Component Source, std::string_view Event,
               const std::exception &Cause);

  /// Reports the suppressed lines of all events whose window has ended. Must be
  /// called every few seconds and before the process exits. Thread-safe.
  void flush();

  /// Number of suppressed lines since the start. Thread-safe.
  std::uint64_t suppressed() const;

  /// Returns a sink that writes to standard output through easylogging++, with
  /// timestamp and level. Thread-safe.
  static Sink easyloggingSink();

private:
  using EventKey = std::pair<Component, std::string>;

  struct Window {
    TimePoint Start;
    LogLevel Level = LogLevel::Info;
    std::uint64_t WrittenCount = 0;
    std::uint64_t SuppressedCount = 0;
  };

  void write(LogLevel Level, Component Source, std::string_view Event,
             std::string_view Details);
  Window &windowFor(Component Source, std::string_view Event, TimePoint Now);
  void reportSuppressed(const EventKey &Key, const Window &Finished,
                        TimePoint Now);

  const Clock &Time;
  const LogLevel MinLevel;
  const Sink Output;
  mutable std::mutex Mutex;
  std::map<EventKey, Window> Windows;
  std::uint64_t Suppressed = 0;
};

} // namespace apricotwing

#endif
