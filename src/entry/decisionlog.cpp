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

DecisionLog::DecisionLog(const Clock &Time, std::string Instance,
                         Log::Sink Output)
    : Time(Time), Instance(std::move(Instance)), Output(std::move(Output)),
      SecondStart(Time.now()) {}

void DecisionLog::newSecond(TimePoint Now) {
  for (auto &[Name, Count] : Seen) {
    if (Count > LinesPerKind) {
      std::string Line = "entry: lines left out";
      append(Line, "of", Name);
      append(Line, "count", std::to_string(Count - LinesPerKind));
      append(Line, "instance", Instance);
      Output(LogLevel::Warning, Line);
    }
    Count = 0;
  }
  SecondStart = Now;
}

void DecisionLog::event(std::string_view Name, std::string_view Subject,
                        std::initializer_list<Field> Fields) {
  const TimePoint Now = Time.now();
  if (Now - SecondStart >= Second)
    newSecond(Now);
  auto Found = Seen.find(Name);
  if (Found == Seen.end())
    Found = Seen.emplace(Name, 0).first;
  if (++Found->second > LinesPerKind) {
    ++Dropped;
    return;
  }
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
