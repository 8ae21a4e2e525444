#include "standins/tablestandin.h"

#include "core/error.h"
#include "wire/platformcodec.h"

#include <algorithm>

namespace apricotwing::standins {

namespace {

/// Maximum number of rows in the answer to a scan.
constexpr std::uint32_t MaxPageRows = 1000;

} // namespace

void TableStandin::handle(const HttpRequest &Request, const Responder &Reply) {
  if (Switches.Refuse) {
    Reply(errorAnswer(503, "store_unavailable", "refused"));
    return;
  }
  if (Request.Path == "/v1/transact")
    Reply(transact(Request.Body));
  else if (Request.Path == "/v1/read")
    Reply(read(Request.Body));
  else if (Request.Path == "/v1/scan")
    Reply(scan(Request.Body));
  else
    Reply(errorAnswer(404, "not_found", Request.Path));
}

HttpResponse TableStandin::transact(const std::string &Body) {
  const Transaction Change = decodeTransaction(Body);
  std::vector<RowCondition> Conflicts;
  for (const RowCondition &Condition : Change.Conditions) {
    const auto Found = Rows.find(Condition.Key);
    const RowVersion Actual = Found == Rows.end() ? 0 : Found->second.Version;
    if (Actual != Condition.Version)
      Conflicts.push_back({Condition.Key, Actual});
  }
  Counters.tableTransaction(Conflicts.empty());
  if (!Conflicts.empty())
    return jsonResponse(409, encodeConflicts(Conflicts));
  ++Revision;
  for (const RowWrite &Write : Change.Writes) {
    if (Write.Value)
      Rows[Write.Key] = {Write.Key, Revision, Change.Id, *Write.Value};
    else
      Rows.erase(Write.Key);
  }
  return jsonResponse(200, encodeRevision(Revision));
}

HttpResponse TableStandin::read(const std::string &Body) const {
  Counters.tableRead();
  RowPage Page;
  for (const std::string &Key : decodeReadRequest(Body))
    if (const auto Found = Rows.find(Key); Found != Rows.end())
      Page.Rows.push_back(Found->second);
  return jsonResponse(200, encodeRowPage(Page));
}

HttpResponse TableStandin::scan(const std::string &Body) const {
  Counters.tableScanned();
  const ScanRequest Scan = decodeScanRequest(Body);
  const std::size_t Limit = std::min(Scan.Limit, MaxPageRows);
  RowPage Page;
  for (auto Position = Rows.lower_bound(Scan.Prefix);
       Position != Rows.end() && Position->first.starts_with(Scan.Prefix);
       ++Position) {
    if (Position->first <= Scan.After)
      continue;
    if (Page.Rows.size() == Limit) {
      Page.HasMore = true;
      break;
    }
    Page.Rows.push_back(Position->second);
  }
  return jsonResponse(200, encodeRowPage(Page));
}

void ObjectStandin::handle(const HttpRequest &Request, const Responder &Reply) {
  if (Request.Method == "PUT") {
    Objects[Request.Path] = Request.Body;
    Reply(jsonResponse(200, "{}"));
    return;
  }
  const auto Found = Objects.find(Request.Path);
  if (Found == Objects.end()) {
    Reply(errorAnswer(404, "not_found", Request.Path));
    return;
  }
  if (Request.Method == "DELETE") {
    Objects.erase(Found);
    Reply(jsonResponse(200, "{}"));
    return;
  }
  HttpResponse Response;
  Response.ContentType = "application/octet-stream";
  Response.Body = Found->second;
  Reply(std::move(Response));
}

} // namespace apricotwing::standins
