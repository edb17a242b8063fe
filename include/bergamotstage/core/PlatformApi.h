#ifndef BERGAMOTSTAGE_CORE_PLATFORMAPI_H
#define BERGAMOTSTAGE_CORE_PLATFORMAPI_H

#include "bergamotstage/core/HistoryPoint.h"
#include "bergamotstage/core/Ids.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bergamotstage {

/// @brief One row of the platform's table service.
struct TableRow {
  std::string Key;
  std::string Value;
  std::uint64_t Version = 0; ///< 0 where the row does not exist.
};

/// @brief Reads the rows whose keys start with a prefix.
struct ReadRows {
  std::string Prefix;
};

/// @brief Changes rows if every compared row has the expected version.
struct ConditionalWrite {
  /// @brief A row that must have the given version; 0 if it must not exist.
  struct Condition {
    std::string Key;
    std::uint64_t Version = 0;
  };
  /// @brief A row to store, or to delete if it has no value.
  struct Change {
    std::string Key;
    std::optional<std::string> Value;
  };
  std::string WriteId; ///< Key for ReadWriteOutcome.
  std::vector<Condition> Conditions;
  std::vector<Change> Changes;
};

/// @brief Reads the outcome of a conditional write whose answer was lost.
struct ReadWriteOutcome {
  std::string WriteId;
};

/// @brief Stores an immutable object.
struct PutObject {
  std::string Name;
  std::string Body;
};

/// @brief Reads an object.
struct GetObject {
  std::string Name;
};

/// @brief Lists the running and the leaving VMs; the list may lag behind.
struct ListVms {};

/// @brief Reads terms, primaries and positions of all database groups.
struct ReadGroups {};

/// @brief Promotes a target to the primary of its group in a new term.
struct Promote {
  DatabaseId Database;
  TargetId Candidate;
  Term NewTerm;
  std::string OrderId; ///< Retries with the same id are idempotent.
  /// Increases with every new lease holder, so that the platform rejects orders
  /// of an earlier one; 0 where the platform does not check it.
  std::uint64_t FencingToken = 0;
};

/// @brief A call to the platform.
using PlatformRequest =
    std::variant<ReadRows, ConditionalWrite, ReadWriteOutcome, PutObject,
                 GetObject, ListVms, ReadGroups, Promote>;

/// @brief A call that failed or timed out.
struct PlatformFailed {
  bool MayHaveTakenEffect = false;
  std::string Reason;
};

/// @brief Answer to ReadRows.
struct RowsRead {
  std::vector<TableRow> Rows;
};

/// @brief Answer to ConditionalWrite and ReadWriteOutcome.
struct WriteDecided {
  bool Known = true; ///< False: no write with this id is recorded.
  bool Applied = false;
};

/// @brief Answer to PutObject.
struct ObjectStored {};

/// @brief Answer to GetObject.
struct ObjectRead {
  bool Found = false;
  std::string Body;
};

/// @brief One VM in the platform's list, which may lag behind.
struct ListedVm {
  VmId Vm;
  DataCentreId DataCentre;
  std::string PeerAddress; ///< IP address and port.
  bool Leaving = false;
};

/// @brief Answer to ListVms.
struct VmsListed {
  std::vector<ListedVm> Vms;
};

/// @brief One target as the platform reports it.
struct ListedTarget {
  TargetId Target;
  HistoryPoint Replayed;
  bool Leaving = false;
};

/// @brief One database group as the platform reports it.
struct ListedGroup {
  DatabaseId Database;
  Term CurrentTerm;
  TargetId Primary;
  std::vector<ListedTarget> Targets;
};

/// @brief Answer to ReadGroups.
struct GroupsRead {
  std::vector<ListedGroup> Groups;
};

/// @brief Answer to Promote.
struct PromotionDecided {
  bool Applied = false;
  Term CurrentTerm;
  std::string Reason;
};

/// @brief Answer to a call to the platform.
using PlatformAnswer =
    std::variant<PlatformFailed, RowsRead, WriteDecided, ObjectStored,
                 ObjectRead, VmsListed, GroupsRead, PromotionDecided>;

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_CORE_PLATFORMAPI_H
