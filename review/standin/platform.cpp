#include "platform.h"

#include <algorithm>
#include <chrono>

namespace review {

namespace {

constexpr std::size_t MaxRowBytes = 65'536;
constexpr std::size_t MaxEntries = 100;
constexpr std::size_t MaxTransactionBytes = 1'000'000;
constexpr std::size_t MaxRows = 500;
constexpr std::size_t MaxEnds = 500;
constexpr std::int64_t TransactionMs = 5;
constexpr std::int64_t BeatMs = 1500;

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

void sleepMs(std::int64_t Milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Milliseconds));
}

void Recorder::line(const std::string &Text) {
  const std::lock_guard Lock(Mutex);
  File << nowMs() << " ms  " << Text << '\n' << std::flush;
}

std::size_t Recorder::started(const std::string &Task, std::int64_t Id,
                              const std::string &Executor) {
  const std::lock_guard Lock(Mutex);
  File << nowMs() << " ms  run " << Id << " of " << Task << " starts on "
       << Executor << '\n';
  All.push_back({Task, Executor, "", Id, nowMs()});
  return All.size() - 1;
}

void Recorder::ended(std::size_t Index, const std::string &How) {
  const std::lock_guard Lock(Mutex);
  Run &Ended = All[Index];
  Ended.How = How;
  Ended.Ended = nowMs();
  File << Ended.Ended << " ms  run " << Ended.Id << " of " << Ended.Task
       << " ends on " << Ended.Executor << ": " << How << '\n';
}

void Recorder::noted(std::size_t Index) {
  const std::lock_guard Lock(Mutex);
  All[Index].Noted = true;
}

std::vector<Recorder::Run> Recorder::runs() {
  const std::lock_guard Lock(Mutex);
  return All;
}

// The store.

Store::Store(std::string Ip, int Port)
    : Listener(std::move(Ip), Port,
               [this](const Request &Incoming) { return serve(Incoming); }) {}

void Store::apply(const Name &Row, std::optional<std::string> Value) {
  History.push_back(
      {Version, std::get<0>(Row), std::get<1>(Row), std::get<2>(Row), Value});
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
  ++Version;
  apply({Table, "", Key}, std::nullopt);
  Changed.notify_all();
}

std::optional<std::string> Store::get(const std::string &Table,
                                      const std::string &Part,
                                      const std::string &Key) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Rows.find({Table, Part, Key});
  if (Found == Rows.end())
    return std::nullopt;
  return fromBase64(Found->second.Value);
}

Response Store::serve(const Request &Incoming) {
  if (Down)
    return {};
  if (Incoming.Path == "/api/rows-tx") {
    const json Body = json::parse(Incoming.Body, nullptr, false);
    if (!Body.is_object() || Incoming.Body.size() > MaxTransactionBytes)
      return {400, "{}"};
    sleepMs(TransactionMs);
    return Down ? Response{} : transact(Body);
  }
  if (Incoming.Path == "/api/rows-get")
    return rows(Incoming);
  if (Incoming.Path == "/api/rows-feed")
    return feed(Incoming);
  return {404, "{}"};
}

