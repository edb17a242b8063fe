#ifndef BERGAMOTSTAGE_REQUEST_CALLERSTATE_H
#define BERGAMOTSTAGE_REQUEST_CALLERSTATE_H

#include "bergamotstage/core/Ids.h"
#include "bergamotstage/core/Time.h"
#include "bergamotstage/rules/RuleBook.h"
#include "bergamotstage/session/SessionToken.h"

#include <optional>
#include <string>

namespace bergamotstage {

/// @brief What a session's transaction is in.
enum class TransactionState : std::uint8_t { None, Open, Failed };

/// @brief One caller's connection.
struct CallerState {
  CallerId Id;
  AccountId Account;
  RouteRule Route;
  std::optional<KeyRule> Key; ///< Not set on open routes.
  SessionToken Token;
  bool NamedSession = false; ///< The caller gave a session setting.
  bool TokenMissing = false; ///< Its token is absent or not valid.
  std::optional<Duration> MaxAge;
  std::string RequestId;   ///< For the next non-idempotent statement.
  bool Idempotent = false; ///< The caller says repeats are harmless.
  TransactionState Transaction = TransactionState::None;
  std::optional<LinkId> Pinned; ///< The link of an open transaction.
  std::optional<StatementId> Running;
  bool Gone = false;        ///< Closed while a statement runs.
  bool Remote = false;      ///< Connected to another VM, which forwards it.
  std::optional<VmId> Home; ///< VM that holds its forwarded transaction.
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_REQUEST_CALLERSTATE_H
