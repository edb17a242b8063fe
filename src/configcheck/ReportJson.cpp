#include "bergamotstage/configcheck/Report.h"

#include <nlohmann/json.hpp>

namespace bergamotstage::configcheck {
namespace {

using Json = nlohmann::ordered_json;

Json render(const std::vector<Finding> &Findings) {
  Json Listed = Json::array();
  for (const Finding &Found : Findings) {
    Json Item = {{"path", Found.Path}, {"reason", Found.Reason}};
    if (Found.Line > 0)
      Item["line"] = Found.Line;
    Listed.push_back(std::move(Item));
  }
  return Listed;
}

Json render(const std::vector<Change> &Changes) {
  Json Listed = Json::array();
  for (const Change &Next : Changes)
    Listed.push_back({{"kind", Next.Kind},
                      {"name", Next.Name},
                      {"path", Next.Path},
                      {"before", Next.Before},
                      {"after", Next.After},
                      {"effect", effectName(Next.Result)},
                      {"meaning", Next.Meaning}});
  return Listed;
}

} // namespace

std::string renderJson(const Report &Of, const std::string &File, bool Strict) {
  Json Root = {{"file", File},
               {"readable", Of.Readable},
               {"version", Of.Version},
               {"routes", Of.Routes},
               {"services", Of.Services},
               {"accounts", Of.Accounts},
               {"keys", Of.Keys},
               {"error_count", Of.Findings.errorCount()},
               {"warning_count", Of.Findings.warningCount()},
               {"errors", render(Of.Findings.errors())},
               {"warnings", render(Of.Findings.warnings())}};
  if (Of.InForce) {
    Root["in_force_version"] = *Of.InForce;
    Root["changes"] = render(Of.Changes);
  }
  Root["exit_code"] = exitCode(Of, Strict);
  // The name of the file may have bytes that are not UTF-8.
  constexpr int Indent = 2;
  return Root.dump(Indent, ' ', false, Json::error_handler_t::replace) + "\n";
}

} // namespace bergamotstage::configcheck
