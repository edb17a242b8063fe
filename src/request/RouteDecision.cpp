#include "bergamotstage/request/RouteDecision.h"

namespace bergamotstage {

std::string describeDecision(const RouteDecision &Decision) {
  if (Decision.Target.value().empty())
    return {};
  std::string Line = "target=" + Decision.Target.value();
  Line += " home=" + Decision.Home.value();
  Line += " policy=" + Decision.Policy;
  Line += " reason=\"" + Decision.Reason + "\"";
  if (Decision.Source.Line == 0)
    return Line + " rule=default";
  Line += " rule=" + std::to_string(Decision.Source.Line);
  return Line + " asked_by=\"" + Decision.Source.Author + "\"";
}

} // namespace bergamotstage
