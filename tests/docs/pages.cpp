#include "docs/pages.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <sstream>

namespace apricotwing {

namespace {

constexpr std::size_t CodeIndent = 4;

std::string trimmed(const std::string &Text) {
  const std::size_t First = Text.find_first_not_of(" \n");
  if (First == std::string::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(" \n") - First + 1);
}

std::vector<std::string> linesOf(const std::string &Text) {
  std::istringstream Input(Text);
  std::vector<std::string> Result;
  for (std::string Line; std::getline(Input, Line);)
    Result.push_back(Line);
  return Result;
}

std::size_t headingLevel(const std::string &Line) {
  return std::min(Line.find_first_not_of('#'), Line.size());
}

bool isCode(const std::string &Line) {
  return Line.starts_with(std::string(CodeIndent, ' '));
}

} // namespace

std::string sourcePath(const std::string &Name) {
  const char *Root = std::getenv("APRICOTWING_SOURCE");
  return std::string(Root ? Root : ".") + "/" + Name;
}

std::string readSource(const std::string &Name) {
  std::ifstream Input(sourcePath(Name));
  EXPECT_TRUE(Input) << Name;
  return {std::istreambuf_iterator(Input), {}};
}

std::vector<std::string> allPages() {
  std::vector<std::string> Result = {"README.md"};
  for (const auto &Entry :
       std::filesystem::directory_iterator(sourcePath("docs")))
    if (Entry.path().extension() == ".md")
      Result.push_back("docs/" + Entry.path().filename().string());
  return Result;
}

std::string sectionOf(const std::string &Text, const std::string &Title) {
  std::string Result;
  std::size_t Level = 0;
  for (const std::string &Line : linesOf(Text)) {
    const std::size_t Here = headingLevel(Line);
    if (Level > 0 && Here > 0 && Here <= Level)
      break;
    if (Level > 0)
      Result += Line + "\n";
    else if (Here > 0 && trimmed(Line.substr(Here)) == Title)
      Level = Here;
  }
  return Result;
}

std::set<std::string> tableRows(const std::string &Text) {
  const std::vector<std::string> Lines = linesOf(Text);
  std::set<std::string> Result;
  for (std::size_t Line = 0; Line < Lines.size(); ++Line) {
    const bool IsRuler = Lines[Line].starts_with("| ---");
    const bool IsHeader =
        Line + 1 < Lines.size() && Lines[Line + 1].starts_with("| ---");
    if (Lines[Line].starts_with("|") && !IsRuler && !IsHeader)
      Result.insert(Lines[Line]);
  }
  return Result;
}

std::vector<std::string> codeFragments(const std::string &Text) {
  std::vector<std::string> Result;
  std::string Prose;
  for (const std::string &Line : linesOf(Text)) {
    if (isCode(Line))
      Result.push_back(trimmed(Line));
    else
      Prose += Line + " ";
  }
  for (const std::string &Span : matches(Prose, "`[^`]+`"))
    Result.push_back(trimmed(Span.substr(1, Span.size() - 2)));
  return Result;
}

std::vector<std::string> matches(const std::string &Text,
                                 const std::string &Pattern) {
  const std::regex Expression(Pattern);
  std::vector<std::string> Result;
  for (auto Match = std::sregex_iterator(Text.begin(), Text.end(), Expression);
       Match != std::sregex_iterator(); ++Match)
    Result.push_back(Match->str());
  return Result;
}

} // namespace apricotwing
