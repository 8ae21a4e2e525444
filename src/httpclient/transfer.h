/// \file
/// One HTTP call as libcurl sees it; shared by the clients of this folder.
#ifndef APRICOTWING_HTTPCLIENT_TRANSFER_H
#define APRICOTWING_HTTPCLIENT_TRANSFER_H

#include "httpclient/httpclient.h"

#include <curl/curl.h>

#include <memory>
#include <string>

namespace apricotwing {

using HandlePointer = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using HeaderList = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

/// State of one call that the callbacks of libcurl work on.
struct Transfer {
  const HttpCall &Call;
  HttpResult &Result;
  int Sends = 0;
  bool Vetoed = false;
  bool Overflowed = false;
};

/// False if the URL or a header holds a line break. Thread-safe.
bool isWellFormed(const HttpCall &Call);

/// "host:port" of an absolute URL. Thread-safe.
std::string addressOf(const std::string &Url);

/// The headers of \p Call in libcurl's form. Thread-safe.
HeaderList headerList(const HttpCall &Call);

/// Prepares \p Handle for \p Call. \p State and \p Headers have to outlive
/// the transfer.
void setUp(CURL *Handle, const HttpCall &Call, Transfer &State,
           const HeaderList &Headers);

/// Fills in the outcome of a transfer that ended with \p Code.
void conclude(const Transfer &State, CURLcode Code, CURL *Handle);

} // namespace apricotwing

#endif
