#include "core/secret.h"

#include <algorithm>
#include <cctype>

namespace apricotwing {

namespace {

constexpr std::string_view BearerWord = "bearer";
constexpr std::string_view Hidden = "(hidden)";

bool startsWithIgnoringCase(std::string_view Text, std::string_view Prefix) {
  return Text.size() >= Prefix.size() &&
         std::equal(Prefix.begin(), Prefix.end(), Text.begin(),
                    [](unsigned char Left, unsigned char Right) {
                      return std::tolower(Left) == std::tolower(Right);
                    });
}

bool isKeyCharacter(unsigned char Char) {
  return std::isalnum(Char) || Char == '-' || Char == '_';
}

std::size_t spacesAt(std::string_view Text, std::size_t Position) {
  std::size_t Count = 0;
  while (Position + Count < Text.size() &&
         std::isspace(static_cast<unsigned char>(Text[Position + Count])))
    ++Count;
  return Count;
}

// A token ends at white space or at a quote. Stopping at the quote keeps JSON
// text well-formed after redaction.
std::size_t tokenLength(std::string_view Text) {
  return static_cast<std::size_t>(std::find_if(Text.begin(), Text.end(),
                                               [](unsigned char Char) {
                                                 return std::isspace(Char) ||
                                                        Char == '"' ||
                                                        Char == '\'';
                                               }) -
                                  Text.begin());
}

} // namespace

std::string redactSecrets(std::string_view Text) {
  std::string Result;
  std::size_t Position = 0;
  while (Position < Text.size()) {
    const std::string_view Rest = Text.substr(Position);
    if (Rest.starts_with(KeyPrefix)) {
      Result += Hidden;
      Position += static_cast<std::size_t>(
          std::find_if_not(Rest.begin(), Rest.end(), isKeyCharacter) -
          Rest.begin());
      continue;
    }
    const std::size_t Spaces = spacesAt(Text, Position + BearerWord.size());
    if (Spaces > 0 && startsWithIgnoringCase(Rest, BearerWord)) {
      Result.append(Rest.substr(0, BearerWord.size())).append(" ");
      Result += Hidden;
      Position += BearerWord.size() + Spaces;
      Position += tokenLength(Text.substr(Position));
      continue;
    }
    const auto Char = static_cast<unsigned char>(Rest.front());
    Result += std::iscntrl(Char) ? ' ' : Rest.front();
    ++Position;
  }
  return Result;
}

} // namespace apricotwing
