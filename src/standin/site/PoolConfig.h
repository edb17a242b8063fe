#ifndef BERGAMOTSTAGE_STANDIN_SITE_POOLCONFIG_H
#define BERGAMOTSTAGE_STANDIN_SITE_POOLCONFIG_H

#include "bergamotstage/pooling/SiteConfig.h"

#include <string>
#include <utility>

namespace bergamotstage::standin {

/// @brief Returns a configuration with the routes "primary-N", "bounded-N" and
/// "own-N" for each group N, and the key "key-M" for each account M.
inline pooling::SiteConfig poolConfig(unsigned Groups, unsigned Accounts,
                                      double Rate) {
  pooling::SiteConfig Config;
  Config.Version = 1;
  for (unsigned Index = 0; Index < Groups; ++Index) {
    std::string Number = std::to_string(Index);
    DatabaseId Group("group-" + Number);
    Config.Groups[Group] = {Group, 23, 0};
    const std::pair<const char *, pooling::Consistency> Kinds[] = {
        {"primary-", pooling::Consistency::Primary},
        {"bounded-", pooling::Consistency::Bounded},
        {"own-", pooling::Consistency::ReadYourWrites}};
    for (const auto &[Name, Kind] : Kinds) {
      pooling::RouteConfig Route;
      Route.Name = RouteId(Name + Number);
      Route.Group = Group;
      Route.Reads = Kind;
      Route.MaxStaleness = milliseconds(1500);
      Route.StatementTimeout = milliseconds(800);
      Route.LatencyTarget = milliseconds(250);
      Config.Routes[Name + Number] = Route;
    }
  }
  for (unsigned Index = 0; Index < Accounts; ++Index) {
    AccountId Id("account-" + std::to_string(Index));
    Config.Accounts[Id] = {Id, Rate, Rate};
    Config.Keys["key-" + std::to_string(Index)] = Id;
  }
  return Config;
}

} // namespace bergamotstage::standin

#endif // BERGAMOTSTAGE_STANDIN_SITE_POOLCONFIG_H
