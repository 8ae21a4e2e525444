#include "entry/entryoptions.h"

#include "core/error.h"

#include <gtest/gtest.h>

#include <sstream>

namespace apricotwing::entry {
namespace {

/// Returns the message and the remedy of the error that \p Text causes; empty
/// if it causes none.
std::string problemOf(const std::string &Text) {
  std::istringstream Input(Text);
  try {
    parseEntryOptions(Input, "entry.ini");
  } catch (const Error &Problem) {
    EXPECT_EQ(Problem.kind(), ErrorKind::BadSettings);
    return std::string(Problem.what()) + "; " + Problem.remedy();
  }
  return "";
}

// Guards against a default that differs from the one in the table.
TEST(EntryOptionsTest, AnEmptyFileYieldsTheDefaults) {
  std::istringstream Empty("");
  const EntryOptions Options = parseEntryOptions(Empty, "entry.ini");
  EXPECT_FALSE(Options.Scheduler.MigrateFromLeavingWorkers);
  EXPECT_EQ(Options.Scheduler.UsageHalfLife, Duration{0});
  EntryOptions FromTable;
  for (const EntryOptionInfo &Info : entryOptionTable())
    Info.Assign(FromTable, Info.Default);
  EXPECT_FALSE(FromTable.Scheduler.MigrateFromLeavingWorkers);
  EXPECT_EQ(FromTable.Scheduler.UsageHalfLife, Duration{0});
  EXPECT_EQ(FromTable.Intake.BudgetKib, Options.Intake.BudgetKib);
  EXPECT_EQ(FromTable.Intake.AddressKib, Options.Intake.AddressKib);
  EXPECT_EQ(FromTable.Intake.RequestTimeout, Options.Intake.RequestTimeout);
  EXPECT_EQ(FromTable.Intake.Connections, Options.Intake.Connections);
}

// Guards against a value that does not reach the scheduler.
TEST(EntryOptionsTest, ReadsValues) {
  std::istringstream Input("[scheduler]\nmigrate_from_leaving_workers = 1\n"
                           "[past_use]\nhalf_life_s = 3600 # an hour\n"
                           "[intake]\nbudget_kib = 70000\naddress_kib = 9\n"
                           "request_timeout_ms = 5000\nconnections = 7\n");
  const EntryOptions Options = parseEntryOptions(Input, "entry.ini");
  EXPECT_TRUE(Options.Scheduler.MigrateFromLeavingWorkers);
  EXPECT_EQ(Options.Scheduler.UsageHalfLife, Duration{3'600'000});
  EXPECT_EQ(Options.Intake.BudgetKib, 70'000);
  EXPECT_EQ(Options.Intake.AddressKib, 9);
  EXPECT_EQ(Options.Intake.RequestTimeout, Duration{5000});
  EXPECT_EQ(Options.Intake.Connections, 7);
}

// Guards against mistakes that are ignored, or reported without a remedy.
TEST(EntryOptionsTest, NamesFileKeyValueAndRemedy) {
  EXPECT_EQ(problemOf("[past_use]\nhalf_life = 1\n"),
            "entry.ini: past_use.half_life: unknown key; remove it or correct "
            "its name; apricotwing-entry --help-settings lists all keys");
  EXPECT_EQ(problemOf("[past_use]\nhalf_life_s = -1\n"),
            "entry.ini: past_use.half_life_s = -1: not an integer in the "
            "range; give an integer in the range 0..2592000");
  EXPECT_EQ(problemOf("[past_use]\nhalf_life_s = 1h\n"),
            "entry.ini: past_use.half_life_s = 1h: not an integer in the "
            "range; give an integer in the range 0..2592000");
  EXPECT_EQ(problemOf("[past_use]\nhalf_life_s = 1\nhalf_life_s = 2\n"),
            "entry.ini: past_use.half_life_s: given more than once; keep one "
            "of the lines");
  EXPECT_NE(problemOf("nonsense\n"), "");
  EXPECT_THROW(readEntryOptions("/nonexistent/entry.ini"), Error);
}

} // namespace
} // namespace apricotwing::entry
