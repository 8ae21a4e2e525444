#include "cli/statedump.h"

#include "core/error.h"

#include <nlohmann/json.hpp>

namespace apricotwing {

namespace {

constexpr std::size_t IndentWidth = 2;

std::string scalarText(const nlohmann::json &Value) {
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

bool isNested(const nlohmann::json &Value) {
  return Value.is_structured() && !Value.empty();
}

// The nesting of a state dump is fixed and small, so the recursion is bounded.
void appendMembers(std::string &Out, const nlohmann::json &Value,
                   std::size_t Depth) {
  for (const auto &[Name, Member] : Value.items()) {
    Out.append(Depth * IndentWidth, ' ');
    Out += Value.is_array() ? "-" : Name + ":";
    if (!isNested(Member)) {
      Out +=
          " " + (Member.is_structured() ? "none" : scalarText(Member)) + "\n";
      continue;
    }
    Out += "\n";
    appendMembers(Out, Member, Depth + 1);
  }
}

} // namespace

std::string formatStateDump(const std::string &Body) {
  const auto Value = nlohmann::json::parse(Body, nullptr, false);
  if (!Value.is_structured())
    throw Error(ErrorKind::Internal, "the state dump is not JSON",
                "check that the address belongs to an instance");
  std::string Result;
  appendMembers(Result, Value, 0);
  return Result;
}

} // namespace apricotwing
