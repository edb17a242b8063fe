#include "PlatformText.h"

#include <nlohmann/json.hpp>

namespace bergamotstage::soak {
namespace {

using Json = nlohmann::json;
using pooling::Statement;
using pooling::Verb;

const char *routeTypeName(pooling::Consistency Reads) {
  switch (Reads) {
  case pooling::Consistency::Primary:
    return "primary";
  case pooling::Consistency::Bounded:
    return "bounded";
  case pooling::Consistency::ReadYourWrites:
    break;
  }
  return "read_your_writes";
}

double inMilliseconds(Duration Span) { return toMilliseconds(Span); }

} // namespace

std::string configDocument(const pooling::SiteConfig &Config) {
  Json Root = {{"version", Config.Version},
               {"routes", Json::array()},
               {"services", Json::array()},
               {"tenants", Json::array()},
               {"limits", {{"tx_idle_ms", 3000}}}};
  for (const auto &[Database, Route] : Config.Routes)
    Root["routes"].push_back(
        {{"name", Route.Name.value()},
         {"database", Database},
         {"type", routeTypeName(Route.Reads)},
         {"timeout_ms", inMilliseconds(Route.StatementTimeout)},
         {"target_latency_ms", inMilliseconds(Route.LatencyTarget)},
         {"priority", Route.Priority},
         {"service", Route.Group.value()},
         {"max_staleness_ms", inMilliseconds(Route.MaxStaleness)},
         {"public", false}});
  for (const auto &[Id, Group] : Config.Groups)
    Root["services"].push_back({{"name", Id.value()},
                                {"max_connections", Group.MaxLinks},
                                {"sync_replicas", 0}});
  for (const auto &[Id, Account] : Config.Accounts) {
    Json Keys = Json::array();
    for (const auto &[Key, Holder] : Config.Keys)
      if (Holder == Id)
        Keys.push_back(Key);
    Root["tenants"].push_back({{"name", Id.value()},
                               {"api_keys", Keys},
                               {"rate_per_s", Account.Rate},
                               {"burst", Account.Burst}});
  }
  return Root.dump();
}

std::string statementLine(const Statement &Stmt) {
  std::string Line = "QUERY " + Stmt.RequestId + " ";
  switch (Stmt.Kind) {
  case Verb::SetValue:
    return Line + "SET " + Stmt.Name + " " + Stmt.Value + "\r\n";
  case Verb::Prepare:
    return Line + "PREPARE " + Stmt.Name +
           (Stmt.Prepared.Writes ? " WRITE " : " READ ") + Stmt.Prepared.Text +
           "\r\n";
  case Verb::Execute:
    return Line + "EXECUTE " + Stmt.Name + " " + Stmt.Arguments + "\r\n";
  default:
    return Line + Stmt.Text + "\r\n";
  }
}

} // namespace bergamotstage::soak
