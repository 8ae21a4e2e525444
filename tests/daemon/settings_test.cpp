#include "core/error.h"
#include "daemon/settings.h"
#include "support/fixedseeds.h"

#include <gtest/gtest.h>

#include <map>
#include <sstream>
#include <utility>

namespace apricotwing {
namespace {

using SettingName = std::pair<std::string, std::string>;

const std::string FirstHash(64, 'a');
const std::string SecondHash(64, 'b');

std::map<SettingName, std::string> validValues() {
  return {{{"instance", "id"}, "entry-1"},
          {{"instance", "zone"}, "zone-a"},
          {{"http", "listen"}, "127.0.0.1:7070"},
          {{"http", "peer_listen"}, "127.0.0.1:7071"},
          {{"table", "url"}, "http://127.0.0.1:7001"},
          {{"objects", "url"}, "http://127.0.0.1:7002"},
          {{"list", "url"}, "http://127.0.0.1:7003"},
          {{"owners", "first_name"}, "koksne"},
          {{"owners", "first_key_sha256"}, FirstHash},
          {{"owners", "second_name"}, "bureau"},
          {{"owners", "second_key_sha256"}, SecondHash}};
}

std::string formatSettings(const std::map<SettingName, std::string> &Values) {
  std::string Text;
  for (const auto &[Name, Value] : Values)
    Text += "[" + Name.first + "]\n" + Name.second + " = " + Value + "\n";
  return Text;
}

Settings parse(const std::string &Text) {
  std::istringstream Input(Text);
  return parseSettings(Input, "site.ini");
}

Settings parseWith(const SettingName &Name, const std::string &Value) {
  auto Values = validValues();
  Values[Name] = Value;
  return parse(formatSettings(Values));
}

/// Returns the message of the error that parsing throws; empty if the text is
/// accepted.
std::string errorMessage(const std::string &Text) {
  try {
    parse(Text);
  } catch (const Error &Failure) {
    EXPECT_EQ(Failure.kind(), ErrorKind::BadSettings);
    EXPECT_FALSE(Failure.remedy().empty());
    EXPECT_NE(std::string(Failure.what()).find(Failure.remedy()),
              std::string::npos);
    return Failure.what();
  }
  return {};
}

std::string errorMessageWith(const SettingName &Name,
                             const std::string &Value) {
  auto Values = validValues();
  Values[Name] = Value;
  return errorMessage(formatSettings(Values));
}

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

// Guards against defaults that differ from the documented design, whose bounds
// for failure handling depend on them.
TEST(SettingsTest, AppliesTheDocumentedDefaults) {
  const Settings Values = parse(formatSettings(validValues()));
  EXPECT_EQ(Values.Instance.Id, "entry-1");
  EXPECT_EQ(toString(Values.Http.Listen), "127.0.0.1:7070");
  EXPECT_EQ(Values.Http.MaxBodyBytes, std::size_t(1) << 20);
  EXPECT_EQ(Values.Authority.Renew, Duration(2000));
  EXPECT_EQ(Values.Authority.Valid, Duration(8000));
  EXPECT_EQ(Values.Authority.Fence, Duration(10000));
  EXPECT_EQ(Values.Authority.Promise, Duration(6000));
  EXPECT_EQ(Values.Authority.MaxExtension, Duration(600000));
  EXPECT_EQ(Values.Scheduler.Tick, Duration(100));
  EXPECT_EQ(Values.Scheduler.ShardsPerCell, 1U);
  EXPECT_EQ(Values.Scheduler.WorkerLease, Duration(15000));
  EXPECT_EQ(Values.Scheduler.WorkerRenew, Duration(3000));
  EXPECT_EQ(Values.Scheduler.Keepalive, Duration(900000));
  EXPECT_EQ(Values.Requests.QueuePerTeam, 64U);
  EXPECT_EQ(Values.Requests.MaxDeadline, Duration(10000));
  EXPECT_EQ(Values.Level, LogLevel::Info);
}

// Guards against a missing required key that is accepted as an empty value.
TEST(SettingsTest, ReportsEachMissingKey) {
  for (const auto &[Name, Value] : validValues()) {
    auto Values = validValues();
    Values.erase(Name);
    const std::string Message = errorMessage(formatSettings(Values));
    EXPECT_TRUE(
        contains(Message, "[" + Name.first + "] " + Name.second + ": missing"))
        << Message;
  }
}

struct InvalidValue {
  SettingName Name;
  std::string Value;
};

// Guards against invalid values that are accepted, and against messages that do
// not contain the file, key and value on one line.
TEST(SettingsTest, RejectsInvalidValuesWithOneLineMessage) {
  const std::vector<InvalidValue> Cases = {
      {{"authority", "valid_ms"}, "8s"},
      {{"authority", "valid_ms"}, "0x10"},
      {{"authority", "valid_ms"}, "-8000"},
      {{"authority", "valid_ms"}, "99999999999999999999"},
      {{"authority", "valid_ms"}, "60001"},
      {{"requests", "max_deadline_ms"}, "10001"},
      {{"requests", "threads"}, "0"},
      {{"instance", "id"}, "entry 1"},
      {{"instance", "id"}, "entry@1"},
      {{"instance", "id"}, std::string(65, 'x')},
      {{"http", "listen"}, "localhost:7070"},
      {{"http", "listen"}, "127.0.0.1"},
      {{"http", "listen"}, "127.0.0.1:0"},
      {{"http", "listen"}, "127.0.0.1:65536"},
      {{"table", "url"}, "https://127.0.0.1:7001"},
      {{"table", "url"}, "http://127.0.0.1:7001/path"},
      {{"log", "level"}, "verbose"},
  };
  for (const InvalidValue &Invalid : Cases) {
    const std::string Message = errorMessageWith(Invalid.Name, Invalid.Value);
    EXPECT_TRUE(contains(Message, "site.ini")) << Message;
    EXPECT_TRUE(contains(Message, "[" + Invalid.Name.first + "] " +
                                      Invalid.Name.second + " = " +
                                      Invalid.Value))
        << Message;
    EXPECT_FALSE(contains(Message, "\n")) << Message;
  }
}

// Guards against a misspelt key that is ignored, so that the default applies
// unnoticed, and against a repeated key of which only one line applies.
TEST(SettingsTest, RejectsUnknownRepeatedAndMalformedLines) {
  const std::string Valid = formatSettings(validValues());
  EXPECT_TRUE(contains(errorMessage(Valid + "[authority]\nvalid = 1\n"),
                       "[authority] valid: unknown key"));
  EXPECT_TRUE(contains(errorMessage(Valid + "[autority]\nvalid_ms = 8000\n"),
                       "[autority] valid_ms: unknown key"));
  EXPECT_TRUE(contains(errorMessage(Valid + "[instance]\nid = entry-2\n"),
                       "given more than once"));
  EXPECT_TRUE(contains(errorMessage(Valid + "what is this\n"), "site.ini"));
  EXPECT_FALSE(errorMessage("").empty());
  EXPECT_THROW(loadSettings("no-such-file.ini"), Error);
}

// Guards against a plaintext API key in an error message and so in a log, if a
// user entered the key instead of its hash, under a wrong name or on a line of
// its own.
TEST(SettingsTest, NeverShowsTheValueOfAnApiKey) {
  const std::string Key = "apricotwing-key-0123456789abcdef";
  const std::string AsHash =
      errorMessageWith({"owners", "first_key_sha256"}, Key);
  EXPECT_FALSE(AsHash.empty());
  EXPECT_FALSE(contains(AsHash, "0123456789abcdef"));
  const std::string AsOther = errorMessageWith({"owners", "first_key"}, Key);
  EXPECT_FALSE(AsOther.empty());
  EXPECT_FALSE(contains(AsOther, "0123456789abcdef"));
  const std::string AsLine =
      errorMessage(formatSettings(validValues()) + Key + "\n");
  EXPECT_FALSE(AsLine.empty());
  EXPECT_FALSE(contains(AsLine, "0123456789abcdef"));
}

// Guards against settings with which one person can sign as both co-owners.
TEST(SettingsTest, RequiresTwoDifferentOwners) {
  EXPECT_TRUE(contains(errorMessageWith({"owners", "second_name"}, "koksne"),
                       "[owners] second_name = koksne"));
  EXPECT_TRUE(
      contains(errorMessageWith({"owners", "second_key_sha256"}, FirstHash),
               "the same as first_key_sha256"));
  const std::string EmptyHash =
      "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";
  EXPECT_FALSE(
      errorMessageWith({"owners", "first_key_sha256"}, EmptyHash).empty());
}

// Guards against a shared address for callers and peers, which would expose the
// peer API to all callers.
TEST(SettingsTest, RequiresTwoAddresses) {
  EXPECT_TRUE(
      contains(errorMessageWith({"http", "peer_listen"}, "127.0.0.1:7070"),
               "[http] peer_listen"));
}

bool isSafe(std::int64_t Renew, std::int64_t Valid, std::int64_t Fence,
            std::int64_t Promise, std::int64_t Lease,
            std::int64_t WorkerRenew) {
  return Fence >= Valid + 2000 && Promise <= Valid && 2 * Renew <= Valid &&
         2 * Renew <= Promise && 3 * WorkerRenew <= Lease;
}

void acceptsExactlyTheSafeDurations() {
  const auto Renew = *rc::gen::inRange<std::int64_t>(100, 6000);
  const auto Valid = *rc::gen::inRange<std::int64_t>(3000, 12000);
  const auto Fence = Valid + 2000 + *rc::gen::inRange<std::int64_t>(-500, 500);
  const auto Promise = Valid + *rc::gen::inRange<std::int64_t>(-2500, 500);
  const auto Lease = *rc::gen::inRange<std::int64_t>(3000, 16000);
  const auto WorkerRenew =
      Lease / 3 + *rc::gen::inRange<std::int64_t>(-300, 300);
  auto Values = validValues();
  Values[{"authority", "renew_ms"}] = std::to_string(Renew);
  Values[{"authority", "valid_ms"}] = std::to_string(Valid);
  Values[{"authority", "fence_ms"}] = std::to_string(Fence);
  Values[{"authority", "promise_ms"}] = std::to_string(Promise);
  Values[{"scheduler", "worker_lease_ms"}] = std::to_string(Lease);
  Values[{"scheduler", "worker_renew_ms"}] = std::to_string(WorkerRenew);
  const bool IsExpected =
      isSafe(Renew, Valid, Fence, Promise, Lease, WorkerRenew);
  RC_ASSERT(errorMessage(formatSettings(Values)).empty() == IsExpected);
}

// Guards against combinations of durations that make fencing unsafe: a session
// that is fenced while its authority is valid, or a promise that lasts longer
// than the authority.
TEST(SettingsProperty, AcceptsExactlyTheSafeDurations) {
  checkWithFixedSeeds(acceptsExactlyTheSafeDurations, 500);
}

// Guards against a key whose default is outside its own range, and against
// limits that are not enforced exactly.
TEST(SettingsTest, AcceptsTheLimitsOfEveryInteger) {
  for (const SettingInfo &Info : settingsTable()) {
    if (Info.Type != SettingType::Integer)
      continue;
    const SettingName Name{std::string(Info.Section), std::string(Info.Key)};
    const auto IsOutOfRange = [&](std::int64_t Value) {
      return contains(errorMessageWith(Name, std::to_string(Value)),
                      "out of range");
    };
    EXPECT_FALSE(IsOutOfRange(Info.Min)) << Info.Key;
    EXPECT_FALSE(IsOutOfRange(Info.Max)) << Info.Key;
    EXPECT_TRUE(IsOutOfRange(Info.Min - 1)) << Info.Key;
    EXPECT_TRUE(IsOutOfRange(Info.Max + 1)) << Info.Key;
    EXPECT_NO_THROW(parseWith(Name, std::string(Info.Default))) << Info.Key;
  }
}

} // namespace
} // namespace apricotwing
