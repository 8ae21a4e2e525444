#include "cli/command.h"

#include <charconv>
#include <utility>

namespace apricotwing {

UsageError::UsageError(const std::string &Problem, std::string Remedy)
    : std::runtime_error(Problem), Remedy(std::move(Remedy)) {}

void OptionValues::add(const std::string &Name, const std::string &Value) {
  Values[Name].push_back(Value);
}

bool OptionValues::has(const std::string &Name) const {
  return Values.contains(Name);
}

std::string OptionValues::value(const std::string &Name) const {
  const auto Found = Values.find(Name);
  return Found == Values.end() ? std::string() : Found->second.back();
}

std::vector<std::string> OptionValues::values(const std::string &Name) const {
  const auto Found = Values.find(Name);
  return Found == Values.end() ? std::vector<std::string>() : Found->second;
}

std::optional<std::int64_t> OptionValues::number(const std::string &Name,
                                                 std::int64_t Min,
                                                 std::int64_t Max) const {
  if (!has(Name))
    return std::nullopt;
  const std::string Text = value(Name);
  std::int64_t Result = 0;
  const char *End = Text.data() + Text.size();
  const auto [Position, Status] = std::from_chars(Text.data(), End, Result);
  if (Status != std::errc() || Position != End || Result < Min || Result > Max)
    throw UsageError("--" + Name + " " + Text + " is not accepted",
                     "write a whole number within " + std::to_string(Min) +
                         ".." + std::to_string(Max));
  return Result;
}

} // namespace apricotwing
