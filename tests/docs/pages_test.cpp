#include "docs/pages.h"

#include "cli/commandline.h"
#include "core/error.h"
#include "daemon/metrics.h"
#include "daemon/settings.h"
#include "entry/entryoptions.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <sstream>

namespace apricotwing {
namespace {

using testing::ContainerEq;

std::string orDash(std::string_view Text) {
  return Text.empty() ? "-" : std::string(Text);
}

std::string code(const std::string &Text) { return "`" + Text + "`"; }

std::string row(const std::vector<std::string> &Cells) {
  std::string Result = "|";
  for (const std::string &Cell : Cells)
    Result += " " + Cell + " |";
  return Result;
}

std::string settingName(const SettingInfo &Info) {
  return "[" + std::string(Info.Section) + "] " + std::string(Info.Key);
}

std::string settingName(const entry::EntryOptionInfo &Info) {
  return "[" + std::string(Info.Section) + "] " + std::string(Info.Key);
}

std::string synopsis(const CommandInfo &Command) {
  std::string Result(Command.Name);
  if (!Command.Arguments.empty())
    Result += " " + std::string(Command.Arguments);
  return Result;
}

std::vector<std::string> splitWords(const std::string &Text) {
  std::istringstream Input(Text);
  std::vector<std::string> Result;
  for (std::string Word; Input >> Word;)
    Result.push_back(Word);
  return Result;
}

// Guards against a settings page that lacks a key, keeps a removed one, or
// shows a type, range, default or description that differs from the parser's.
TEST(SettingsPageTest, ListsExactlyTheTable) {
  std::set<std::string> Expected;
  for (const SettingInfo &Info : settingsTable())
    Expected.insert(
        row({code(settingName(Info)), std::string(settingTypeName(Info.Type)),
             settingRange(Info), orDash(Info.Unit),
             Info.Default.empty() ? "required" : std::string(Info.Default),
             std::string(Info.Description)}));
  for (const entry::EntryOptionInfo &Info : entry::entryOptionTable())
    Expected.insert(
        row({code(settingName(Info)), "integer",
             std::to_string(Info.Min) + ".." + std::to_string(Info.Max),
             orDash(Info.Unit), std::to_string(Info.Default),
             std::string(Info.Description)}));
  std::set<std::string> Listed;
  for (const std::string &Row : tableRows(readSource("docs/settings.md")))
    if (std::count(Row.begin(), Row.end(), '|') == 7)
      Listed.insert(Row);
  EXPECT_THAT(Listed, ContainerEq(Expected));
}

// Guards against a key that `apricotwingd --help-settings` does not list.
TEST(SettingsPageTest, HelpListsEveryKey) {
  for (const SettingInfo &Info : settingsTable()) {
    EXPECT_THAT(settingsHelp(),
                testing::HasSubstr("\n  " + std::string(Info.Key) + " "));
    EXPECT_THAT(settingsHelp(),
                testing::HasSubstr(std::string(Info.Description)));
  }
}

// Guards against a page that tells operators to change a key that does not
// exist. The design page always writes a key after its section.
TEST(SettingsPageTest, PagesNameOnlyKeysThatExist) {
  std::set<std::string> Known;
  std::set<std::string> Sections;
  for (const SettingInfo &Info : settingsTable()) {
    Known.insert(settingName(Info));
    Sections.insert("[" + std::string(Info.Section) + "]");
  }
  for (const entry::EntryOptionInfo &Info : entry::entryOptionTable()) {
    Known.insert(settingName(Info));
    Sections.insert("[" + std::string(Info.Section) + "]");
  }
  for (const std::string &Page : allPages())
    for (const std::string &Fragment : codeFragments(readSource(Page)))
      for (const std::string &Name :
           matches(Fragment, "^\\[[a-z_]+\\]( [a-z0-9_]+)?$"))
        EXPECT_TRUE(Known.contains(Name) || Sections.contains(Name))
            << Page << ": " << Name;
}

// Guards against example settings that the daemon rejects or that lack a key.
TEST(SettingsPageTest, ExampleIsValidAndComplete) {
  EXPECT_NO_THROW(loadSettings(sourcePath("examples/site.ini")));
  const std::string Text = readSource("examples/site.ini");
  for (const SettingInfo &Info : settingsTable())
    EXPECT_THAT(Text, testing::HasSubstr("\n" + std::string(Info.Key) + " = "));
}

// Guards against a metrics page that differs from the exported metrics.
TEST(MetricsPageTest, ListsExactlyTheTable) {
  std::set<std::string> Expected;
  for (const MetricInfo &Info : metricsTable())
    Expected.insert(row({code(std::string(Info.Name)),
                         std::string(metricTypeName(Info.Type)),
                         orDash(Info.Labels), std::string(Info.Help)}));
  EXPECT_THAT(tableRows(sectionOf(readSource("docs/operators.md"), "Metrics")),
              ContainerEq(Expected));
}

// Guards against an alert on a metric or a label that is never exported.
TEST(MetricsPageTest, PagesNameOnlyMetricsThatExist) {
  for (const std::string &Page : allPages())
    for (const std::string &Use :
         matches(readSource(Page), "apricotwing_[a-z][a-z_]*(\\{[a-z]+=)?")) {
      const std::string Name = Use.substr(0, Use.find('{'));
      const auto Found =
          std::find_if(metricsTable().begin(), metricsTable().end(),
                       [&](const auto &Info) { return Info.Name == Name; });
      ASSERT_NE(Found, metricsTable().end()) << Page << ": " << Name;
      if (Name.size() == Use.size())
        continue;
      const std::string Label =
          Use.substr(Name.size() + 1, Use.size() - Name.size() - 2);
      EXPECT_THAT(matches(std::string(Found->Labels), "[a-z]+"),
                  testing::Contains(Label))
          << Page << ": " << Use;
    }
}

// Guards against a list of commands that differs from the program's own.
TEST(CommandsPageTest, ListsExactlyTheTable) {
  std::set<std::string> Expected;
  for (const CommandInfo &Command : commandTable())
    Expected.insert(
        row({code(synopsis(Command)), std::string(Command.Summary)}));
  EXPECT_THAT(
      tableRows(sectionOf(readSource("docs/operators.md"), "All commands")),
      ContainerEq(Expected));
}

const CommandInfo *commandOf(const std::vector<CommandInfo> &Table,
                             const std::vector<std::string> &Words) {
  for (const CommandInfo &Command : Table) {
    const auto Name = splitWords(std::string(Command.Name));
    if (Words.size() > Name.size() &&
        std::equal(Name.begin(), Name.end(), Words.begin() + 1))
      return &Command;
  }
  return nullptr;
}

bool hasOption(std::span<const OptionInfo> Options, const std::string &Name) {
  return std::any_of(Options.begin(), Options.end(),
                     [&](const OptionInfo &Info) { return Info.Name == Name; });
}

void checkExample(const std::string &Page, const std::string &Example) {
  const std::vector<CommandInfo> Table = commandTable();
  const std::vector<std::string> Words = splitWords(Example);
  if (Words.size() == 1 || Words[1] == "--help")
    return;
  const CommandInfo *Command = commandOf(Table, Words);
  ASSERT_NE(Command, nullptr) << Page << ": " << Example;
  for (const std::string &Option : matches(Example, " --[a-z-]+")) {
    const std::string Name = Option.substr(3);
    EXPECT_TRUE(hasOption(Command->Options, Name) ||
                hasOption(commonOptions(), Name))
        << Page << ": " << Example;
  }
}

// Guards against an example with a command or an option that was renamed.
TEST(CommandsPageTest, PagesNameOnlyCommandsThatExist) {
  std::size_t Examples = 0;
  for (const std::string &Page : allPages())
    for (const std::string &Fragment : codeFragments(readSource(Page))) {
      if (Fragment != "apricotwing" && !Fragment.starts_with("apricotwing "))
        continue;
      ++Examples;
      checkExample(Page, Fragment);
    }
  EXPECT_GT(Examples, commandTable().size());
}

// Guards against an error kind that the pages do not explain to operators.
TEST(RefusalsPageTest, ListsExactlyTheKinds) {
  std::set<std::string> Expected;
  for (int Kind = 0; Kind <= static_cast<int>(ErrorKind::Internal); ++Kind)
    Expected.insert(std::string(errorCode(static_cast<ErrorKind>(Kind))));
  std::set<std::string> Listed;
  for (const std::string &Row :
       tableRows(sectionOf(readSource("docs/operators.md"), "Refusals")))
    Listed.insert(matches(Row, "[a-z_]+").front());
  EXPECT_THAT(Listed, ContainerEq(Expected));
}

std::set<std::string> testNames() {
  std::set<std::string> Result;
  for (const auto &Entry :
       std::filesystem::recursive_directory_iterator(sourcePath("tests"))) {
    if (Entry.path().extension() != ".cpp")
      continue;
    const std::string Topic = Entry.path().parent_path().filename().string();
    const std::string Text = readSource(
        std::filesystem::relative(Entry.path(), sourcePath("")).string());
    for (const std::string &Test :
         matches(Text, "\n(TEST|TEST_F|RC_GTEST_PROP)\\(\\w+,\\s*\\w+")) {
      const auto Words = matches(Test, "\\w+");
      Result.insert(Topic + "." + Words[1] + "." + Words[2]);
    }
  }
  return Result;
}

// Guards against an invariant whose page names a test that no longer exists.
TEST(InvariantsPageTest, NamesOnlyTestsThatExist) {
  const std::set<std::string> Known = testNames();
  for (const std::string &Name :
       matches(readSource("docs/invariants.md"), "`[a-z]+\\.\\w+\\.\\w+`"))
    EXPECT_TRUE(Known.contains(Name.substr(1, Name.size() - 2))) << Name;
}

// Guards against a link to a page that was renamed.
TEST(LinksTest, LeadToFilesThatExist) {
  for (const std::string &Page : allPages())
    for (const std::string &Link :
         matches(readSource(Page), "\\]\\([A-Za-z0-9_./-]+\\)")) {
      const auto Folder = std::filesystem::path(sourcePath(Page)).parent_path();
      const std::string Target = Link.substr(2, Link.size() - 3);
      EXPECT_TRUE(std::filesystem::exists(Folder / Target))
          << Page << ": " << Target;
    }
}

} // namespace
} // namespace apricotwing
