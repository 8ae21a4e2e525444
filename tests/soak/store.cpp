#include "soak/store.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>

namespace apricotwing::soak {

namespace {

constexpr std::size_t MaxRowBytes = 65'536;
constexpr std::size_t MaxEntries = 100;
constexpr std::size_t MaxTransactionBytes = 1'000'000;
constexpr std::size_t MaxRows = 500;
/// A part handles one transaction after the other.
constexpr std::int64_t TransactionMs = 5;
/// Longest time for which an answer of a feed is held back.
constexpr std::int64_t MaxFeedWaitMs = 30'000;

const std::string Alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string toBase64(const std::string &Text) {
  std::string Result;
  for (std::size_t I = 0; I < Text.size(); I += 3) {
    unsigned Bits = 0;
    for (std::size_t K = 0; K < 3; ++K)
      Bits = Bits << 8 | (I + K < Text.size() ? (unsigned char)Text[I + K] : 0);
    for (std::size_t K = 0; K < 4; ++K)
      Result += I + K > Text.size() ? '=' : Alphabet[Bits >> (18 - 6 * K) & 63];
  }
  return Result;
}

std::string fromBase64(const std::string &Text) {
  std::string Result;
  unsigned Bits = 0;
  int Count = 0;
  for (const char C : Text) {
    const std::size_t Digit = Alphabet.find(C);
    if (Digit == std::string::npos)
      break;
    Bits = Bits << 6 | unsigned(Digit);
    if ((Count += 6) >= 8)
      Result += char(Bits >> (Count -= 8) & 255);
  }
  return Result;
}

} // namespace

std::int64_t nowMs() {
  static const auto Start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - Start)
      .count();
}

std::int64_t unixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string isoTime(std::int64_t UnixMs) {
  const std::time_t Seconds = UnixMs / 1000;
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  char Stamp[32];
  const std::size_t Length =
      std::strftime(Stamp, sizeof Stamp, "%Y-%m-%dT%H:%M:%S", &Parts);
  std::snprintf(Stamp + Length, sizeof Stamp - Length, ".%03d",
                int(UnixMs % 1000));
  return Stamp;
}

void sleepMs(std::int64_t Milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Milliseconds));
}

Store::~Store() {
  {
    const std::lock_guard Lock(Mutex);
    Ending = true;
    Changed.notify_all();
  }
  Listeners.clear();
}

void Store::listen(const std::string &Ip, int Port) {
  Listeners.push_back(std::make_unique<Server>(
      Ip, Port, [this, Address = Listeners.size()](const Request &Incoming) {
        const Response Answer = serve(Address, Incoming);
        return isDown(Address) ? Response{} : Answer;
      }));
}

void Store::setDown(std::size_t Address, bool IsDown) {
  const std::lock_guard Lock(Mutex);
  if (IsDown)
    Down.insert(Address);
  else
    Down.erase(Address);
}

bool Store::isDown(std::size_t Address) {
  const std::lock_guard Lock(Mutex);
  return Down.contains(Address);
}

std::string Store::leader() {
  const std::lock_guard Lock(Mutex);
  return Leader;
}

void Store::apply(const Name &Row, std::optional<std::string> Value) {
  const auto &[Table, Part, Key] = Row;
  if (Table == "leader" && Value) {
    const Json Record = Json::parse(fromBase64(*Value), nullptr, false);
    if (Record.is_object() && Record.contains("instance") &&
        Record["instance"].is_array())
      Leader = Record["instance"][0].get<std::string>();
  }
  History[Table].push_back({Version, Part, Key, Value});
  if (Value)
    Rows[Row] = {*Value, Version};
  else
    Rows.erase(Row);
}

void Store::put(const std::string &Table, const std::string &Key,
                const std::string &Value) {
  const std::lock_guard Lock(Mutex);
  ++Version;
  apply({Table, "", Key}, toBase64(Value));
  Changed.notify_all();
}

void Store::remove(const std::string &Table, const std::string &Key) {
  const std::lock_guard Lock(Mutex);
  if (!Rows.contains({Table, "", Key}))
    return;
  ++Version;
  apply({Table, "", Key}, std::nullopt);
  Changed.notify_all();
}

std::mutex &Store::partMutex(const std::string &Part) {
  const std::lock_guard Lock(Mutex);
  auto &Found = Parts[Part];
  if (!Found)
    Found = std::make_unique<std::mutex>();
  return *Found;
}

Response Store::serve(std::size_t Address, const Request &Incoming) {
  if (isDown(Address))
    return {};
  if (Incoming.Path == "/api/rows-tx") {
    const Json Body = Json::parse(Incoming.Body, nullptr, false);
    if (!Body.is_object() || Incoming.Body.size() > MaxTransactionBytes)
      return {400, "{}"};
    std::string Part;
    for (const char *Kind : {"expected_revision", "write", "remove"})
      for (const Json &Row : Body.value(Kind, Json::array()))
        Part = Row.at("part").get<std::string>();
    const std::lock_guard Turn(partMutex(Part));
    sleepMs(TransactionMs);
    return transact(Body);
  }
  if (Incoming.Path == "/api/rows-get")
    return rows(Incoming);
  if (Incoming.Path == "/api/rows-feed")
    return feed(Incoming);
  return {404, "{}"};
}

