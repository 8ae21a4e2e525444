#include "daemon/settings.h"

#include "core/error.h"
#include "httpserver/intakesettings.h"

#include <arpa/inet.h>
#include <boost/program_options/errors.hpp>
#include <boost/program_options/options_description.hpp>
#include <boost/program_options/parsers.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <iomanip>
#include <map>
#include <optional>
#include <sstream>
#include <utility>

namespace apricotwing {

namespace {

namespace po = boost::program_options;

constexpr std::int64_t MaxNameLength = 64;
constexpr std::int64_t Sha256Digits = 64;
constexpr std::int64_t MaxUrlLength = 64;
constexpr std::int64_t MaxAddressLength = 21; // 255.255.255.255:65535
constexpr std::int64_t MaxPort = 65535;
constexpr std::string_view UrlScheme = "http://";

// The grants of a fenced session are reclaimed this long after the fencing, so
// no request may be in flight for longer.
constexpr std::int64_t MaxDeadlineMs = 10000;

// Minimum of fence_ms minus valid_ms. Covers a difference of 1% between two
// clock rates at the maximum valid_ms, and the time that a write is in transit.
constexpr Duration FenceMargin{2000};
constexpr std::int64_t MaxValidMs = 60000;

// A renewal round makes three calls to the table service: it writes the session
// row, reads the configuration and scans the sessions.
constexpr int CallsPerRound = 3;

// A worker lease must survive two lost renewals.
constexpr int MinRenewalsPerLease = 3;

// One failed round must not end the authority.
constexpr int MinRoundsPerValidity = 2;

// SHA-256 of the empty string. An owner with this hash would be authenticated
// by a request without a key.
constexpr std::string_view EmptySha256 =
    "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";

Duration millis(const SettingValue &Value) { return Duration(Value.Number); }

std::optional<std::int64_t> parseInteger(std::string_view Text) {
  std::int64_t Result = 0;
  const char *End = Text.data() + Text.size();
  const auto [Position, Status] = std::from_chars(Text.data(), End, Result);
  if (Status != std::errc() || Position != End)
    return std::nullopt;
  return Result;
}

std::optional<ListenAddress> parseAddress(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  const std::string Ip(Text.substr(0, Colon));
  in_addr Binary{};
  if (inet_pton(AF_INET, Ip.c_str(), &Binary) != 1)
    return std::nullopt;
  const auto Port = parseInteger(Text.substr(Colon + 1));
  if (!Port || *Port < 1 || *Port > MaxPort)
    return std::nullopt;
  return ListenAddress{Ip, static_cast<std::uint16_t>(*Port)};
}

ListenAddress address(const SettingValue &Value) {
  return parseAddress(Value.Text).value();
}

bool isUrl(std::string_view Text) {
  return Text.starts_with(UrlScheme) &&
         parseAddress(Text.substr(UrlScheme.size())).has_value();
}

bool isName(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(), [](unsigned char Char) {
    return std::isalnum(Char) || Char == '.' || Char == '_' || Char == '-';
  });
}

bool isSha256(std::string_view Text) {
  return Text.size() == Sha256Digits &&
         std::all_of(Text.begin(), Text.end(), [](char Char) {
           return (Char >= '0' && Char <= '9') || (Char >= 'a' && Char <= 'f');
         });
}

using T = SettingType;
using S = Settings;
using V = SettingValue;

constexpr std::array SettingsRows = {
    SettingInfo{"instance", "id", T::Name, "", 1, MaxNameLength, "",
                "Name of this instance; no other instance of the cell has it.",
                [](S &To, const V &From) { To.Instance.Id = From.Text; }},
    SettingInfo{"instance", "zone", T::Name, "", 1, MaxNameLength, "",
                "Availability zone of this instance.",
                [](S &To, const V &From) { To.Instance.Zone = From.Text; }},
    SettingInfo{"instance", "region", T::Name, "", 1, MaxNameLength, "region-1",
                "Region of this instance.",
                [](S &To, const V &From) { To.Instance.Region = From.Text; }},
    SettingInfo{"http", "listen", T::Address, "", 9, MaxAddressLength, "",
                "Address for callers and operators.",
                [](S &To, const V &From) { To.Http.Listen = address(From); }},
    SettingInfo{
        "http", "peer_listen", T::Address, "", 9, MaxAddressLength, "",
        "Address for other instances; not reachable for callers.",
        [](S &To, const V &From) { To.Http.PeerListen = address(From); }},
    SettingInfo{"http", "max_body_bytes", T::Integer, "bytes", 1024, 16777216,
                "1048576",
                "Longest body of a request; a longer one is refused with 413.",
                [](S &To, const V &From) {
                  To.Http.MaxBodyBytes = static_cast<std::size_t>(From.Number);
                }},
    SettingInfo{
        "http", "header_timeout_ms", T::Integer, "ms", 100, 60000, "5000",
        "Time within which a whole request must arrive; else 408.",
        [](S &To, const V &From) { To.Http.HeaderTimeout = millis(From); }},
    SettingInfo{
        "intake", "budget_kib", T::Integer, "KiB", MinIntakeBudgetKib, 16777216,
        "61440",
        "Memory for requests that are received or wait for their "
        "responses, and for responses that are not yet read.",
        [](S &To, const V &From) { To.Intake.BudgetKib = From.Number; }},
    SettingInfo{
        "intake", "connections", T::Integer, "", 0, 65536, "0",
        "Connections of callers; one more closes the one that has been idle or "
        "unfinished for longest; 0: a quarter of the descriptors, at most "
        "1024.",
        [](S &To, const V &From) { To.Intake.Connections = From.Number; }},
    SettingInfo{"table", "url", T::Url, "", 16, MaxUrlLength, "",
                "Address of the platform's table service.",
                [](S &To, const V &From) { To.Table.Url = From.Text; }},
    SettingInfo{"table", "timeout_ms", T::Integer, "ms", 50, 20000, "1000",
                "Time after which a call to the table service has failed.",
                [](S &To, const V &From) { To.Table.Timeout = millis(From); }},
    SettingInfo{"objects", "url", T::Url, "", 16, MaxUrlLength, "",
                "Address of the platform's object store.",
                [](S &To, const V &From) { To.ObjectsUrl = From.Text; }},
    SettingInfo{"list", "url", T::Url, "", 16, MaxUrlLength, "",
                "Address of the platform's instance list.",
                [](S &To, const V &From) { To.ListUrl = From.Text; }},
    SettingInfo{"owners", "first_name", T::Name, "", 1, MaxNameLength, "",
                "Name of the first co-owner.",
                [](S &To, const V &From) { To.FirstOwner.Name = From.Text; }},
    SettingInfo{
        "owners", "first_key_sha256", T::Sha256, "", Sha256Digits, Sha256Digits,
        "", "SHA-256 of the first co-owner's key.",
        [](S &To, const V &From) { To.FirstOwner.KeySha256 = From.Text; }},
    SettingInfo{"owners", "second_name", T::Name, "", 1, MaxNameLength, "",
                "Name of the second co-owner.",
                [](S &To, const V &From) { To.SecondOwner.Name = From.Text; }},
    SettingInfo{
        "owners", "second_key_sha256", T::Sha256, "", Sha256Digits,
        Sha256Digits, "", "SHA-256 of the second co-owner's key.",
        [](S &To, const V &From) { To.SecondOwner.KeySha256 = From.Text; }},
    SettingInfo{
        "authority", "renew_ms", T::Integer, "ms", 100, 30000, "2000",
        "Time between two renewal rounds.",
        [](S &To, const V &From) { To.Authority.Renew = millis(From); }},
    SettingInfo{
        "authority", "valid_ms", T::Integer, "ms", 500, MaxValidMs, "8000",
        "Authority from the start of a successful round.",
        [](S &To, const V &From) { To.Authority.Valid = millis(From); }},
    SettingInfo{
        "authority", "fence_ms", T::Integer, "ms", 2500, 120000, "10000",
        "Time without a renewal after which another instance is fenced.",
        [](S &To, const V &From) { To.Authority.Fence = millis(From); }},
    SettingInfo{
        "authority", "promise_ms", T::Integer, "ms", 200, MaxValidMs, "6000",
        "Time for which a peer promises during a store outage.",
        [](S &To, const V &From) { To.Authority.Promise = millis(From); }},
    SettingInfo{
        "authority", "max_extension_ms", T::Integer, "ms", 0, 3600000, "600000",
        "Longest extension by promises after the last successful round.",
        [](S &To, const V &From) { To.Authority.MaxExtension = millis(From); }},
    SettingInfo{"scheduler", "tick_ms", T::Integer, "ms", 10, 10000, "100",
                "Time between two decisions of a shard.",
                [](S &To, const V &From) { To.Scheduler.Tick = millis(From); }},
    SettingInfo{"scheduler", "shards_per_cell", T::Integer, "", 1, 64, "1",
                "Number of shards; the same on all instances of the cell.",
                [](S &To, const V &From) {
                  To.Scheduler.ShardsPerCell =
                      static_cast<std::uint32_t>(From.Number);
                }},
    SettingInfo{
        "scheduler", "worker_lease_ms", T::Integer, "ms", 1000, 120000, "15000",
        "Time after which a worker without renewal ends its tasks.",
        [](S &To, const V &From) { To.Scheduler.WorkerLease = millis(From); }},
    SettingInfo{
        "scheduler", "worker_renew_ms", T::Integer, "ms", 100, 40000, "3000",
        "Time between two renewals of a worker's lease.",
        [](S &To, const V &From) { To.Scheduler.WorkerRenew = millis(From); }},
    SettingInfo{
        "scheduler", "keepalive_ms", T::Integer, "ms", 0, 3600000, "900000",
        "Time for which running tasks are kept during a store outage.",
        [](S &To, const V &From) { To.Scheduler.Keepalive = millis(From); }},
    SettingInfo{
        "requests", "threads", T::Integer, "", 1, 512, "64",
        "Interactive requests that this instance sends at the same time.",
        [](S &To, const V &From) {
          To.Requests.Threads = static_cast<std::uint32_t>(From.Number);
        }},
    SettingInfo{"requests", "queue_per_team", T::Integer, "", 1, 4096, "64",
                "Interactive requests of one team that may wait.",
                [](S &To, const V &From) {
                  To.Requests.QueuePerTeam =
                      static_cast<std::uint32_t>(From.Number);
                }},
    SettingInfo{
        "requests", "max_deadline_ms", T::Integer, "ms", 100, MaxDeadlineMs,
        "10000", "Longest deadline that a caller may ask for.",
        [](S &To, const V &From) { To.Requests.MaxDeadline = millis(From); }},
    SettingInfo{"log", "level", T::Level, "", 4, 7, "info",
                "Least important level that is logged.",
                [](S &To, const V &From) {
                  To.Level = logLevelFromName(From.Text).value();
                }},
};

constexpr std::array<std::pair<SettingType, std::string_view>, 6> TypeNames = {{
    {SettingType::Name, "name"},
    {SettingType::Integer, "integer"},
    {SettingType::Address, "ip:port"},
    {SettingType::Url, "url"},
    {SettingType::Sha256, "sha256"},
    {SettingType::Level, "level"},
}};

// Throws a message that contains the remedy and has one line, so that a start
// script can print it unchanged.
[[noreturn]] void throwBadSettings(const std::string &File,
                                   const std::string &Problem,
                                   const std::string &Remedy) {
  throw Error(ErrorKind::BadSettings, File + ": " + Problem + "; " + Remedy,
              Remedy);
}

// Returns a printable, truncated value for messages. The value of a hash is
// hidden, because a user may have entered the plaintext key instead.
std::string printableValue(const SettingInfo &Info, const std::string &Value) {
  if (Info.Type == SettingType::Sha256)
    return "(" + std::to_string(Value.size()) + " characters, not shown)";
  std::string Result = Value.substr(0, 2 * MaxNameLength);
  std::replace_if(
      Result.begin(), Result.end(),
      [](unsigned char Char) { return !std::isprint(Char); }, '?');
  return Result;
}

std::string formatKey(const SettingInfo &Info) {
  return "[" + std::string(Info.Section) + "] " + std::string(Info.Key);
}

std::string formatAssignment(const SettingInfo &Info,
                             const std::string &Value) {
  return formatKey(Info) + " = " + printableValue(Info, Value);
}

const SettingInfo *findSetting(std::string_view Section, std::string_view Key) {
  for (const SettingInfo &Info : SettingsRows)
    if (Info.Section == Section && Info.Key == Key)
      return &Info;
  return nullptr;
}

bool matchesType(const SettingInfo &Info, const std::string &Text) {
  switch (Info.Type) {
  case SettingType::Name:
    return isName(Text);
  case SettingType::Integer:
    return parseInteger(Text).has_value();
  case SettingType::Address:
    return parseAddress(Text).has_value();
  case SettingType::Url:
    return isUrl(Text);
  case SettingType::Sha256:
    return isSha256(Text);
  case SettingType::Level:
    return logLevelFromName(Text).has_value();
  }
  return false;
}

std::string remedyForType(SettingType Type) {
  switch (Type) {
  case SettingType::Name:
    return "use letters, digits, '.', '_' and '-'";
  case SettingType::Integer:
    return "write a whole number without a unit";
  case SettingType::Address:
    return "write an IPv4 address and a port 1..65535, as in 10.0.0.1:7070";
  case SettingType::Url:
    return "write http://, an IPv4 address and a port, as in "
           "http://10.0.0.1:7070";
  case SettingType::Sha256:
    return "write the 64 lower-case hexadecimal digits that `sha256sum` "
           "prints for the key";
  case SettingType::Level:
    return "write debug, info, warning or error";
  }
  return {};
}

SettingValue validateValue(const SettingInfo &Info, const std::string &Text,
                           const std::string &File) {
  if (Text.empty())
    throwBadSettings(File, formatAssignment(Info, Text) + ": no value",
                     remedyForType(Info.Type));
  if (!matchesType(Info, Text))
    throwBadSettings(File,
                     formatAssignment(Info, Text) + ": not of type " +
                         std::string(settingTypeName(Info.Type)),
                     remedyForType(Info.Type));
  const bool IsInteger = Info.Type == SettingType::Integer;
  const auto Measure = IsInteger ? parseInteger(Text).value()
                                 : static_cast<std::int64_t>(Text.size());
  if (Measure < Info.Min || Measure > Info.Max)
    throwBadSettings(File, formatAssignment(Info, Text) + ": out of range",
                     "write a value within " + settingRange(Info));
  return {Text, IsInteger ? Measure : 0};
}

using RawSettings = std::map<std::pair<std::string, std::string>, std::string>;

std::pair<std::string, std::string> splitKey(const std::string &Name) {
  const std::size_t Dot = Name.find('.');
  if (Dot == std::string::npos)
    return {"", Name};
  return {Name.substr(0, Dot), Name.substr(Dot + 1)};
}

void addRawSetting(RawSettings &Result, const po::option &Option,
                   const std::string &File) {
  const auto Name = splitKey(Option.string_key);
  const std::string Value = Option.value.empty() ? "" : Option.value.front();
  const SettingInfo *Info = findSetting(Name.first, Name.second);
  if (!Info) // The value is not shown, because it may be a misplaced API key.
    throwBadSettings(
        File, "[" + Name.first + "] " + Name.second + ": unknown key",
        "remove it or correct its name; apricotwingd --help-settings lists "
        "all keys");
  if (!Result.emplace(Name, Value).second)
    throwBadSettings(File,
                     formatAssignment(*Info, Value) + ": given more than once",
                     "keep one of the lines");
}

RawSettings readRawSettings(std::istream &Input, const std::string &File) {
  RawSettings Result;
  try {
    const po::options_description NoOptions;
    // addRawSetting() rejects unknown keys.
    constexpr bool AllowUnregistered = true;
    const auto Parsed =
        po::parse_config_file(Input, NoOptions, AllowUnregistered);
    for (const po::option &Option : Parsed.options)
      addRawSetting(Result, Option, File);
  } catch (const po::error &) {
    // The library's message quotes the line, which may contain an API key.
    throwBadSettings(File,
                     "a line is neither [section], key = value nor # comment",
                     "correct the line; examples/site.ini shows the form");
  }
  return Result;
}

std::string formatMs(Duration Value) { return std::to_string(Value.count()); }

// Throws if a check on a combination of keys does not hold. \p Key is the one
// that the user should correct.
void require(bool Condition, const std::string &File, std::string_view Section,
             std::string_view Key, const std::string &Value,
             const std::string &Problem, const std::string &Remedy) {
  if (Condition)
    return;
  const SettingInfo *Info = findSetting(Section, Key);
  throwBadSettings(File, formatAssignment(*Info, Value) + ": " + Problem,
                   Remedy);
}

void checkOwners(const Settings &Options, const std::string &File) {
  const OwnerSettings &First = Options.FirstOwner;
  const OwnerSettings &Second = Options.SecondOwner;
  require(First.Name != Second.Name, File, "owners", "second_name", Second.Name,
          "the same as first_name", "give the co-owners different names");
  require(First.KeySha256 != Second.KeySha256, File, "owners",
          "second_key_sha256", Second.KeySha256, "the same as first_key_sha256",
          "give each co-owner a different key");
  require(First.KeySha256 != EmptySha256, File, "owners", "first_key_sha256",
          First.KeySha256, "the hash of an empty key",
          "hash the key without a newline, for example with sha256sum");
  require(Second.KeySha256 != EmptySha256, File, "owners", "second_key_sha256",
          Second.KeySha256, "the hash of an empty key",
          "hash the key without a newline, for example with sha256sum");
}

void checkAuthority(const Settings &Options, const std::string &File) {
  const AuthoritySettings &A = Options.Authority;
  require(A.Renew * MinRoundsPerValidity <= A.Valid, File, "authority",
          "renew_ms", formatMs(A.Renew),
          "one failed round would end the authority of " + formatMs(A.Valid) +
              " ms",
          "lower renew_ms to at most half of valid_ms");
  require(Options.Table.Timeout * CallsPerRound <= A.Valid, File, "table",
          "timeout_ms", formatMs(Options.Table.Timeout),
          "the three calls of a round may take longer than valid_ms = " +
              formatMs(A.Valid),
          "lower timeout_ms to at most a third of valid_ms");
  require(A.Fence >= A.Valid + FenceMargin, File, "authority", "fence_ms",
          formatMs(A.Fence),
          "an instance could be fenced while its authority is valid",
          "raise fence_ms to at least valid_ms + 2000 = " +
              formatMs(A.Valid + FenceMargin));
  require(A.Promise <= A.Valid, File, "authority", "promise_ms",
          formatMs(A.Promise), "above valid_ms = " + formatMs(A.Valid),
          "lower promise_ms to at most valid_ms");
  require(A.Promise >= A.Renew * MinRoundsPerValidity, File, "authority",
          "promise_ms", formatMs(A.Promise),
          "a promise would end before the next but one round",
          "raise promise_ms to at least twice renew_ms = " +
              formatMs(A.Renew * MinRoundsPerValidity));
  require(A.MaxExtension.count() == 0 || A.MaxExtension >= A.Valid, File,
          "authority", "max_extension_ms", formatMs(A.MaxExtension),
          "below valid_ms = " + formatMs(A.Valid),
          "raise max_extension_ms to at least valid_ms, or write 0 for no "
          "extension");
}

void checkScheduler(const Settings &Options, const std::string &File) {
  const SchedulerSettings &S = Options.Scheduler;
  require(S.WorkerRenew * MinRenewalsPerLease <= S.WorkerLease, File,
          "scheduler", "worker_renew_ms", formatMs(S.WorkerRenew),
          "two lost renewals would end the tasks of a worker",
          "lower worker_renew_ms to at most a third of worker_lease_ms = " +
              formatMs(S.WorkerLease));
  require(S.Tick <= S.WorkerRenew, File, "scheduler", "tick_ms",
          formatMs(S.Tick),
          "above worker_renew_ms = " + formatMs(S.WorkerRenew),
          "lower tick_ms to at most worker_renew_ms");
}

} // namespace

