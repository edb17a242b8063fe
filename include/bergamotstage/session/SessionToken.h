#ifndef BERGAMOTSTAGE_SESSION_SESSIONTOKEN_H
#define BERGAMOTSTAGE_SESSION_SESSIONTOKEN_H

#include "bergamotstage/core/HistoryPoint.h"
#include "bergamotstage/core/Ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace bergamotstage {

/// @brief The point that reads of a session must cover, for each database that
/// it has written to.
struct SessionToken {
  std::uint64_t SessionId = 0; ///< Unchanged on another VM.
  bool Complete = true;        ///< False: there may be writes without a point.
  std::map<DatabaseId, HistoryPoint> Points;
  std::set<DatabaseId> UncertainDatabases; ///< A write may have taken effect at
                                           ///< an unknown point.
  std::map<DatabaseId, TargetId> CoveringReplicas; ///< A replica that covers
                                                   ///< the point.

  /// @brief Raises the point of a database; a lower point is ignored.
  void raise(const DatabaseId &Database, const HistoryPoint &Point);

  /// @brief Raises the point and records a replica that covers it.
  void raise(const DatabaseId &Database, const HistoryPoint &Point,
             const TargetId &Replica);

  /// @brief Records that a write of unknown outcome may have taken effect.
  void markUncertain(const DatabaseId &Database);

  /// @brief Records the point of a read from a verified primary, which covers
  /// all earlier writes of the session that took effect.
  void clearUncertain(const DatabaseId &Database, const HistoryPoint &Point);

  /// @brief Whether Points covers all writes of the session to a database.
  bool coversAllWrites(const DatabaseId &Database) const;

  /// @brief The point that a read must cover; zero if there is none.
  HistoryPoint requiredPoint(const DatabaseId &Database) const;
};

/// @brief Encodes a token as text that is authenticated for one client account.
/// @param Secret key shared by all VMs, at least 16 bytes
std::string encodeToken(const SessionToken &Token, const AccountId &Account,
                        std::string_view Secret);

/// @brief Decodes and authenticates a token.
/// @return the token, or nothing if the text is malformed or was encoded with
/// another secret or for another client account
std::optional<SessionToken> decodeToken(std::string_view Text,
                                        const AccountId &Account,
                                        std::string_view Secret);

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_SESSION_SESSIONTOKEN_H
