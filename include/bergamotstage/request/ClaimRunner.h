#ifndef BERGAMOTSTAGE_REQUEST_CLAIMRUNNER_H
#define BERGAMOTSTAGE_REQUEST_CLAIMRUNNER_H

#include "bergamotstage/node/NodeContext.h"
#include "bergamotstage/request/CallerTable.h"
#include "bergamotstage/target/LinkPool.h"

#include <functional>
#include <optional>
#include <string>

namespace bergamotstage {

/// @brief Name of the table of claims in each database, with the columns `key
/// text primary key, value text, created timestamptz default now()`.
constexpr const char *ClaimTable = "bergamotstage_claims";

/// @brief Key of a request's claim: a digest of fixed length that does not
/// reveal the request id or the client account.
std::string claimKey(const AccountId &Account, const std::string &RequestId);

/// @brief Digest of the text and the values of a statement.
std::string requestFingerprint(const StatementBody &Body);

/// @brief Result of a write with a request id.
struct ClaimResult {
  enum class Kind : std::uint8_t {
    Committed, ///< It ran; its commit is not confirmed yet.
    Replayed,  ///< It ran earlier; its commit is not confirmed yet.
    Superseded ///< The target is no longer primary; nothing ran.
  };
  Kind Outcome = Kind::Committed;
  LinkAnswered Answer;                ///< Tag, chunks and position to confirm.
  std::optional<Refusal> ReplayError; ///< Sent after confirmation if the first
                                      ///< answer was not stored.
};

/// @brief Runs non-idempotent requests at most once.
///
/// A request is a write or a transaction with a request id. Its claim is a row
/// that is inserted in the same transaction, so that both are committed or
/// neither is, regardless of the VM and of promotions. The unique key on the
/// primary rejects concurrent duplicates.
class ClaimRunner {
public:
  using ResultCallback = std::function<void(const ClaimResult &)>;

  ClaimRunner(NodeContext &Context, LinkPool &Links, CallerTable &Callers)
      : m_Context(Context), m_Links(Links), m_Callers(Callers) {}

  /// @brief Runs an autocommit write and its claim in one transaction.
  ///
  /// Results that need a confirmation or a retry are passed to OnResult after
  /// the link was released. All others are answered here.
  void run(const CallerStatementId &Id, LinkId Link, ResultCallback OnResult);

  /// @brief Claims a request inside the caller's transaction. OnClaimed is
  /// called for a new request; for a duplicate, the transaction fails and
  /// OnResult is called.
  void claimInTransaction(const CallerStatementId &Id, LinkId Link,
                          std::function<void()> OnClaimed,
                          ResultCallback OnResult);

private:
  using AnswerCallback =
      std::function<void(CallerState &, const LinkAnswered &)>;

  void query(const CallerStatementId &Id, LinkId Link, const std::string &Text,
             const AnswerCallback &OnAnswer);
  void insertClaim(const CallerStatementId &Id, LinkId Link,
                   const AnswerCallback &OnAnswer);
  void runStatement(const CallerStatementId &Id, LinkId Link,
                    const ResultCallback &OnResult);
  void storeTag(const CallerStatementId &Id, LinkId Link,
                const LinkAnswered &RunAnswer, const ResultCallback &OnResult);
  void commit(const CallerStatementId &Id, LinkId Link,
              const LinkAnswered &RunAnswer, const ResultCallback &OnResult);
  void rollBack(const CallerStatementId &Id, LinkId Link, const Refusal &Reason,
                std::uint64_t Chunks);
  void readClaim(const CallerStatementId &Id, LinkId Link,
                 const AnswerCallback &OnAnswer);
  void replayResult(const CallerStatementId &Id, LinkId Link,
                    const ResultCallback &OnResult, const LinkAnswered &Claim);
  void failTransaction(const CallerStatementId &Id, LinkId Link,
                       const ResultCallback &OnResult,
                       const LinkAnswered &Claim);
  void onClaimTimeout(const CallerStatementId &Id);
  void onLinkLost(const CallerStatementId &Id, const LinkLost &Failure);

  NodeContext &m_Context;
  LinkPool &m_Links;
  CallerTable &m_Callers;
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_REQUEST_CLAIMRUNNER_H