Response Store::transact(const json &Body) {
  const auto NameOf = [](const json &Row) {
    return Name{Row.at("table"), Row.at("part"), Row.at("key")};
  };
  const std::lock_guard Lock(Mutex);
  std::size_t Entries = 0;
  for (const char *Kind : {"expected_revision", "write", "remove"})
    Entries += Body.value(Kind, json::array()).size();
  if (Entries > MaxEntries)
    return {400, R"({"reason":"entries"})"};
  for (const json &Row : Body.value("write", json::array())) {
    if (Row.at("table") == "op" || Row.at("table") == "servers")
      return {403, "{}"};
    if (fromBase64(Row.at("value")).size() > MaxRowBytes) {
      ++Oversized;
      return {400, R"({"reason":"max_row_bytes"})"};
    }
  }
  json Present = json::array();
  bool Holds = true;
  for (const json &Row : Body.value("expected_revision", json::array())) {
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
    return {412, json{{"rows", Present},
                      {"row_version", Version},
                      {"current_time_ms", nowMs()}}
                     .dump()};
  ++Version;
  for (const json &Row : Body.value("write", json::array()))
    apply(NameOf(Row), Row.at("value").get<std::string>());
  for (const json &Row : Body.value("remove", json::array()))
    apply(NameOf(Row), std::nullopt);
  Changed.notify_all();
  return {200,
          json{{"row_version", Version}, {"current_time_ms", nowMs()}}.dump()};
}

Response Store::rows(const Request &Incoming) {
  const std::string Table = Incoming.query("table");
  const std::string Part = Incoming.query("part");
  const std::string To = Incoming.query("to");
  const std::string Limit = Incoming.query("limit");
  const std::size_t Most =
      Limit.empty() ? MaxRows : std::min(MaxRows, std::size_t(stoul(Limit)));
  const std::lock_guard Lock(Mutex);
  json Found = json::array();
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
  return {200, json{{"rows", Found},
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
      std::chrono::milliseconds(Wait.empty() ? 0 : std::stoll(Wait));
  std::unique_lock Lock(Mutex);
  json Found = json::array();
  for (;;) {
    for (const Change &One : History) {
      if (One.Version <= After || One.Table != Table)
        continue;
      json Row{{"table", Table},
               {"part", One.Part},
               {"key", One.Key},
               {"row_version", One.Version}};
      if (One.Value)
        Row["value"] = *One.Value;
      else
        Row["deleted"] = true;
      Found.push_back(std::move(Row));
    }
    if (!Found.empty() || Down)
      break;
    if (Changed.wait_until(Lock, Until) == std::cv_status::timeout)
      break;
  }
  if (Down)
    return {};
  return {200, json{{"rows", Found},
                    {"row_version", Version},
                    {"current_time_ms", nowMs()}}
                   .dump()};
}

// The executors.

Executor::Executor(Settings Wanted, Store &Registry, Recorder &Record)
    : Chosen(std::move(Wanted)), Registry(Registry), Record(Record),
      Born(unixMs()), BornAt(nowMs()) {
  Listener = std::make_unique<Server>(
      Chosen.Ip, Chosen.Port,
      [this](const Request &Incoming) { return serve(Incoming); });
  Ticker = std::thread([this] { work(); });
}

void Executor::kill() {
  {
    const std::lock_guard Lock(Mutex);
    if (Dead)
      return;
    Dead = true;
    for (const auto &[Task, Run] : Running)
      Record.ended(Run.Index, "lost with its executor");
    Running.clear();
    Changed.notify_all();
  }
  Listener->close();
  Ticker.join();
  Record.line("executor " + Chosen.Id + " is down");
}

std::size_t Executor::running() {
  const std::lock_guard Lock(Mutex);
  return Running.size();
}

void Executor::fail(const std::string &Task) {
  const std::lock_guard Lock(Mutex);
  if (Running.contains(Task))
    finish(Task, "failed");
}

void Executor::beat() {
  json Entry{
      {"service", Chosen.Service},
      {"address", Chosen.Ip + ":" + std::to_string(Chosen.Port)},
      {"zone", "zone-a"},
      {"version", "v1"},
      {"slots", 8},
      {"state", "ready"},
      {"cold_remaining_ms", 0},
      {"capacity", {{"cpu", Chosen.Cpu}, {"mem_mb", Chosen.MemMb}, {"gpu", 0}}},
      {"labels", {"a", "r1-1"}},
      {"clock_ms", clock()},
      {"born", Born},
      {"sequence", ++Sequence}};
  Registry.put("servers", Chosen.Id, Entry.dump());
}

void Executor::work() {
  std::int64_t NextBeat = 0;
  for (;;) {
    {
      const std::lock_guard Lock(Mutex);
      if (Dead)
        return;
      tick();
    }
    if (nowMs() >= NextBeat) {
      NextBeat = nowMs() + BeatMs;
      beat();
    }
    sleepMs(2);
  }
}

void Executor::finish(const std::string &Task, const std::string &How) {
  const auto Found = Running.find(Task);
  const Active Run = Found->second;
  Running.erase(Found);
  Highest[Task] = std::max(Highest[Task], Run.Id);
  Ends.push_back({++LastEnd, Task, Run.Id, How, Run.Index, Lapses});
  Record.ended(Run.Index, How);
  Changed.notify_all();
}

// Ends what is done, and everything if the lease has expired.
void Executor::tick() {
  std::vector<std::string> Due;
  for (const auto &[Task, Run] : Running)
    if (clock() >= Run.EndsAt)
      Due.push_back(Task);
  for (const std::string &Task : Due)
    finish(Task, "done");
  if (clock() <= Deadline) {
    Lapsed = false;
    return;
  }
  if (Lapsed || Deadline == 0)
    return;
  Lapsed = true;
  ++Lapses;
  Due.clear();
  for (const auto &[Task, Run] : Running)
    Due.push_back(Task);
  for (const std::string &Task : Due)
    finish(Task, "lapsed");
}

void Executor::extend(std::int64_t Wanted) {
  Deadline = std::max(Deadline, std::min(Wanted, clock() + Chosen.MaxHoldMs));
}

json Executor::answer(const std::string &Reason) const {
  json Result{{"clock_ms", clock()}};
  if (!Reason.empty())
    Result["reason"] = Reason;
  return Result;
}

Response Executor::serve(const Request &Incoming) {
  const json Body = json::parse(Incoming.Body, nullptr, false);
  const auto Expected =
      Incoming.Headers.find("x-apricotwing-expected-instance");
  if (Expected != Incoming.Headers.end() && Expected->second != Chosen.Id)
    return {421, answer().dump()};
  if (!Body.is_object())
    return {400, answer().dump()};
  if (Incoming.Path == "/api/hold")
    return hold(Body);
  const std::lock_guard Lock(Mutex);
  if (Dead)
    return {};
  tick();
  const std::int64_t Token = Body.value("fencing_token", std::int64_t(0));
  if (Token < Fence)
    return {409, answer("fence").dump()};
  Fence = Token;
  if (Incoming.Path == "/api/run-start")
    return start(Body);
  if (Incoming.Path == "/api/run-stop")
    return stop(Body);
  return {404, answer().dump()};
}

Response Executor::start(const json &Body) {
  const std::string Task = Body.at("task");
  const std::int64_t Id = Body.at("run_id");
  const std::int64_t Until = Body.at("deadline_ms");
  if (Until <= clock())
    return {409, answer("late").dump()};
  extend(Until);
  const auto Present = Running.find(Task);
  if (Present != Running.end() && Present->second.Id == Id)
    return {200, answer().dump()};
  const auto Earlier = Highest.find(Task);
  if (Present != Running.end() ||
      (Earlier != Highest.end() && Id <= Earlier->second))
    return {409, answer("old").dump()};
  const std::string Spec = Body.value("spec", "");
  const std::size_t Mark = Spec.find("work_ms=");
  const std::int64_t Work =
      Mark == std::string::npos ? 500 : std::stoll(Spec.substr(Mark + 8));
  Running[Task] = {Id, clock(), clock() + Work,
                   Record.started(Task, Id, Chosen.Id)};
  return {200, answer().dump()};
}

Response Executor::stop(const json &Body) {
  const std::string Task = Body.at("task");
  const std::int64_t Id = Body.at("run_id");
  Highest[Task] = std::max(Highest[Task], Id);
  const auto Present = Running.find(Task);
  if (Present != Running.end() && Present->second.Id == Id)
    finish(Task, "stopped");
  return {200, answer().dump()};
}

Response Executor::hold(const json &Body) {
  const auto Until = std::chrono::steady_clock::now() +
                     std::chrono::milliseconds(std::min<std::int64_t>(
                         Body.value("wait_ms", 0), 2000));
  std::unique_lock Lock(Mutex);
  if (Dead)
    return {};
  tick();
  const std::int64_t Token = Body.value("fencing_token", std::int64_t(0));
  if (Token < Fence)
    return {409, answer("fence").dump()};
  Fence = Token;
  if (Body.contains("deadline_ms"))
    extend(Body.at("deadline_ms"));
  const std::int64_t Ack = Body.value("ack_cursor", std::int64_t(0));
  std::erase_if(Ends, [&](const End &One) {
    if (One.Number <= Ack && One.Lapses == Lapses)
      Record.noted(One.Index);
    return One.Number <= Ack;
  });
  Changed.wait_until(Lock, Until, [this] { return Dead || !Ends.empty(); });
  if (Dead)
    return {};
  json Result = answer();
  Result["born"] = Born;
  Result["running"] = json::array();
  Result["finished"] = json::array();
  for (const auto &[Task, Run] : Running)
    Result["running"].push_back(
        {Task, Run.Id, "",
         std::min<std::int64_t>(
             99, 100 * (clock() - Run.Started) /
                     std::max<std::int64_t>(Run.EndsAt - Run.Started, 1)),
         100});
  for (const End &One : Ends) {
    if (Result["finished"].size() >= MaxEnds)
      break;
    Result["finished"].push_back({One.Number, One.Task, One.Id, One.How, ""});
  }
  return {200, Result.dump()};
}

} // namespace review
