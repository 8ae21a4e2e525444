/// \file
/// Reads the documentation pages for their tests.
#ifndef APRICOTWING_TESTS_DOCS_PAGES_H
#define APRICOTWING_TESTS_DOCS_PAGES_H

#include <set>
#include <string>
#include <vector>

namespace apricotwing {

/// Returns the path of a file in the source tree, whose root is in the
/// environment variable APRICOTWING_SOURCE (default: the current directory).
std::string sourcePath(const std::string &Name);

/// Returns the text of a file of the source tree; fails the test if it is
/// missing.
std::string readSource(const std::string &Name);

/// Returns README.md and every page in docs/, as paths in the source tree.
std::vector<std::string> allPages();

/// Returns the lines of \p Text from the heading \p Title to the next heading
/// of the same or a higher level.
std::string sectionOf(const std::string &Text, const std::string &Title);

/// Returns the rows of the tables in \p Text, without headers and separators.
std::set<std::string> tableRows(const std::string &Text);

/// Returns the lines of code blocks and the inline code in \p Text, trimmed.
std::vector<std::string> codeFragments(const std::string &Text);

/// Returns every match of the regular expression \p Pattern in \p Text.
std::vector<std::string> matches(const std::string &Text,
                                 const std::string &Pattern);

} // namespace apricotwing

#endif
