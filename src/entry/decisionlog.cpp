#include "entry/decisionlog.h"

#include <utility>

namespace apricotwing::entry {

namespace {

constexpr Duration OneSecond{1000};

/// Appends `Name=Value` to \p Line, with \p Value in quotes if it contains a
/// space.
void appendField(std::string &Line, std::string_view Name,
                 std::string_view Value) {
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

void DecisionLog::startSecond(TimePoint Now) {
  for (auto &[Name, Count] : LinesThisSecond) {
    if (Count > MaxLinesPerSecond) {
      std::string Line = "entry: lines left out";
      appendField(Line, "of", Name);
      appendField(Line, "count", std::to_string(Count - MaxLinesPerSecond));
      appendField(Line, "instance", Instance);
      Output(LogLevel::Warning, Line);
    }
    Count = 0;
  }
  SecondStart = Now;
}

void DecisionLog::event(std::string_view Name, std::string_view Subject,
                        std::initializer_list<Field> Fields) {
  const TimePoint Now = Time.now();
  if (Now - SecondStart >= OneSecond)
    startSecond(Now);
  auto Found = LinesThisSecond.find(Name);
  if (Found == LinesThisSecond.end())
    Found = LinesThisSecond.emplace(Name, 0).first;
  if (++Found->second > MaxLinesPerSecond) {
    ++Dropped;
    return;
  }
  std::string Line = "entry:";
  appendField(Line, "event", Name);
  if (!Subject.empty())
    appendField(Line, "id", Subject);
  for (const auto &[Key, Value] : Fields)
    appendField(Line, Key, Value);
  appendField(Line, "instance", Instance);
  Output(LogLevel::Info, Line);
}

} // namespace apricotwing::entry
