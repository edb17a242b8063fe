#ifndef BERGAMOTSTAGE_STANDIN_SITE_MODELGROUP_H
#define BERGAMOTSTAGE_STANDIN_SITE_MODELGROUP_H

#include "bergamotstage/pooling/LinkMessage.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bergamotstage::standin {

/// @brief Models a group of targets with asynchronous replication.
///
/// It has the logs, the sessions of links and their transactions, but no time
/// and no network. A hook receives each executed statement with its session.
class ModelGroup {
public:
  /// Identifies one link, regardless of the VM that opened it.
  using LinkKey = std::uint64_t;

  /// @brief State of a session at a target.
  struct LinkSession {
    TargetId Target;
    AccountId Account;
    pooling::SessionValues Values;
    std::map<std::string, pooling::PreparedQuery> Prepared;
    pooling::SessionState State = pooling::SessionState::Idle;
    bool ReadOnly = false;
    std::uint64_t Transaction = 0; ///< Id; 0 if none is open.
    std::vector<std::string> Writes;
    std::size_t Snapshot = 0; ///< Commits visible to the transaction.
  };
  /// @brief A caller's statement that a target has executed.
  struct Execution {
    TargetId Target;
    LinkKey Link = 0;
    const LinkSession *Session = nullptr;
    pooling::Statement Stmt;
    pooling::PreparedQuery Prepared;          ///< Set for Execute.
    std::size_t Visible = 0;                  ///< Commits visible to a read.
    bool Committed = false;                   ///< Its writes are in the log.
    std::vector<std::string> CommittedWrites; ///< Request ids.
  };
  using ExecutionHook = std::function<void(const Execution &)>;
  /// @brief One committed transaction, with the request ids of its writes.
  struct Commit {
    Term AtTerm;
    std::vector<std::string> Writes;
  };

  ModelGroup(DatabaseId Id, const std::vector<TargetId> &Targets);

  void onExecution(ExecutionHook Hook) { m_OnExecution = std::move(Hook); }

  void openLink(const TargetId &Target, LinkKey Link, const AccountId &Account);
  void closeLink(LinkKey Link) { m_Links.erase(Link); }
  pooling::SessionState linkState(LinkKey Link) const {
    return m_Links.at(Link).State;
  }
  void closeLinksTo(const TargetId &Target);
  bool hasLink(LinkKey Link) const { return m_Links.count(Link) > 0; }

  /// @brief Executes a request, also if its reply is lost afterwards.
  pooling::LinkReply run(LinkKey Link, const pooling::LinkRequest &Request);

  /// @brief Replicates the primary's log up to a length and applies it.
  void apply(const TargetId &Target, std::size_t Commits);
  /// @brief Makes a target the primary of the next term, with its own log.
  void promote(const TargetId &Target);
  /// @brief Restarts a target, with its log, as replica unless it is primary.
  void rejoin(const TargetId &Target);

  const DatabaseId &id() const { return m_Id; }
  const TargetId &primary() const { return m_Primary; }
  Term term() const { return m_Term; }
  bool believesItIsPrimary(const TargetId &Target) const;
  std::size_t applied(const TargetId &Target) const;
  const std::vector<Commit> &log() const { return m_Log.at(m_Primary); }
  const std::vector<Commit> &log(const TargetId &Target) const {
    return m_Log.at(Target);
  }
  /// @brief Whether a write is in the current primary's log.
  bool isCommitted(const std::string &RequestId) const;
  std::vector<TargetId> targets() const;

private:
  struct ModelTarget {
    bool IsPrimary = false;
    Term AtTerm;
    std::size_t Applied = 0; ///< Commits visible to reads.
    bool Paused = false;
  };

  pooling::LinkReply runCaller(LinkKey Link, LinkSession &Session,
                               const pooling::LinkRequest &Request);
  pooling::LinkReply begin(LinkSession &Session,
                           const pooling::LinkRequest &Request);
  pooling::LinkReply error(const LinkSession &Session, pooling::ErrorCode Code);
  pooling::LinkReply makeReply(const LinkSession &Session,
                               const std::string &Signature);
  bool hasApplied(const TargetId &Target, const HistoryPoint &Point) const;
  HistoryPoint appliedPosition(const TargetId &Target) const;
  void commit(const TargetId &Target, const std::vector<std::string> &Writes);

  DatabaseId m_Id;
  std::map<TargetId, ModelTarget> m_Targets;
  std::map<TargetId, std::vector<Commit>> m_Log; ///< Per target.
  std::map<LinkKey, LinkSession> m_Links;
  std::map<std::uint64_t, std::size_t> m_TermStart; ///< Log length by term.
  TargetId m_Primary;
  Term m_Term{1};
  std::uint64_t m_LastTransaction = 0;
  ExecutionHook m_OnExecution;
};

} // namespace bergamotstage::standin

#endif // BERGAMOTSTAGE_STANDIN_SITE_MODELGROUP_H
