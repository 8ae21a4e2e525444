#include "daemon/log.h"

#include "core/error.h"
#include "core/secret.h"

#include <easylogging++.h>

#include <array>

INITIALIZE_EASYLOGGINGPP

namespace apricotwing {

namespace {

constexpr std::string_view OtherEvents = "other events";

constexpr std::array<std::pair<Component, std::string_view>, 13>
    ComponentNames = {{
        {Component::Daemon, "daemon"},
        {Component::Authority, "authority"},
        {Component::Membership, "membership"},
        {Component::Config, "config"},
        {Component::Scheduler, "scheduler"},
        {Component::Workers, "workers"},
        {Component::Requests, "requests"},
        {Component::Grants, "grants"},
        {Component::Http, "http"},
        {Component::Peers, "peers"},
        {Component::Store, "store"},
        {Component::Objects, "objects"},
        {Component::List, "list"},
    }};

std::string formatLine(Component Source, std::string_view Event,
                       std::string_view Details) {
  std::string Line(componentName(Source));
  Line.append(": ").append(Event);
  if (!Details.empty())
    Line.append(" ").append(Details);
  return redactSecrets(Line);
}

void configureEasylogging() {
  el::Configurations Format;
  Format.setToDefault();
  Format.setGlobally(el::ConfigurationType::Format,
                     "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
  Format.setGlobally(el::ConfigurationType::ToFile, "false");
  Format.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::reconfigureLogger("default", Format);
}

void writeLine(LogLevel Level, const std::string &Line) {
  switch (Level) {
  case LogLevel::Debug:
    LOG(DEBUG) << Line;
    return;
  case LogLevel::Info:
    LOG(INFO) << Line;
    return;
  case LogLevel::Warning:
    LOG(WARNING) << Line;
    return;
  case LogLevel::Error:
    LOG(ERROR) << Line;
    return;
  }
}

} // namespace

std::string_view componentName(Component Value) {
  for (const auto &[Source, Name] : ComponentNames)
    if (Source == Value)
      return Name;
  return "daemon";
}

Log::Log(const Clock &Time, LogLevel MinLevel, Sink Output)
    : Time(Time), MinLevel(MinLevel), Output(std::move(Output)) {}

void Log::debug(Component Source, std::string_view Event,
                std::string_view Details) {
  write(LogLevel::Debug, Source, Event, Details);
}

void Log::info(Component Source, std::string_view Event,
               std::string_view Details) {
  write(LogLevel::Info, Source, Event, Details);
}

void Log::warning(Component Source, std::string_view Event,
                  std::string_view Details) {
  write(LogLevel::Warning, Source, Event, Details);
}

void Log::error(Component Source, std::string_view Event,
                std::string_view Details) {
  write(LogLevel::Error, Source, Event, Details);
}

void Log::failure(Component Source, std::string_view Event,
                  const std::exception &Cause) {
  std::string Details = std::string("cause=\"") + Cause.what() + "\"";
  if (const auto *ProjectError = dynamic_cast<const Error *>(&Cause))
    Details += " kind=" + std::string(errorCode(ProjectError->kind())) +
               " outcome=" + std::string(outcomeName(ProjectError->outcome())) +
               " remedy=\"" + ProjectError->remedy() + "\"";
  warning(Source, Event, Details);
}

void Log::flush() {
  const TimePoint Now = Time.now();
  const std::scoped_lock Lock(Mutex);
  std::erase_if(Windows, [&](const auto &Entry) {
    if (Now - Entry.second.Start < EventWindow)
      return false;
    reportSuppressed(Entry.first, Entry.second, Now);
    return true;
  });
}

std::uint64_t Log::suppressed() const {
  const std::scoped_lock Lock(Mutex);
  return Suppressed;
}

Log::Sink Log::easyloggingSink() {
  configureEasylogging();
  return writeLine;
}

void Log::write(LogLevel Level, Component Source, std::string_view Event,
                std::string_view Details) {
  if (Level < MinLevel)
    return;
  const TimePoint Now = Time.now();
  // The lock is held while writing, which keeps the lines of an event in order.
  const std::scoped_lock Lock(Mutex);
  Window &Current = windowFor(Source, Event, Now);
  Current.Level = std::max(Current.Level, Level);
  if (Current.WrittenCount < EventBurst) {
    ++Current.WrittenCount;
    Output(Level, formatLine(Source, Event, Details));
    return;
  }
  ++Current.SuppressedCount;
  ++Suppressed;
}

Log::Window &Log::windowFor(Component Source, std::string_view Event,
                            TimePoint Now) {
  EventKey Key{Source, std::string(Event)};
  if (Windows.size() >= MaxEvents && !Windows.contains(Key))
    Key = {Source, std::string(OtherEvents)};
  const auto [Entry, IsNew] = Windows.try_emplace(Key);
  Window &Current = Entry->second;
  if (!IsNew && Now - Current.Start < EventWindow)
    return Current;
  reportSuppressed(Key, Current, Now);
  Current = Window{.Start = Now};
  return Current;
}

void Log::reportSuppressed(const EventKey &Key, const Window &Finished,
                           TimePoint Now) {
  if (Finished.SuppressedCount == 0)
    return;
  const auto Seconds =
      std::chrono::duration_cast<std::chrono::seconds>(Now - Finished.Start);
  Output(Finished.Level,
         formatLine(Key.first, Key.second,
                    "repeated " + std::to_string(Finished.SuppressedCount) +
                        " times in " + std::to_string(Seconds.count()) + " s"));
}

} // namespace apricotwing
