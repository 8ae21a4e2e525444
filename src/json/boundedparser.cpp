#include "json/boundedparser.h"

namespace apricotwing {

namespace {

using nlohmann::json;

/// Bytes of the shortest value in a list and of what separates it from the next
/// one. Lists within lists have two bytes each.
constexpr std::size_t MinBytesPerValue = 2;

/// Code of nlohmann's exceptions for sizes that are out of range.
constexpr int ExcessiveSize = 408;

} // namespace

json parseBoundedJson(const std::string &Text, std::size_t MaxValues) {
  if (Text.size() / MinBytesPerValue < MaxValues)
    return json::parse(Text);
  std::size_t Values = 0;
  return json::parse(Text, [&](int, json::parse_event_t Event, json &) {
    using Kind = json::parse_event_t;
    const bool Begins = Event == Kind::value || Event == Kind::array_start ||
                        Event == Kind::object_start;
    if (Begins && ++Values > MaxValues)
      throw json::out_of_range::create(
          ExcessiveSize,
          "more than " + std::to_string(MaxValues) + " values in a text",
          nullptr);
    return true;
  });
}

} // namespace apricotwing
