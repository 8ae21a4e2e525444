/// \file
/// Parses JSON texts from clients that are not trusted.
#ifndef APRICOTWING_JSON_BOUNDEDPARSER_H
#define APRICOTWING_JSON_BOUNDEDPARSER_H

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>

namespace apricotwing {

/// Parses \p Text if it has at most \p MaxValues objects, lists, numbers, texts
/// and constants. The parsed form takes up to 100 bytes for each of them beside
/// their texts, however short they are, so it is the number of values and not
/// the length of the text that bounds the memory. Throws nlohmann's exceptions:
/// parse_error if the text is invalid, out_of_range if it has more values.
/// Thread-safe.
nlohmann::json parseBoundedJson(const std::string &Text, std::size_t MaxValues);

} // namespace apricotwing

#endif
