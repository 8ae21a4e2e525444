#include "entry/decisionlog.h"

#include <utility>

namespace apricotwing::entry {

namespace {

constexpr Duration Second{1000};

/// Appends \p Value, in quotes if it holds a space.
void append(std::string &Line, std::string_view Name, std::string_view Value) {
  Line += ' ';
  Line += Name;
  Line += '=';
  const bool Quoted = Value.find(' ') != std::string_view::npos;
  if (Quoted)
    Line += '"';
  Line += Value;
  if (Quoted)
    Line += '"';
}

} // namespace

DecisionLog::DecisionLog(const Clock &Time, std::string Instance)
    : Time(Time), Instance(std::move(Instance)), Output(Log::easyloggingSink()),
      SecondStart(Time.now()) {}

void DecisionLog::newSecond(TimePoint Now) {
  if (DroppedInSecond > 0)
    Output(LogLevel::Warning,
           "entry: lines left out count=" + std::to_string(DroppedInSecond) +
               " instance=" + Instance);
  SecondStart = Now;
  Written = 0;
  DroppedInSecond = 0;
}

void DecisionLog::event(std::string_view Name, std::string_view Subject,
                        std::initializer_list<Field> Fields) {
  const TimePoint Now = Time.now();
  if (Now - SecondStart >= Second)
    newSecond(Now);
  if (Written >= LinesPerSecond) {
    ++DroppedInSecond;
    ++Dropped;
    return;
  }
  ++Written;
  std::string Line = "entry:";
  append(Line, "event", Name);
  if (!Subject.empty())
    append(Line, "id", Subject);
  for (const auto &[Key, Value] : Fields)
    append(Line, Key, Value);
  append(Line, "instance", Instance);
  Output(LogLevel::Info, Line);
}

} // namespace apricotwing::entry
