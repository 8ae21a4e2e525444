#include "soak/entrylogs.h"

#include "soak/store.h"

#include <algorithm>
#include <deque>
#include <fstream>
#include <functional>

namespace apricotwing::soak {

namespace {

constexpr std::size_t LinesPerFinding = 6;
constexpr std::size_t LinesPerRepeatedTask = 60;
/// Lines about a worker count from so long before a run to so long after it.
constexpr std::int64_t MarginMs = 5000;

/// The lines of all entries, in the order of time.
std::deque<std::string>
linesWith(const Entries &Instances,
          const std::function<bool(const std::string &)> &IsWanted) {
  std::deque<std::string> Result;
  for (int Index = 0; Index < EntryCount; ++Index) {
    std::ifstream Log(Instances.logFile(Index));
    for (std::string Line; std::getline(Log, Line);)
      if (IsWanted(Line))
        Result.push_back(Line + " (" + Entries::name(Index) + ")");
  }
  std::sort(Result.begin(), Result.end());
  return Result;
}

std::string indent(const std::deque<std::string> &Lines) {
  std::string Result;
  for (const std::string &Line : Lines)
    Result.append("    ").append(Line).append("\n");
  return Result.empty() ? "    no line of an entry names it\n" : Result;
}

bool contains(const std::string &Line, const std::string &Text) {
  return Line.find(Text) != std::string::npos;
}

} // namespace

std::string lastLogLines(const Entries &Instances, const std::string &Event,
                         const std::string &Subject) {
  std::deque<std::string> Lines =
      linesWith(Instances, [&](const std::string &Line) {
        return contains(Line, "event=\"" + Event + "\"") &&
               contains(Line, Subject);
      });
  while (Lines.size() > LinesPerFinding)
    Lines.pop_front();
  return indent(Lines);
}

std::string logLinesOf(const Entries &Instances, const RepeatedTask &Case) {
  const std::int64_t UnixOffset = unixMs() - nowMs();
  const std::string From =
      isoTime(UnixOffset + Case.Earlier.StartMs - MarginMs);
  const std::string To = isoTime(UnixOffset + Case.Later.StartMs + MarginMs);
  std::deque<std::string> Lines =
      linesWith(Instances, [&](const std::string &Line) {
        if (contains(Line, "id=" + Case.Later.Task + " "))
          return true;
        const bool NamesWorker =
            contains(Line, "id=" + Case.Earlier.Worker + " ") ||
            contains(Line, "id=" + Case.Later.Worker + " ");
        return NamesWorker && Line > From && Line < To &&
               (contains(Line, "event=\"worker ") ||
                contains(Line, "event=\"runs outlived the lease\""));
      });
  if (Lines.size() > LinesPerRepeatedTask)
    Lines.resize(LinesPerRepeatedTask);
  return indent(Lines);
}

} // namespace apricotwing::soak
