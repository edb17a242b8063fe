#include "standin/site/ModelConfig.h"

#include "bergamotstage/core/Parse.h"

#include <algorithm>
#include <vector>

namespace bergamotstage::standin {

std::string renderConfig(const pooling::SiteConfig &Config) {
  std::vector<std::string> Databases;
  for (const auto &[Database, Route] : Config.Routes)
    Databases.push_back(Database);
  std::sort(Databases.begin(), Databases.end());
  std::string Text = std::to_string(Config.Version) + "\n";
  for (const std::string &Database : Databases) {
    const pooling::RouteConfig &Route = Config.Routes.at(Database);
    Text += "{\"name\":\"" + Route.Name.value() + "\",\"database\":\"" +
            Database + "\",\"service\":\"" + Route.Group.value() +
            "\",\"prefix\":\"/\",\"type\":\"read_your_writes\","
            "\"timeout_ms\":800,\"latency_goal_ms\":250,\"priority\":2,"
            "\"max_attempts\":2,\"max_age_ms\":2500,\"public\":false}\n";
  }
  return Text;
}

std::uint64_t configVersionOf(std::string_view Text) {
  return parseCount(Text.substr(0, Text.find('\n'))).value_or(0);
}

} // namespace bergamotstage::standin
