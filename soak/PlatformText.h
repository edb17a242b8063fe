#ifndef BERGAMOTSTAGE_SOAK_PLATFORMTEXT_H
#define BERGAMOTSTAGE_SOAK_PLATFORMTEXT_H

#include "bergamotstage/pooling/Session.h"
#include "bergamotstage/pooling/SiteConfig.h"

#include <string>
#include <vector>

namespace bergamotstage::soak {

/// @brief Renders a configuration as the JSON document of the platform.
std::string configDocument(const pooling::SiteConfig &Config);

/// @brief Renders the line by which a caller sends a statement.
std::string statementLine(const pooling::Statement &Stmt);

/// @brief Renders the entry of a replica that is ready.
/// @param Capacity JSON text of the field
std::string targetEntry(const std::string &Service, const std::string &Address,
                        const std::string &Capacity);

/// @brief Entries of another writer that name no usable target.
std::vector<std::string> oddTargetEntries(const std::string &Service);

} // namespace bergamotstage::soak

#endif // BERGAMOTSTAGE_SOAK_PLATFORMTEXT_H
