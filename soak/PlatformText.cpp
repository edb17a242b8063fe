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

std::string targetEntry(const std::string &Service, const std::string &Address,
                        const std::string &Capacity) {
  return R"({"service": ")" + Service + R"(", "address": ")" + Address +
         R"(", "zone": "east", "version": "v1", "capacity": )" + Capacity +
         R"(, "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
         "db_role": "replica", "born": 1788967659047})";
}

std::vector<std::string> oddTargetEntries(const std::string &Service) {
  constexpr std::size_t Depth = 30000;
  const char *const Address = "10.0.0.1:80";
  std::string Opened(Depth, '[');
  std::string Closed(Depth, ']');
  std::vector<std::string> Odd = {
      "", "\x80\xff", Opened, Opened + Closed,
      targetEntry(Service, Address, Opened + "3" + Closed)};
  for (const char *Capacity : {"1e300", "1e400", "4294967296", "-3"})
    Odd.push_back(targetEntry(Service, Address, Capacity));
  for (const char *Unusable :
       {"10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536",
        "10.0.0.1:99999999999999999999", "10.0.0.1:-80", "10.0.0.1:80x",
        "10.0.0.256:80", "host:80", ":80", "0.0.0.0:80", "224.0.0.1:80"})
    Odd.push_back(targetEntry(Service, Unusable, "3"));
  return Odd;
}

} // namespace bergamotstage::soak
