/// \file
/// Setup and evaluation of one libcurl transfer; shared by the blocking and
/// the asynchronous HTTP client.
#ifndef APRICOTWING_HTTPCLIENT_TRANSFER_H
#define APRICOTWING_HTTPCLIENT_TRANSFER_H

#include "httpclient/httpclient.h"

#include <curl/curl.h>

#include <chrono>
#include <memory>
#include <string>

namespace apricotwing {

using HandlePointer = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using HeaderList = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

/// State of one call, which libcurl's callbacks update.
struct Transfer {
  const HttpCall &Call;
  HttpResult &Result;
  int SendCount = 0;
  bool SendDenied = false;
  bool Overflowed = false;
  /// When a part of the request or response was last transferred.
  std::chrono::steady_clock::time_point LastProgress =
      std::chrono::steady_clock::now();
  curl_off_t SentBytes = 0; ///< Of the request body.
};

/// False if the URL or a header contains a line break or a null character.
/// Thread-safe.
bool isWellFormed(const HttpCall &Call);

/// Returns "host:port" of an absolute URL. Thread-safe.
std::string hostAndPort(const std::string &Url);

/// Converts the headers of \p Call to libcurl's list type. Thread-safe.
HeaderList makeHeaderList(const HttpCall &Call);

/// Sets all options of \p Handle for \p Call. \p State and \p Headers must
/// outlive the transfer.
void configureHandle(CURL *Handle, const HttpCall &Call, Transfer &State,
                     const HeaderList &Headers);

/// Sets the result of a transfer that ended with \p Code.
void finishTransfer(const Transfer &State, CURLcode Code, CURL *Handle);

} // namespace apricotwing

#endif
