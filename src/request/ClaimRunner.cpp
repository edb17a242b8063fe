#include "bergamotstage/request/ClaimRunner.h"

#include "bergamotstage/core/Digest.h"
#include "bergamotstage/core/Invariant.h"
#include "bergamotstage/core/Parse.h"
#include "bergamotstage/request/Refusals.h"

#include <optional>
#include <utility>

namespace bergamotstage {
namespace {

constexpr Duration ClaimTimeout = seconds(1);
constexpr std::size_t FingerprintBytes = 16;
const char *const InsertedTag = "INSERT 0 1";
const char *const RollbackTag = "ROLLBACK";
/// @brief Stored tag of a claim made in a caller's explicit transaction.
const char *const TransactionTag = "TRANSACTION";
/// @brief Stored tag of a claim whose answer had rows, which are not stored.
const char *const RowsTag = "ROWS";

std::string quoteLiteral(const std::string &Text) {
  std::string Quoted = "'";
  for (char Character : Text) {
    if (Character == '\'')
      Quoted += '\'';
    Quoted += Character;
  }
  return Quoted + "'";
}

std::string quotedClaimKey(const CallerState &Caller) {
  return quoteLiteral(claimKey(Caller.Account, Caller.RequestId));
}

std::string insertClaimSql(const CallerState &Caller, const std::string &Tag) {
  std::string Value = requestFingerprint(*Caller.Running->Body) + " " + Tag;
  return std::string("INSERT INTO ") + ClaimTable + " VALUES (" +
         quotedClaimKey(Caller) + ", " + quoteLiteral(Value) +
         ") ON CONFLICT DO NOTHING";
}

/// @brief The tag of a stored claim, or nothing if the claim has the
/// fingerprint of another request.
std::optional<std::string> parseStoredTag(const CallerState &Caller,
                                          const std::string &Value) {
  std::string Prefix = requestFingerprint(*Caller.Running->Body) + " ";
  if (Value.compare(0, Prefix.size(), Prefix) != 0)
    return std::nullopt;
  return Value.substr(Prefix.size());
}

Refusal makeMismatchRefusal() {
  return makeRefusal(sqlstate::RequestMismatch, RunState::NotRun,
                     "the request id was used for another request");
}

Refusal makeCompletedRefusal(const char *Detail) {
  return makeRefusal(sqlstate::DuplicateRequest, RunState::Completed,
                     std::string("the request has already been completed") +
                         Detail);
}

} // namespace

std::string claimKey(const AccountId &Account, const std::string &RequestId) {
  return toHex(sha256(Account.value() + '\0' + RequestId));
}

std::string requestFingerprint(const StatementBody &Body) {
  std::string Input = Body.Text;
  for (const std::optional<std::string> &Value : Body.Values) {
    Input += '\0';
    Input += Value ? std::to_string(Value->size()) + ":" + *Value : "null";
  }
  return toHex(sha256(Input).substr(0, FingerprintBytes));
}

void ClaimRunner::query(const CallerStatementId &Id, LinkId Link,
                        const std::string &Text,
                        const AnswerCallback &OnAnswer) {
  m_Links.runInternal(
      Link, Text, [this, Id, Link, OnAnswer](const LinkPool::Answer &Answer) {
        CallerState *Caller = m_Callers.findRunning(Id);
        if (Caller == nullptr)
          return m_Links.release(Link, false);
        if (!Answer)
          return onLinkLost(Id, Answer.error());
        OnAnswer(*Caller, *Answer);
      });
}

void ClaimRunner::onLinkLost(const CallerStatementId &Id,
                             const LinkLost &Failure) {
  CallerState *Caller = m_Callers.findRunning(Id);
  Refusal Reason = m_Callers.recordLinkLoss(
      *Caller, "the connection to the target was lost: " + Failure.Reason);
  m_Callers.refuse(Id, std::move(Reason), Failure.Chunks);
}

void ClaimRunner::run(const CallerStatementId &Id, LinkId Link,
                      ResultCallback OnResult) {
  query(Id, Link, "BEGIN",
        [this, Id, Link, OnResult = std::move(OnResult)](CallerState &,
                                                         const LinkAnswered &) {
          insertClaim(
              Id, Link,
              [this, Id, Link, OnResult](CallerState &Caller,
                                         const LinkAnswered &Answer) {
                if (Answer.ErrorSqlState == sqlstate::ReadOnlyTransaction) {
                  Caller.Running->Link.reset();
                  m_Links.release(Link, false);
                  return OnResult({ClaimResult::Kind::Superseded, Answer, {}});
                }
                if (!Answer.ErrorSqlState.empty())
                  return rollBack(
                      Id, Link,
                      makeRefusal(Answer.ErrorSqlState.c_str(),
                                  RunState::NotRun,
                                  "the request could not be claimed: " +
                                      Answer.ErrorMessage),
                      0);
                if (Answer.Tag == InsertedTag)
                  return runStatement(Id, Link, OnResult);
                readClaim(Id, Link,
                          [this, Id, Link,
                           OnResult](CallerState &, const LinkAnswered &Claim) {
                            replayResult(Id, Link, OnResult, Claim);
                          });
              });
        });
}

void ClaimRunner::insertClaim(const CallerStatementId &Id, LinkId Link,
                              const AnswerCallback &OnAnswer) {
  CallerState *Caller = m_Callers.findRunning(Id);
  bool ExplicitTransaction = Caller->Transaction != TransactionState::None;
  std::string Text =
      insertClaimSql(*Caller, ExplicitTransaction ? TransactionTag : "");
  TimerId Timer = m_Context.timers().schedule(
      m_Context.now() + ClaimTimeout, [this, Id] { onClaimTimeout(Id); });
  query(Id, Link, Text,
        [this, Timer, OnAnswer](CallerState &RunningCaller,
                                const LinkAnswered &Answer) {
          m_Context.timers().cancel(Timer);
          OnAnswer(RunningCaller, Answer);
        });
}

void ClaimRunner::onClaimTimeout(const CallerStatementId &Id) {
  CallerState *Caller = m_Callers.findRunning(Id);
  if (Caller == nullptr || Caller->Running->Sent)
    return;
  m_Callers.abortStatement(*Caller, "");
  m_Callers.refuse(
      Id, makeRetryableRefusal(sqlstate::DuplicateRequest,
                               "the same request is already running; the retry "
                               "was not run",
                               ClaimTimeout));
}

void ClaimRunner::runStatement(const CallerStatementId &Id, LinkId Link,
                               const ResultCallback &OnResult) {
  CallerState *Caller = m_Callers.findRunning(Id);
  BERGAMOTSTAGE_INVARIANT(!Caller->Running->Sent,
                          "a non-idempotent request runs at most once");
  Caller->Running->Sent = true;
  m_Links.run(Link, Id.Caller, Id.Statement, Caller->Running->Body,
              [this, Id, Link, OnResult](const LinkPool::Answer &Answer) {
                if (m_Callers.findRunning(Id) == nullptr)
                  return m_Links.release(Link, false);
                if (!Answer)
                  return onLinkLost(Id, Answer.error());
                if (!Answer->ErrorSqlState.empty())
                  return rollBack(Id, Link,
                                  makeRefusal(Answer->ErrorSqlState.c_str(),
                                              RunState::Failed,
                                              Answer->ErrorMessage),
                                  Answer->Chunks);
                storeTag(Id, Link, *Answer, OnResult);
              });
}

void ClaimRunner::storeTag(const CallerStatementId &Id, LinkId Link,
                           const LinkAnswered &RunAnswer,
                           const ResultCallback &OnResult) {
  const CallerState *Caller = m_Callers.findRunning(Id);
  std::string Tag = RunAnswer.Chunks > 0 ? RowsTag : RunAnswer.Tag;
  std::string Value = requestFingerprint(*Caller->Running->Body) + " " + Tag;
  std::string Text = std::string("UPDATE ") + ClaimTable +
                     " SET value = " + quoteLiteral(Value) +
                     " WHERE key = " + quotedClaimKey(*Caller);
  query(Id, Link, Text,
        [this, Id, Link, RunAnswer, OnResult](CallerState &,
                                              const LinkAnswered &Stored) {
          if (!Stored.ErrorSqlState.empty())
            return rollBack(Id, Link,
                            makeRefusal(Stored.ErrorSqlState.c_str(),
                                        RunState::Failed,
                                        "the claim could not be stored: " +
                                            Stored.ErrorMessage),
                            RunAnswer.Chunks);
          commit(Id, Link, RunAnswer, OnResult);
        });
}

void ClaimRunner::commit(const CallerStatementId &Id, LinkId Link,
                         const LinkAnswered &RunAnswer,
                         const ResultCallback &OnResult) {
  m_Callers.findRunning(Id)->Running->MayTakeEffect = true;
  query(Id, Link, "COMMIT",
        [this, Id, Link, RunAnswer,
         OnResult](CallerState &Caller, const LinkAnswered &CommitAnswer) {
          bool Committed = CommitAnswer.ErrorSqlState.empty() &&
                           CommitAnswer.Tag != RollbackTag;
          if (!Committed) {
            Caller.Running->MayTakeEffect = false;
            return rollBack(
                Id, Link,
                makeRefusal(CommitAnswer.ErrorSqlState.empty()
                                ? sqlstate::InFailedTransaction
                                : CommitAnswer.ErrorSqlState.c_str(),
                            RunState::Failed,
                            "the commit failed: " + CommitAnswer.ErrorMessage),
                RunAnswer.Chunks);
          }
          Caller.Running->Link.reset();
          m_Links.release(Link, true);
          ClaimResult Result{ClaimResult::Kind::Committed, CommitAnswer, {}};
          Result.Answer.Tag = RunAnswer.Tag;
          Result.Answer.Chunks = RunAnswer.Chunks;
          OnResult(Result);
        });
}

void ClaimRunner::rollBack(const CallerStatementId &Id, LinkId Link,
                           const Refusal &Reason, std::uint64_t Chunks) {
  m_Callers.findRunning(Id)->Running->Link.reset();
  m_Callers.refuse(Id, Reason, Chunks);
  m_Links.runInternal(Link, "ROLLBACK",
                      [this, Link](const LinkPool::Answer &Answer) {
                        if (Answer)
                          m_Links.release(Link, Answer->ErrorSqlState.empty());
                      });
}

void ClaimRunner::readClaim(const CallerStatementId &Id, LinkId Link,
                            const AnswerCallback &OnAnswer) {
  const CallerState *Caller = m_Callers.findRunning(Id);
  std::string Text = std::string("SELECT value FROM ") + ClaimTable +
                     " WHERE key = " + quotedClaimKey(*Caller);
  query(Id, Link, Text, OnAnswer);
}

void ClaimRunner::replayResult(const CallerStatementId &Id, LinkId Link,
                               const ResultCallback &OnResult,
                               const LinkAnswered &Claim) {
  CallerState *Caller = m_Callers.findRunning(Id);
  if (!Claim.ErrorSqlState.empty() || Claim.Cells.empty())
    return rollBack(Id, Link,
                    makeRetryableRefusal(
                        sqlstate::DuplicateRequest,
                        "the request's claim could not be read", ClaimTimeout),
                    0);
  std::optional<std::string> Tag = parseStoredTag(*Caller, Claim.Cells.front());
  if (!Tag)
    return rollBack(Id, Link, makeMismatchRefusal(), 0);
  query(Id, Link, "ROLLBACK",
        [this, Link, OnResult, Claim, Tag](CallerState &RunningCaller,
                                           const LinkAnswered &) {
          RunningCaller.Running->Link.reset();
          m_Links.release(Link, true);
          ClaimResult Result{ClaimResult::Kind::Replayed, Claim, {}};
          Result.Answer.Chunks = 0;
          Result.Answer.Tag = *Tag;
          if (*Tag == RowsTag || *Tag == TransactionTag)
            Result.ReplayError =
                makeCompletedRefusal("; its answer and rows were not stored");
          OnResult(Result);
        });
}

void ClaimRunner::claimInTransaction(const CallerStatementId &Id, LinkId Link,
                                     std::function<void()> OnClaimed,
                                     ResultCallback OnResult) {
  insertClaim(Id, Link,
              [this, Id, Link, OnClaimed = std::move(OnClaimed),
               OnResult = std::move(OnResult)](CallerState &Caller,
                                               const LinkAnswered &Answer) {
                if (!Answer.ErrorSqlState.empty()) {
                  Caller.Transaction = TransactionState::Failed;
                  return m_Callers.refuse(
                      Id, makeRefusal(Answer.ErrorSqlState.c_str(),
                                      RunState::NotRun,
                                      "the request could not be claimed: " +
                                          Answer.ErrorMessage));
                }
                if (Answer.Tag == InsertedTag) {
                  Caller.HoldsClaim = true;
                  return OnClaimed();
                }
                readClaim(Id, Link,
                          [this, Id, Link,
                           OnResult](CallerState &, const LinkAnswered &Claim) {
                            failTransaction(Id, Link, OnResult, Claim);
                          });
              });
}

void ClaimRunner::failTransaction(const CallerStatementId &Id, LinkId Link,
                                  const ResultCallback &OnResult,
                                  const LinkAnswered &Claim) {
  CallerState *Caller = m_Callers.findRunning(Id);
  bool SameRequest = !Claim.Cells.empty() &&
                     parseStoredTag(*Caller, Claim.Cells.front()).has_value();
  Caller->PinnedLink.reset();
  Caller->Transaction = TransactionState::Failed;
  if (!SameRequest)
    return rollBack(Id, Link, makeMismatchRefusal(), 0);
  query(Id, Link, "ROLLBACK",
        [this, Link, OnResult, Claim](CallerState &RunningCaller,
                                      const LinkAnswered &) {
          RunningCaller.Running->Link.reset();
          m_Links.release(Link, true);
          OnResult(
              {ClaimResult::Kind::Replayed, Claim, makeCompletedRefusal("")});
        });
}

} // namespace bergamotstage
