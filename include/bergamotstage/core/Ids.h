#ifndef BERGAMOTSTAGE_CORE_IDS_H
#define BERGAMOTSTAGE_CORE_IDS_H

#include "bergamotstage/core/Strong.h"

#include <cstdint>
#include <string>

namespace bergamotstage {

/// @brief Name of a VM that runs one instance of this program.
using VmId = Strong<struct VmIdTag, std::string>;
/// @brief Name of a data centre.
using DataCentreId = Strong<struct DataCentreIdTag, std::string>;
/// @brief Name of a region, which has one or more data centres.
using RegionId = Strong<struct RegionIdTag, std::string>;
/// @brief Name of a client account.
using AccountId = Strong<struct AccountIdTag, std::string>;
/// @brief Name of a target: one instance of a database group.
using TargetId = Strong<struct TargetIdTag, std::string>;
/// @brief Name of a database, which is a group of targets.
using DatabaseId = Strong<struct DatabaseIdTag, std::string>;
/// @brief Name of a route, which callers give as the database to connect to.
using RouteId = Strong<struct RouteIdTag, std::string>;
/// @brief Name of one arm of an A/B comparison of policies.
using ArmId = Strong<struct ArmIdTag, std::string>;

/// @brief Number of a caller's connection on this VM, never reused.
using CallerId = Strong<struct CallerIdTag, std::uint64_t>;
/// @brief Number of a statement on this VM, never reused.
using StatementId = Strong<struct StatementIdTag, std::uint64_t>;
/// @brief Number of a link, a connection to a target; never reused.
using LinkId = Strong<struct LinkIdTag, std::uint64_t>;
/// @brief Number of a call to the platform, never reused.
using CallId = Strong<struct CallIdTag, std::uint64_t>;
/// @brief Number of an operator's request on this VM, never reused.
using OperatorCallId = Strong<struct OperatorCallIdTag, std::uint64_t>;
/// @brief Number of a VM's process; it grows with each start.
using Incarnation = Strong<struct IncarnationTag, std::uint64_t>;

/// @brief Term of a database group. Each promotion starts a higher one.
using Term = Strong<struct TermTag, std::uint64_t>;
/// @brief Position in the log of one term, in bytes or entries.
using LogPosition = Strong<struct LogPositionTag, std::uint64_t>;
/// @brief Number of an accepted version of the rules; it only grows.
using Revision = Strong<struct RevisionTag, std::uint64_t>;

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_CORE_IDS_H
