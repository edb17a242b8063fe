#ifndef BERGAMOTSTAGE_TEST_CONFIGCHECKFILES_H
#define BERGAMOTSTAGE_TEST_CONFIGCHECKFILES_H

#include <cstddef>
#include <string>

namespace bergamotstage::checktest {

/// Keys that no output may contain, also in part.
constexpr const char *FirstKey = "qV7xK2mRt9Lw4ZpB";
constexpr const char *SecondKey = "Hd3JyN8sCf6GuXe1";
constexpr const char *ThirdKey = "aT5oP0vMb2WkS9rE";

/// @brief A configuration without faults.
inline std::string validConfig() {
  return std::string(R"({"version": 7, "routes": [
 {"name": "r-1", "database": "ledger", "prefix": "/", "type": "bounded",
  "timeout_ms": 2000, "target_latency_ms": 500, "priority": 2,
  "service": "books", "max_staleness_ms": 1500, "public": false},
 {"name": "r-2", "database": "catalog", "type": "primary", "timeout_ms": 800,
  "target_latency_ms": 150, "service": "books", "public": true}],
 "services": [{"name": "books", "max_connections": 23, "sync_replicas": 1}],
 "limits": {"tx_idle_ms": 2500},
 "tenants": [
 {"name": "north", "api_keys": [")") +
         FirstKey + "\", \"" + SecondKey + R"("], "rate_per_s": 117,
  "burst": 50},
 {"name": "south", "api_keys": [")" +
         ThirdKey + R"("], "rate_per_s": 20, "burst": 5}]})";
}

/// @brief Replaces the first occurrence of a text, which must exist.
inline std::string replaced(std::string Text, const std::string &From,
                            const std::string &To) {
  return Text.replace(Text.find(From), From.size(), To);
}

/// @brief A valid configuration of at least a number of bytes.
inline std::string largeConfig(std::size_t Bytes) {
  std::string Routes;
  std::string Accounts;
  for (unsigned I = 0; Routes.size() + Accounts.size() < Bytes; ++I) {
    std::string Number = std::to_string(I);
    Routes.append(I == 0 ? "" : ",\n")
        .append(R"({"name": "r-)")
        .append(Number)
        .append(R"(", "database": "db-)")
        .append(Number)
        .append(R"(", "type": "bounded", "max_staleness_ms": 1500,)")
        .append(R"("timeout_ms": 2000, "target_latency_ms": 500,)")
        .append(R"("priority": 1, "service": "books", "public": false})");
    Accounts.append(I == 0 ? "" : ",\n")
        .append(R"({"name": "a-)")
        .append(Number)
        .append(R"(", "api_keys": ["k-)")
        .append(Number)
        .append(R"("], "rate_per_s": 10, "burst": 5})");
  }
  return R"({"version": 7, "routes": [)" + Routes + R"(], "services": [)" +
         R"({"name": "books", "max_connections": 23}], "tenants": [)" +
         Accounts + "]}";
}

} // namespace bergamotstage::checktest

#endif // BERGAMOTSTAGE_TEST_CONFIGCHECKFILES_H
