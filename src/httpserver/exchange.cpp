#include "httpserver/exchange.h"

#include <array>
#include <cstdio>
#include <utility>
#include <vector>

namespace apricotwing {

namespace {

void appendJsonString(std::string &Text, std::string_view Value) {
  Text += '"';
  for (const char C : Value) {
    if (C == '"' || C == '\\') {
      Text += '\\';
      Text += C;
    } else if (static_cast<unsigned char>(C) < 0x20) {
      std::array<char, 8> Escape{};
      std::snprintf(Escape.data(), Escape.size(), "\\u%04x", unsigned(C));
      Text += Escape.data();
    } else {
      Text += C;
    }
  }
  Text += '"';
}

void appendMember(std::string &Text, std::string_view Name,
                  std::string_view Value) {
  if (Text.back() != '{')
    Text += ',';
  appendJsonString(Text, Name);
  Text += ':';
  appendJsonString(Text, Value);
}

} // namespace

HttpResponse errorResponse(const Error &Failure) {
  HttpResponse Result;
  Result.Status = httpStatus(Failure.kind());
  Result.Headers["Apricotwing-Outcome"] = outcomeName(Failure.outcome());
  std::string Members = "{";
  appendMember(Members, "kind", errorCode(Failure.kind()));
  appendMember(Members, "message", Failure.what());
  appendMember(Members, "remedy", Failure.remedy());
  appendMember(Members, "outcome", outcomeName(Failure.outcome()));
  Result.Body = "{\"error\":" + Members + "}}";
  return Result;
}

Exchange::Exchange(OpenExchanges &Registry, std::uint64_t Id,
                   ResponseWriter Writer)
    : Registry(Registry), Id(Id), Writer(std::move(Writer)) {}

Exchange::~Exchange() {
  respond(errorResponse(Error(ErrorKind::Internal,
                              "the request was dropped without a response",
                              "report this as a bug", Outcome::Unknown)));
}

void Exchange::abandon() {
  const std::lock_guard Lock(Mutex);
  Writer = nullptr;
}

void Exchange::respond(HttpResponse Response) {
  // The lock is held while sending, so that abandon() returns only after every
  // sender has stopped using the connection.
  const std::lock_guard Lock(Mutex);
  if (!Writer)
    return;
  try {
    Writer(std::move(Response),
           [&Owner = Registry, Id = Id] { Owner.finishStep(Id); });
  } catch (const std::exception &) {
    // The connection is closed, so the response cannot be delivered.
    Registry.finishStep(Id);
  }
  // The writer keeps the connection alive, which must not outlive the server.
  Writer = nullptr;
  Registry.finishStep(Id);
}

std::shared_ptr<Exchange> OpenExchanges::add(ResponseWriter Writer) {
  const std::lock_guard Lock(Mutex);
  const std::uint64_t Id = NextId++;
  auto Result = std::make_shared<Exchange>(*this, Id, std::move(Writer));
  Entries.emplace(Id, Entry{Result});
  return Result;
}

void OpenExchanges::waitUntilEmpty(std::chrono::milliseconds Limit) {
  std::unique_lock Lock(Mutex);
  Changed.wait_for(Lock, Limit, [this] { return Entries.empty(); });
}

void OpenExchanges::abandonAll() {
  std::vector<std::shared_ptr<Exchange>> Remaining;
  {
    const std::lock_guard Lock(Mutex);
    for (auto &[Id, Item] : Entries)
      if (auto Call = Item.Call.lock())
        Remaining.push_back(std::move(Call));
    Entries.clear();
  }
  for (const auto &Call : Remaining)
    Call->abandon();
}

void OpenExchanges::finishStep(std::uint64_t Id) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Entries.find(Id);
  if (Found == Entries.end() || --Found->second.PendingSteps > 0)
    return;
  Entries.erase(Found);
  Changed.notify_all();
}

} // namespace apricotwing
