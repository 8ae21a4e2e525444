/// \file
/// Access to the project's pages for the tests of the documentation.
#ifndef APRICOTWING_TESTS_DOCS_PAGES_H
#define APRICOTWING_TESTS_DOCS_PAGES_H

#include <set>
#include <string>
#include <vector>

namespace apricotwing {

/// Path of a file of the source tree, which ctest names in the environment.
std::string sourcePath(const std::string &Name);

/// Whole text of a file of the source tree; fails the test if it is missing.
std::string readSource(const std::string &Name);

/// README.md and every page in docs/, as names within the source tree.
std::vector<std::string> allPages();

/// Lines of \p Text between the heading \p Title and the next one of at least
/// its level.
std::string sectionOf(const std::string &Text, const std::string &Title);

/// Rows of the tables in \p Text, without headers and rulers.
std::set<std::string> tableRows(const std::string &Text);

/// Lines of code blocks and spans of inline code in \p Text, trimmed.
std::vector<std::string> codeFragments(const std::string &Text);

/// Every match of the regular expression \p Pattern in \p Text.
std::vector<std::string> matches(const std::string &Text,
                                 const std::string &Pattern);

} // namespace apricotwing

#endif
