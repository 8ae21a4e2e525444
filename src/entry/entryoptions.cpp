#include "entry/entryoptions.h"

#include "core/error.h"

#include <boost/program_options/errors.hpp>
#include <boost/program_options/options_description.hpp>
#include <boost/program_options/parsers.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <set>
#include <sstream>

namespace po = boost::program_options;

namespace apricotwing::entry {

namespace {

constexpr std::int64_t SecondsPerMonth = 2'592'000;

constexpr std::size_t BytesPerKib = 1024;

/// Holds one job with the largest number of tasks.
constexpr std::int64_t MinJobMemoryKib = 8192;

/// 16 GiB.
constexpr std::int64_t MaxIntakeKib = 16'777'216;

constexpr std::array OptionRows = {
    EntryOptionInfo{"scheduler", "migrate_from_leaving_workers", "", 0, 1, 0,
                    "1: runs that cannot finish on a worker that is about to "
                    "leave are stopped and started elsewhere; 0: they end with "
                    "the worker.",
                    [](EntryOptions &Target, std::int64_t Value) {
                      Target.Scheduler.MigrateFromLeavingWorkers = Value != 0;
                    }},
    EntryOptionInfo{"jobs", "memory_kib", "KiB", MinJobMemoryKib, MaxIntakeKib,
                    jobs::SchedulerOptions::DefaultJobMemory / BytesPerKib,
                    "Memory that the accepted jobs of a shard may take on its "
                    "leader; further jobs are refused with 429. Any instance "
                    "may have to load them, so it must fit the smallest one.",
                    [](EntryOptions &Target, std::int64_t Value) {
                      Target.Scheduler.JobMemory =
                          std::size_t(Value) * BytesPerKib;
                    }},
    EntryOptionInfo{"intake", "budget_kib", "KiB", 0, MaxIntakeKib, 0,
                    "Memory for requests that are being received and responses "
                    "that are not yet read, of all servers; at least 61440; 0: "
                    "half of the machine's, at most 524288.",
                    [](EntryOptions &Target, std::int64_t Value) {
                      Target.Intake.BudgetKib = Value;
                    }},
    EntryOptionInfo{"intake", "address_kib", "KiB", 0, MaxIntakeKib, 0,
                    "The part of that memory which the connections of one "
                    "client address may use on one server; 0: all of it.",
                    [](EntryOptions &Target, std::int64_t Value) {
                      Target.Intake.AddressKib = Value;
                    }},
    EntryOptionInfo{"intake", "request_timeout_ms", "ms", 3000, 600'000, 30'000,
                    "Time from the first byte of a request to its last one; "
                    "else 408.",
                    [](EntryOptions &Target, std::int64_t Value) {
                      Target.Intake.RequestTimeout = Duration(Value);
                    }},
    EntryOptionInfo{"intake", "connections", "", 0, 65'536, 0,
                    "Connections of callers; one more closes the one that has "
                    "been idle or unfinished for longest; 0: a quarter of the "
                    "file descriptors.",
                    [](EntryOptions &Target, std::int64_t Value) {
                      Target.Intake.Connections = Value;
                    }},
    EntryOptionInfo{"past_use", "half_life_s", "s", 0, SecondsPerMonth, 0,
                    "Time after which the past use of an account counts half "
                    "in the order of waiting work; 0: it does not count.",
                    [](EntryOptions &Target, std::int64_t Value) {
                      Target.Scheduler.UsageHalfLife = Duration(1000 * Value);
                    }},
};

[[noreturn]] void throwBadOption(const std::string &Path,
                                 const std::string &Problem,
                                 const std::string &Remedy) {
  throw Error(ErrorKind::BadSettings, Path + ": " + Problem, Remedy);
}

std::string fullName(const EntryOptionInfo &Info) {
  return std::string(Info.Section).append(".").append(Info.Key);
}

std::string rangeOf(const EntryOptionInfo &Info) {
  return std::to_string(Info.Min) + ".." + std::to_string(Info.Max);
}

void apply(EntryOptions &Target, const po::option &Option,
           const std::string &Path) {
  const std::string &Name = Option.string_key;
  const auto Info = std::find_if(
      OptionRows.begin(), OptionRows.end(),
      [&Name](const EntryOptionInfo &Row) { return fullName(Row) == Name; });
  if (Info == OptionRows.end())
    throwBadOption(Path, Name + ": unknown key",
                   "remove it or correct its name; apricotwing-entry "
                   "--help-settings lists all keys");
  const std::string Text = Option.value.empty() ? "" : Option.value.front();
  std::int64_t Value = 0;
  const char *const End = Text.data() + Text.size();
  const auto [Rest, Problem] = std::from_chars(Text.data(), End, Value);
  if (Problem != std::errc() || Rest != End || Value < Info->Min ||
      Value > Info->Max)
    throwBadOption(Path, Name + " = " + Text + ": not an integer in the range",
                   "give an integer in the range " + rangeOf(*Info));
  Info->Assign(Target, Value);
}

} // namespace

std::span<const EntryOptionInfo> entryOptionTable() { return OptionRows; }

std::string entryOptionHelp() {
  std::ostringstream Out;
  std::string_view Section;
  for (const EntryOptionInfo &Info : OptionRows) {
    if (Info.Section != Section)
      Out << "[" << Info.Section << "]\n";
    Section = Info.Section;
    Out << "  " << Info.Key << "\n      " << Info.Description
        << "\n      integer, " << rangeOf(Info)
        << (Info.Unit.empty() ? "" : " ") << Info.Unit << "; default "
        << Info.Default << "\n";
  }
  return Out.str();
}

EntryOptions readEntryOptions(const std::string &Path) {
  if (Path.empty())
    return {};
  std::ifstream Input(Path);
  if (!Input)
    throwBadOption(Path, "cannot be read",
                   "give the path of a file that this user can read");
  return parseEntryOptions(Input, Path);
}

EntryOptions parseEntryOptions(std::istream &Input, const std::string &Path) {
  EntryOptions Result;
  std::set<std::string> Seen;
  try {
    const po::options_description NoOptions;
    // apply() rejects unknown keys.
    constexpr bool AllowUnregistered = true;
    for (const po::option &Option :
         po::parse_config_file(Input, NoOptions, AllowUnregistered).options) {
      if (!Seen.insert(Option.string_key).second)
        throwBadOption(Path, Option.string_key + ": given more than once",
                       "keep one of the lines");
      apply(Result, Option, Path);
    }
  } catch (const po::error &Problem) {
    throwBadOption(Path, Problem.what(),
                   "write [section], key = value or # comment on each line");
  }
  return Result;
}

} // namespace apricotwing::entry
