/// \file
/// Settings of one daemon: the INI file, its table of keys and the checks.
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

/// An IPv4 address and a port that a process binds.
struct ListenAddress {
  std::string Ip;
  std::uint16_t Port = 0;

  friend bool operator==(const ListenAddress &,
                         const ListenAddress &) = default;
};

/// "ip:port". Thread-safe.
std::string toString(const ListenAddress &Address);

/// One of the two co-owners.
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

struct TableSettings {
  std::string Url; ///< "http://ip:port"
  Duration Timeout{0};
};

struct SchedulerSettings {
  Duration Tick{0};
  std::uint32_t ShardsPerCell = 0;
  Duration WorkerLease{0};
  Duration WorkerRenew{0};
  Duration Keepalive{0}; ///< K: from the last successful round.
};

struct RequestSettings {
  std::uint32_t Threads = 0;
  std::uint32_t QueuePerTeam = 0;
  Duration MaxDeadline{0};
};

/// All settings of one daemon. A value type, immutable after loadSettings().
struct Settings {
  InstanceSettings Instance;
  HttpSettings Http;
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

/// "name", "integer", "ip:port", "url", "sha256" or "level". Thread-safe.
std::string_view settingTypeName(SettingType Value);

/// A value as it was checked against the type and range of its key.
struct SettingValue {
  std::string Text;
  std::int64_t Number = 0; ///< Set for SettingType::Integer.
};

/// One key of the settings file. The table of these rows serves the parser,
/// the help text and the test of docs/settings.md.
struct SettingInfo {
  std::string_view Section;
  std::string_view Key;
  SettingType Type;
  std::string_view Unit; ///< "ms", "bytes", or empty.
  std::int64_t Min;      ///< Of an integer, or of the length of a text.
  std::int64_t Max;
  std::string_view Default; ///< Empty: the key is required.
  std::string_view Description;
  void (*Assign)(Settings &Target, const SettingValue &Value);
};

/// All keys, in the order of the file. Thread-safe.
std::span<const SettingInfo> settingsTable();

/// Range of \p Info as people read it, for example "100..60000". Thread-safe.
std::string settingRange(const SettingInfo &Info);

/// Text of `--help-settings`: every key with type, unit, range, default and
/// description. Thread-safe.
std::string settingsHelp();

/// Reads and checks the file \p Path. Throws Error(BadSettings) whose message
/// is one line with file, key, value and remedy. Thread-safe.
Settings loadSettings(const std::string &Path);

/// Like loadSettings(), for an open stream; \p File is only used in messages.
/// Thread-safe.
Settings parseSettings(std::istream &Input, const std::string &File);

/// Checks combinations of keys; each value alone must already be in its
/// range. Throws Error(BadSettings) like loadSettings(). Thread-safe.
void checkSettings(const Settings &Values, const std::string &File);

} // namespace apricotwing

#endif
