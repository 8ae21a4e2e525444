/// \file
/// Options of an entry instance that its operators set in an INI file, beside
/// the settings file of the platform.
#ifndef APRICOTWING_ENTRY_ENTRYOPTIONS_H
#define APRICOTWING_ENTRY_ENTRYOPTIONS_H

#include "httpserver/intakesettings.h"
#include "jobs/scheduleroptions.h"

#include <cstdint>
#include <istream>
#include <span>
#include <string>
#include <string_view>

namespace apricotwing::entry {

/// All options of an entry instance. A value type.
struct EntryOptions {
  jobs::SchedulerOptions Scheduler;
  IntakeSettings Intake;
};

/// Definition of an option. All options are integers. The parser, the help text
/// and docs/settings.md follow this table.
struct EntryOptionInfo {
  std::string_view Section;
  std::string_view Key;
  std::string_view Unit; ///< "s", "ms", "KiB", or empty.
  std::int64_t Min = 0;
  std::int64_t Max = 0;
  std::int64_t Default = 0;
  std::string_view Description;
  void (*Assign)(EntryOptions &Target, std::int64_t Value) = nullptr;
};

/// Returns the definitions of all options, grouped by section. Thread-safe.
std::span<const EntryOptionInfo> entryOptionTable();

/// Text of `--help-settings`, which lists every option. Thread-safe.
std::string entryOptionHelp();

/// Reads the INI file at \p Path; an empty path yields the defaults. Throws
/// Error(BadSettings) that names file, key, value and remedy if the file cannot
/// be read, or if a key is unknown, repeated, no integer or out of range.
/// Thread-safe.
EntryOptions readEntryOptions(const std::string &Path);

/// Parses \p Input with the same errors. \p Path is used in messages only.
/// Thread-safe for different streams.
EntryOptions parseEntryOptions(std::istream &Input, const std::string &Path);

} // namespace apricotwing::entry

#endif
