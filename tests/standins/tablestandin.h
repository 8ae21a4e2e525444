/// \file
/// Stand-in for the platform's table service and object store.
#ifndef APRICOTWING_STANDINS_TABLESTANDIN_H
#define APRICOTWING_STANDINS_TABLESTANDIN_H

#include "core/tableservice.h"
#include "standins/counts.h"
#include "standins/site.h"

#include <map>
#include <string>

namespace apricotwing::standins {

/// Rows in memory. Transactions are not recognised by their id: a repeated
/// one meets the versions that the first one wrote.
class TableStandin final : public Site {
public:
  TableStandin(Timeline &Time, Counts &Seen) : Site(Time), Seen(Seen) {}

protected:
  void handle(const HttpRequest &Request, const Responder &Reply) override;

private:
  HttpResponse transact(const std::string &Body);
  HttpResponse read(const std::string &Body) const;
  HttpResponse scan(const std::string &Body) const;

  Counts &Seen;
  std::map<std::string, Row> Rows;
  RowVersion Revision = 0;
};

/// Objects in memory.
class ObjectStandin final : public Site {
public:
  using Site::Site;

protected:
  void handle(const HttpRequest &Request, const Responder &Reply) override;

private:
  std::map<std::string, std::string> Objects;
};

} // namespace apricotwing::standins

#endif
