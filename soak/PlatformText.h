#ifndef BERGAMOTSTAGE_SOAK_PLATFORMTEXT_H
#define BERGAMOTSTAGE_SOAK_PLATFORMTEXT_H

#include "bergamotstage/pooling/Session.h"
#include "bergamotstage/pooling/SiteConfig.h"

#include <string>

namespace bergamotstage::soak {

/// @brief Renders a configuration as the JSON document of the platform.
std::string configDocument(const pooling::SiteConfig &Config);

/// @brief Renders the line by which a caller sends a statement.
std::string statementLine(const pooling::Statement &Stmt);

} // namespace bergamotstage::soak

#endif // BERGAMOTSTAGE_SOAK_PLATFORMTEXT_H