std::string toString(const ListenAddress &Address) {
  return Address.Ip + ":" + std::to_string(Address.Port);
}

std::string_view settingTypeName(SettingType Value) {
  for (const auto &[Type, Name] : TypeNames)
    if (Type == Value)
      return Name;
  return {};
}

std::span<const SettingInfo> settingsTable() { return SettingsRows; }

std::string settingRange(const SettingInfo &Info) {
  switch (Info.Type) {
  case SettingType::Integer:
    return std::to_string(Info.Min) + ".." + std::to_string(Info.Max);
  case SettingType::Name:
    return std::to_string(Info.Min) + ".." + std::to_string(Info.Max) +
           " characters";
  case SettingType::Address:
    return "IPv4 address, port 1..65535";
  case SettingType::Url:
    return "http://ip:port";
  case SettingType::Sha256:
    return "64 hexadecimal digits";
  case SettingType::Level:
    return "debug, info, warning, error";
  }
  return {};
}

std::string settingsHelp() {
  std::ostringstream Out;
  std::string_view Section;
  for (const SettingInfo &Info : SettingsRows) {
    if (Info.Section != Section)
      Out << "[" << Info.Section << "]\n";
    Section = Info.Section;
    Out << "  " << std::left << std::setw(20) << Info.Key << Info.Description
        << "\n"
        << std::string(22, ' ') << settingTypeName(Info.Type) << ", "
        << settingRange(Info) << (Info.Unit.empty() ? "" : " ") << Info.Unit
        << (Info.Default.empty() ? "; required" : "; default ") << Info.Default
        << "\n";
  }
  return Out.str();
}

