#include "cli/report.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <utility>

namespace apricotwing {

namespace {

constexpr std::size_t ColumnGap = 2;

std::string cellText(const Report::Cell &Value) {
  if (const auto *Number = std::get_if<std::int64_t>(&Value))
    return std::to_string(*Number);
  if (const auto *Flag = std::get_if<bool>(&Value))
    return *Flag ? "yes" : "no";
  const std::string &Text = std::get<std::string>(Value);
  return Text.empty() ? "-" : Text;
}

std::string columnTitle(std::string Column) {
  for (char &Char : Column)
    Char =
        Char == '_'
            ? ' '
            : static_cast<char>(std::toupper(static_cast<unsigned char>(Char)));
  return Column;
}

void printLine(std::ostream &Out, const std::vector<std::string> &Cells,
               const std::vector<std::size_t> &Widths) {
  std::string Line;
  for (std::size_t Column = 0; Column < Cells.size(); ++Column) {
    Line += Cells[Column];
    if (Column + 1 < Cells.size())
      Line.append(Widths[Column] + ColumnGap - Cells[Column].size(), ' ');
  }
  Out << Line << "\n";
}

nlohmann::json rowToJson(const std::vector<std::string> &Columns,
                         const std::vector<Report::Cell> &Row) {
  nlohmann::json Result = nlohmann::json::object();
  for (std::size_t Column = 0; Column < Columns.size(); ++Column)
    std::visit([&](const auto &Value) { Result[Columns[Column]] = Value; },
               Row[Column]);
  return Result;
}

// Replaces bytes that are not UTF-8, so that the output never fails.
std::string dump(const nlohmann::json &Value) {
  constexpr int Indent = 2;
  return Value.dump(Indent, ' ', false,
                    nlohmann::json::error_handler_t::replace);
}

} // namespace

Report::Report(std::vector<std::string> Columns)
    : Columns(std::move(Columns)) {}

void Report::add(std::vector<Cell> Row) { Rows.push_back(std::move(Row)); }

void Report::print(std::ostream &Out, bool Json) const {
  if (!Json)
    return printTable(Out);
  nlohmann::json List = nlohmann::json::array();
  for (const auto &Row : Rows)
    List.push_back(rowToJson(Columns, Row));
  Out << dump(List) << "\n";
}

void Report::printSingle(std::ostream &Out, bool Json) const {
  const std::vector<Cell> &Row = Rows.at(0);
  if (Json) {
    Out << dump(rowToJson(Columns, Row)) << "\n";
    return;
  }
  for (std::size_t Column = 0; Column < Columns.size(); ++Column)
    Out << Columns[Column] << ": " << cellText(Row[Column]) << "\n";
}

void Report::printTable(std::ostream &Out) const {
  std::vector<std::vector<std::string>> Lines(1);
  for (const std::string &Column : Columns)
    Lines.front().push_back(columnTitle(Column));
  for (const auto &Row : Rows) {
    std::vector<std::string> &Line = Lines.emplace_back();
    std::transform(Row.begin(), Row.end(), std::back_inserter(Line), cellText);
  }
  std::vector<std::size_t> Widths(Columns.size());
  for (const auto &Line : Lines)
    for (std::size_t Column = 0; Column < Line.size(); ++Column)
      Widths[Column] = std::max(Widths[Column], Line[Column].size());
  for (const auto &Line : Lines)
    printLine(Out, Line, Widths);
}

} // namespace apricotwing
