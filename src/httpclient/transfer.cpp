#include "httpclient/transfer.h"

#include <algorithm>
#include <cctype>
#include <cerrno>

namespace apricotwing {

namespace {

/// Connections that were idle for longer than this are not reused, because the
/// peer or a load balancer may be about to close them.
constexpr long MaxIdleSeconds = 30;

int onBeforeSend(void *Context, char *, char *, int, int) {
  auto &State = *static_cast<Transfer *>(Context);
  if (State.SendCount > 0 && !State.Call.MayResend)
    return CURL_PREREQFUNC_ABORT;
  if (State.Call.MaySend && !State.Call.MaySend()) {
    State.SendDenied = true;
    return CURL_PREREQFUNC_ABORT;
  }
  ++State.SendCount;
  return CURL_PREREQFUNC_OK;
}

std::size_t onBodyData(char *Data, std::size_t, std::size_t Size,
                       void *Context) {
  auto &State = *static_cast<Transfer *>(Context);
  State.LastProgress = std::chrono::steady_clock::now();
  if (State.Result.Body.size() + Size > State.Call.MaxResponseBytes) {
    State.Overflowed = true;
    return 0;
  }
  State.Result.Body.append(Data, Size);
  return Size;
}

int onProgress(void *Context, curl_off_t, curl_off_t, curl_off_t,
               curl_off_t Sent) {
  auto &State = *static_cast<Transfer *>(Context);
  if (Sent != State.SentBytes) {
    State.SentBytes = Sent;
    State.LastProgress = std::chrono::steady_clock::now();
  }
  return 0;
}

std::string_view trimWhitespace(std::string_view Text) {
  const auto IsSpace = [](char Letter) {
    return Letter == ' ' || Letter == '\t' || Letter == '\r' || Letter == '\n';
  };
  while (!Text.empty() && IsSpace(Text.front()))
    Text.remove_prefix(1);
  while (!Text.empty() && IsSpace(Text.back()))
    Text.remove_suffix(1);
  return Text;
}

std::size_t onHeaderLine(char *Data, std::size_t, std::size_t Size,
                         void *Context) {
  HttpResult &Result = static_cast<Transfer *>(Context)->Result;
  const std::string_view Line(Data, Size);
  // A status line starts a new header block, for example after "100 Continue".
  if (Line.starts_with("HTTP/")) {
    Result.Headers.clear();
    return Size;
  }
  const std::size_t Colon = Line.find(':');
  if (Colon == std::string_view::npos)
    return Size;
  std::string Name(Line.substr(0, Colon));
  std::transform(
      Name.begin(), Name.end(), Name.begin(),
      [](unsigned char Letter) { return char(std::tolower(Letter)); });
  // The values of a repeated header are joined, so that two different lengths
  // or ids match neither of the expected values.
  std::string &Value = Result.Headers[Name];
  if (!Value.empty())
    Value += ", ";
  Value += trimWhitespace(Line.substr(Colon + 1));
  return Size;
}

bool hasLineBreak(const std::string &Text) {
  return Text.find_first_of(std::string("\r\n\0", 3)) != std::string::npos;
}

void setMethod(CURL *Handle, const HttpCall &Call) {
  if (Call.Method == "GET") {
    curl_easy_setopt(Handle, CURLOPT_HTTPGET, 1L);
    return;
  }
  curl_easy_setopt(Handle, CURLOPT_CUSTOMREQUEST, Call.Method.c_str());
  if (Call.Method == "DELETE" && Call.Body.empty())
    return;
  curl_easy_setopt(Handle, CURLOPT_POSTFIELDSIZE_LARGE,
                   curl_off_t(Call.Body.size()));
  curl_easy_setopt(Handle, CURLOPT_POSTFIELDS, Call.Body.data());
}

void setTimeouts(CURL *Handle, const HttpCall &Call) {
  // libcurl treats a timeout of 0 as no limit.
  const auto Total = std::max<Duration::rep>(Call.Timeout.count(), 1);
  const auto Connect =
      std::clamp<Duration::rep>(Call.ConnectTimeout.count(), 1, Total);
  curl_easy_setopt(Handle, CURLOPT_TIMEOUT_MS, long(Total));
  curl_easy_setopt(Handle, CURLOPT_CONNECTTIMEOUT_MS, long(Connect));
}

void setConnectionUse(CURL *Handle, const HttpCall &Call) {
  const long Fresh = Call.Connections == ConnectionUse::Fresh ? 1 : 0;
  curl_easy_setopt(Handle, CURLOPT_FRESH_CONNECT, Fresh);
  curl_easy_setopt(Handle, CURLOPT_FORBID_REUSE, Fresh);
  curl_easy_setopt(Handle, CURLOPT_MAXCONNECTS, 1L);
  curl_easy_setopt(Handle, CURLOPT_MAXAGE_CONN, MaxIdleSeconds);
}

void setCallbacks(CURL *Handle, Transfer &State) {
  curl_easy_setopt(Handle, CURLOPT_PREREQFUNCTION, onBeforeSend);
  curl_easy_setopt(Handle, CURLOPT_PREREQDATA, &State);
  curl_easy_setopt(Handle, CURLOPT_WRITEFUNCTION, onBodyData);
  curl_easy_setopt(Handle, CURLOPT_WRITEDATA, &State);
  curl_easy_setopt(Handle, CURLOPT_HEADERFUNCTION, onHeaderLine);
  curl_easy_setopt(Handle, CURLOPT_HEADERDATA, &State);
  if (!State.Call.StallTimeout)
    return;
  curl_easy_setopt(Handle, CURLOPT_NOPROGRESS, 0L);
  curl_easy_setopt(Handle, CURLOPT_XFERINFOFUNCTION, onProgress);
  curl_easy_setopt(Handle, CURLOPT_XFERINFODATA, &State);
}

} // namespace

bool isWellFormed(const HttpCall &Call) {
  return !hasLineBreak(Call.Url) &&
         std::none_of(
             Call.Headers.begin(), Call.Headers.end(), [](const auto &Header) {
               return hasLineBreak(Header.first) || hasLineBreak(Header.second);
             });
}

std::string hostAndPort(const std::string &Url) {
  const std::size_t Scheme = Url.find("://");
  const std::size_t Start = Scheme == std::string::npos ? 0 : Scheme + 3;
  return Url.substr(Start, Url.find('/', Start) - Start);
}

HeaderList makeHeaderList(const HttpCall &Call) {
  // An empty Expect header keeps libcurl from waiting up to 1 s for
  // "100 Continue" before it sends a large body.
  curl_slist *List = curl_slist_append(nullptr, "Expect:");
  for (const auto &[Name, Value] : Call.Headers) {
    std::string Line = Name;
    // libcurl omits a header that ends in a colon. A semicolon makes it send
    // the header with an empty value.
    Line += Value.empty() ? ";" : ": ";
    Line += Value;
    List = curl_slist_append(List, Line.c_str());
  }
  return {List, curl_slist_free_all};
}

void configureHandle(CURL *Handle, const HttpCall &Call, Transfer &State,
                     const HeaderList &Headers) {
  curl_easy_reset(Handle);
  curl_easy_setopt(Handle, CURLOPT_URL, Call.Url.c_str());
  curl_easy_setopt(Handle, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(Handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(Handle, CURLOPT_PROXY, "");
  curl_easy_setopt(Handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Handle, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(Handle, CURLOPT_HTTPHEADER, Headers.get());
  setMethod(Handle, Call);
  setTimeouts(Handle, Call);
  setConnectionUse(Handle, Call);
  setCallbacks(Handle, State);
}

void finishTransfer(const Transfer &State, CURLcode Code, CURL *Handle) {
  HttpResult &Result = State.Result;
  long Status = 0;
  curl_easy_getinfo(Handle, CURLINFO_RESPONSE_CODE, &Status);
  Result.Status = int(Status);
  if (Code == CURLE_OK) {
    Result.State = TransferState::Complete;
    return;
  }
  Result.State =
      State.SendCount == 0 ? TransferState::NotSent : TransferState::InDoubt;
  long SystemError = 0;
  curl_easy_getinfo(Handle, CURLINFO_OS_ERRNO, &SystemError);
  Result.ConnectionRefused =
      Code == CURLE_COULDNT_CONNECT && SystemError == ECONNREFUSED;
  Result.ConnectionClosed = Result.State == TransferState::InDoubt &&
                            Code != CURLE_OPERATION_TIMEDOUT &&
                            !State.Overflowed;
  if (State.SendDenied)
    Result.Detail = "the request was withdrawn before it was sent";
  else if (State.Overflowed)
    Result.Detail = "the response exceeds the size limit";
  else if (Code == CURLE_ABORTED_BY_CALLBACK)
    Result.Detail = "the connection closed without a response";
  else
    Result.Detail = curl_easy_strerror(Code);
}

} // namespace apricotwing
