/// \file
/// Stand-in for the platform's table service and object store.
#ifndef APRICOTWING_STANDINS_TABLESTANDIN_H
#define APRICOTWING_STANDINS_TABLESTANDIN_H

#include "core/tableservice.h"
#include "standins/counts.h"
#include "standins/standinserver.h"

#include <map>
#include <string>

namespace apricotwing::standins {

/// Keeps the rows in memory. It does not detect a repeated transaction by its
/// ID: the repetition conflicts with the row versions that the first one wrote.
class TableStandin final : public StandinServer {
public:
  TableStandin(TimerQueue &Timers, Counts &Counters)
      : StandinServer(Timers), Counters(Counters) {}

protected:
  void handle(const HttpRequest &Request, const Responder &Reply) override;

private:
  HttpResponse transact(const std::string &Body);
  HttpResponse read(const std::string &Body) const;
  HttpResponse scan(const std::string &Body) const;

  Counts &Counters;
  std::map<std::string, Row> Rows;
  RowVersion Revision = 0;
};

/// Keeps the objects in memory by their path.
class ObjectStandin final : public StandinServer {
public:
  using StandinServer::StandinServer;

protected:
  void handle(const HttpRequest &Request, const Responder &Reply) override;

private:
  std::map<std::string, std::string> Objects;
};

} // namespace apricotwing::standins

#endif
