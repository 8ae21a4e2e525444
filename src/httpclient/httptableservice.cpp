#include "httpclient/httptableservice.h"

#include "core/error.h"
#include "wire/errorcodec.h"
#include "wire/platformcodec.h"

#include <algorithm>

namespace apricotwing {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusBadRequest = 400;
constexpr int StatusConflict = 409;
constexpr int StatusUnavailable = 503;

Error makeUnavailableError(const std::string &Reason) {
  return {ErrorKind::StoreUnavailable, "table service: " + Reason,
          "try again later; check the table service and [table] url"};
}

Error makeUnknownOutcomeError(const std::string &Reason) {
  return {ErrorKind::StoreUnknownOutcome, "table service: " + Reason,
          "send the same transaction again", Outcome::Unknown};
}

std::string describeStatus(const HttpResult &Result) {
  return "status " + std::to_string(Result.Status);
}

/// Parses the response to a transaction that was sent. Throws Error if the
/// response is neither a commit nor a conflict.
CommitResult parseCommitResponse(const HttpResult &Result) {
  switch (Result.Status) {
  case StatusOk:
    (void)decodeRevision(Result.Body);
    return CommitResult::Committed;
  case StatusConflict:
    (void)decodeConflicts(Result.Body);
    return CommitResult::Conflict;
  case StatusUnavailable:
    throw makeUnavailableError(describeStatus(Result));
  case StatusBadRequest:
    throw Error(ErrorKind::Internal,
                std::string("table service rejected a transaction: ") +
                    decodeError(Result.Status, Result.Body).what(),
                "report this with the log of the instance");
  default:
    throw makeUnknownOutcomeError(describeStatus(Result));
  }
}

template <typename Decoder>
auto decodeResponse(const std::string &Body, const Decoder &Decode) {
  try {
    return Decode(Body);
  } catch (const Error &Failure) {
    throw makeUnavailableError(std::string("malformed response: ") +
                               Failure.what());
  }
}

} // namespace

HttpTableService::HttpTableService(HttpClient &Client, std::string Url,
                                   Duration Timeout)
    : Client(Client), Url(std::move(Url)), Timeout(Timeout) {
  while (this->Url.ends_with('/'))
    this->Url.pop_back();
}

CommitResult HttpTableService::transact(const Transaction &Change) {
  const HttpResult Result =
      Client.perform(post("/v1/transact", encodeTransaction(Change)));
  if (Result.State == TransferState::NotSent)
    throw makeUnavailableError(Result.Detail);
  if (Result.State == TransferState::InDoubt)
    throw makeUnknownOutcomeError(Result.Detail);
  try {
    return parseCommitResponse(Result);
  } catch (const Error &Failure) {
    if (Failure.kind() == ErrorKind::BadRequest)
      throw makeUnknownOutcomeError(std::string("malformed response: ") +
                                    Failure.what());
    throw;
  }
}

std::optional<Row> HttpTableService::read(const std::string &Key) {
  const std::string Body = query("/v1/read", encodeReadRequest({Key}));
  RowPage Page = decodeResponse(Body, decodeRowPage);
  for (Row &Candidate : Page.Rows)
    if (Candidate.Key == Key)
      return std::move(Candidate);
  return std::nullopt;
}

std::vector<Row> HttpTableService::scan(const std::string &Prefix,
                                        const std::string &After,
                                        std::uint32_t Limit) {
  std::vector<Row> Rows;
  std::string Cursor = After;
  while (Rows.size() < Limit) {
    const auto Remaining = std::uint32_t(Limit - Rows.size());
    const std::string Body =
        query("/v1/scan", encodeScanRequest({Prefix, Cursor, Remaining}));
    RowPage Page = decodeResponse(Body, decodeRowPage);
    if (Page.Rows.empty())
      return Rows;
    if (Page.Rows.back().Key <= Cursor)
      throw makeUnavailableError("a page of a scan is out of order");
    Cursor = Page.Rows.back().Key;
    std::move(Page.Rows.begin(), Page.Rows.end(), std::back_inserter(Rows));
    if (!Page.HasMore)
      return Rows;
  }
  return Rows;
}

HttpCall HttpTableService::post(const std::string &Path,
                                std::string Body) const {
  HttpCall Call;
  Call.Method = "POST";
  Call.Url = Url + Path;
  Call.Headers["Content-Type"] = "application/json";
  Call.Body = std::move(Body);
  Call.Timeout = Timeout;
  return Call;
}

std::string HttpTableService::query(const std::string &Path, std::string Body) {
  HttpCall Call = post(Path, std::move(Body));
  Call.MayResend = true;
  HttpResult Result = Client.perform(Call);
  if (Result.State != TransferState::Complete)
    throw makeUnavailableError(Result.Detail);
  if (Result.Status != StatusOk)
    throw makeUnavailableError(describeStatus(Result));
  return std::move(Result.Body);
}

} // namespace apricotwing