Settings loadSettings(const std::string &Path) {
  std::ifstream Input(Path);
  if (!Input || Input.peek() == std::ifstream::traits_type::eof())
    throwBadSettings(
        Path, "cannot be read or is empty",
        "give the path of a settings file that this user can read");
  return parseSettings(Input, Path);
}

Settings parseSettings(std::istream &Input, const std::string &File) {
  const RawSettings Raw = readRawSettings(Input, File);
  Settings Result;
  for (const SettingInfo &Info : SettingsRows) {
    const auto Found =
        Raw.find({std::string(Info.Section), std::string(Info.Key)});
    if (Found == Raw.end() && Info.Default.empty())
      throwBadSettings(File, formatKey(Info) + ": missing",
                       "add the key; " + remedyForType(Info.Type));
    const std::string Text =
        Found == Raw.end() ? std::string(Info.Default) : Found->second;
    Info.Assign(Result, validateValue(Info, Text, File));
  }
  checkSettings(Result, File);
  return Result;
}

void checkSettings(const Settings &Options, const std::string &File) {
  checkOwners(Options, File);
  require(Options.Http.Listen != Options.Http.PeerListen, File, "http",
          "peer_listen", toString(Options.Http.PeerListen),
          "the same as listen", "use another port for the other instances");
  checkAuthority(Options, File);
  checkScheduler(Options, File);
}

} // namespace apricotwing
