/// \file
/// Settings of a daemon: parsing and validation of the INI file.
#ifndef APRICOTWING_DAEMON_SETTINGS_H
#define APRICOTWING_DAEMON_SETTINGS_H

#include "core/authoritysettings.h"
#include "core/run.h"
#include "core/time.h"
#include "daemon/loglevel.h"

#include <cstddef>
#include <cstdint>
#include <istream>
#include <span>
#include <string>
#include <string_view>

namespace apricotwing {

/// An IPv4 address and a port to listen on.
struct ListenAddress {
  std::string Ip;
  std::uint16_t Port = 0;

  friend bool operator==(const ListenAddress &,
                         const ListenAddress &) = default;
};

/// Formats \p Address as "ip:port". Thread-safe.
std::string toString(const ListenAddress &Address);

/// One of the two co-owners, who both have to sign a configuration change.
struct OwnerSettings {
  std::string Name;
  std::string KeySha256; ///< 64 lower-case hexadecimal digits.
};

struct InstanceSettings {
  InstanceId Id;
  std::string Zone;
  std::string Region;
};

struct HttpSettings {
  ListenAddress Listen;     ///< For callers and operators.
  ListenAddress PeerListen; ///< For other instances.
  std::size_t MaxBodyBytes = 0;
  Duration HeaderTimeout{0};
};

struct ClientLimitSettings {
  std::int64_t BudgetKib = 0;
  std::int64_t Connections = 0; ///< 0: derived from the file descriptors.
};

struct TableSettings {
  std::string Url; ///< "http://ip:port"
  Duration Timeout{0};
};

struct SchedulerSettings {
  Duration Tick{0};
  std::uint32_t ShardsPerCell = 0;
  Duration WorkerLease{0};
  Duration WorkerRenew{0};
  /// How long after the last successful renewal round the leases of running
  /// tasks are still renewed.
  Duration Keepalive{0};
};

struct RequestSettings {
  std::uint32_t Threads = 0;
  std::uint32_t QueuePerTeam = 0;
  Duration MaxDeadline{0};
};

/// All settings of a daemon. Not modified after loadSettings().
struct Settings {
  InstanceSettings Instance;
  HttpSettings Http;
  ClientLimitSettings Intake;
  TableSettings Table;
  std::string ObjectsUrl; ///< "http://ip:port"
  std::string ListUrl;    ///< "http://ip:port"
  OwnerSettings FirstOwner;
  OwnerSettings SecondOwner;
  AuthoritySettings Authority;
  SchedulerSettings Scheduler;
  RequestSettings Requests;
  LogLevel Level = LogLevel::Info;
};

enum class SettingType { Name, Integer, Address, Url, Sha256, Level };

/// Returns "name", "integer", "ip:port", "url", "sha256" or "level".
/// Thread-safe.
std::string_view settingTypeName(SettingType Value);

/// A value that has been checked against the type and range of its key.
struct SettingValue {
  std::string Text;
  std::int64_t Number = 0; ///< Set for SettingType::Integer.
};

/// Definition of a key of the settings file. settingsTable() is the source for
/// the parser, the help text and the test that checks docs/settings.md.
struct SettingInfo {
  std::string_view Section;
  std::string_view Key;
  SettingType Type;
  std::string_view Unit; ///< "ms", "bytes", or empty.
  std::int64_t Min;      ///< Limit of an integer or of the length of a text.
  std::int64_t Max;
  std::string_view Default; ///< Empty: the key is required.
  std::string_view Description;
  void (*Assign)(Settings &Target, const SettingValue &Value);
};

/// Returns the definitions of all keys, grouped by section. Thread-safe.
std::span<const SettingInfo> settingsTable();

/// Formats the range of \p Info, for example "100..60000". Thread-safe.
std::string settingRange(const SettingInfo &Info);

/// Returns the text of `--help-settings`, which lists every key with type,
/// unit, range, default and description. Thread-safe.
std::string settingsHelp();

/// Reads and validates the file \p Path. Throws Error(BadSettings) with a
/// one-line message that contains the file, key, value and remedy. Thread-safe.
Settings loadSettings(const std::string &Path);

/// Like loadSettings(), but reads from \p Input; \p File is only used in
/// messages. Thread-safe.
Settings parseSettings(std::istream &Input, const std::string &File);

/// Validates combinations of keys. Precondition: each single value is within
/// its range. Throws Error(BadSettings) like loadSettings(). Thread-safe.
void checkSettings(const Settings &Options, const std::string &File);

} // namespace apricotwing

#endif