Response Store::transact(const Json &Body) {
  const auto NameOf = [](const Json &Row) {
    return Name{Row.at("table"), Row.at("part"), Row.at("key")};
  };
  const std::lock_guard Lock(Mutex);
  std::size_t Entries = 0;
  for (const char *Kind : {"expected_revision", "write", "remove"})
    Entries += Body.value(Kind, Json::array()).size();
  if (Entries > MaxEntries)
    return {400, R"({"reason":"entries"})"};
  for (const Json &Row : Body.value("write", Json::array())) {
    if (Row.at("table") == "op" || Row.at("table") == "servers")
      return {403, "{}"};
    if (fromBase64(Row.at("value")).size() > MaxRowBytes)
      return {400, R"({"reason":"max_row_bytes"})"};
  }
  Json Present = Json::array();
  bool Holds = true;
  for (const Json &Row : Body.value("expected_revision", Json::array())) {
    const auto Found = Rows.find(NameOf(Row));
    const std::int64_t Actual = Found == Rows.end() ? 0 : Found->second.Version;
    Holds = Holds && Actual == Row.at("row_version").get<std::int64_t>();
    if (Found != Rows.end())
      Present.push_back({{"table", Row.at("table")},
                         {"part", Row.at("part")},
                         {"key", Row.at("key")},
                         {"value", Found->second.Value},
                         {"row_version", Actual}});
  }
  if (!Holds)
    return {412, Json{{"rows", Present},
                      {"row_version", Version},
                      {"current_time_ms", nowMs()}}
                     .dump()};
  ++Version;
  for (const Json &Row : Body.value("write", Json::array()))
    apply(NameOf(Row), Row.at("value").get<std::string>());
  for (const Json &Row : Body.value("remove", Json::array()))
    apply(NameOf(Row), std::nullopt);
  Changed.notify_all();
  return {200,
          Json{{"row_version", Version}, {"current_time_ms", nowMs()}}.dump()};
}

Response Store::rows(const Request &Incoming) {
  const std::string Table = Incoming.query("table");
  const std::string Part = Incoming.query("part");
  const std::string To = Incoming.query("to");
  const std::string Limit = Incoming.query("limit");
  const std::size_t Most =
      Limit.empty() ? MaxRows : std::min(MaxRows, std::size_t(stoul(Limit)));
  const std::lock_guard Lock(Mutex);
  Json Found = Json::array();
  std::size_t Bytes = 0;
  bool More = false;
  for (auto Row = Rows.lower_bound({Table, Part, Incoming.query("source")});
       Row != Rows.end(); ++Row) {
    const auto &[RowTable, RowPart, Key] = Row->first;
    if (RowTable != Table || RowPart != Part || (!To.empty() && Key >= To))
      break;
    if (Found.size() >= Most || Bytes > 900'000) {
      More = true;
      break;
    }
    Bytes += Row->second.Value.size();
    Found.push_back({{"table", Table},
                     {"part", Part},
                     {"key", Key},
                     {"value", Row->second.Value},
                     {"row_version", Row->second.Version}});
  }
  return {200, Json{{"rows", Found},
                    {"has_more", More},
                    {"row_version", Version},
                    {"current_time_ms", nowMs()}}
                   .dump()};
}

Response Store::feed(const Request &Incoming) {
  const std::string Table = Incoming.query("table");
  const std::int64_t After = std::stoll(Incoming.query("after"));
  const std::string Wait = Incoming.query("wait_ms");
  const auto Until =
      std::chrono::steady_clock::now() +
      std::chrono::milliseconds(
          Wait.empty() ? 0
                       : std::min<std::int64_t>(stoll(Wait), MaxFeedWaitMs));
  std::unique_lock Lock(Mutex);
  Changed.wait_until(Lock, Until, [&] {
    const auto &Changes = History[Table];
    return Ending || (!Changes.empty() && Changes.back().Version > After);
  });
  if (Ending)
    return {};
  Json Found = Json::array();
  const auto &Changes = History[Table];
  for (auto One = std::upper_bound(Changes.begin(), Changes.end(), After,
                                   [](std::int64_t Least, const Change &Later) {
                                     return Least < Later.Version;
                                   });
       One != Changes.end(); ++One) {
    Json Row{{"table", Table},
             {"part", One->Part},
             {"key", One->Key},
             {"row_version", One->Version}};
    if (One->Value)
      Row["value"] = *One->Value;
    else
      Row["deleted"] = true;
    Found.push_back(std::move(Row));
  }
  return {200, Json{{"rows", Found},
                    {"row_version", Version},
                    {"current_time_ms", nowMs()}}
                   .dump()};
}

} // namespace apricotwing::soak
