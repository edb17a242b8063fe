#ifndef BERGAMOTSTAGE_POOLING_TARGETPOOL_H
#define BERGAMOTSTAGE_POOLING_TARGETPOOL_H

#include "bergamotstage/admission/TargetQueue.h"
#include "bergamotstage/pacing/ColdStartLimiter.h"
#include "bergamotstage/pacing/PaceController.h"
#include "bergamotstage/pooling/Context.h"
#include "bergamotstage/pooling/LinkMessage.h"
#include "bergamotstage/pooling/OperationRequest.h"
#include "bergamotstage/pooling/PoolLink.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bergamotstage::pooling {

/// @brief Connection pool and statement queue of one target.
///
/// One VM at a time owns a target, so the pool knows exactly which slots are in
/// use. A link belongs to a client account. A statement is sent once a slot and
/// a link of its account are free, after session values and prepared statements
/// are restored on the link. The queue is ordered by priority, then by fair
/// queueing over client accounts. Statements of open transactions come first
/// because they hold a link and locks.
class TargetPool {
public:
  /// @brief Callbacks for I/O and notifications.
  struct Hooks {
    std::function<void(LinkId, const LinkTarget &)> Open;
    std::function<void(LinkId)> Close;
    std::function<void(LinkId, const LinkRequest &)> Send;
    std::function<void(const OperationId &, StatementResult &&)> Reply;
    /// Called when the target becomes reachable or unreachable for this VM.
    std::function<void(const TargetId &, bool Reachable)> ReachabilityChanged;
    /// The target was primary at RequestedAt, and its log has the position.
    std::function<void(const TargetId &, Instant RequestedAt,
                       const HistoryPoint &)>
        PositionProven;
    /// An operation of a priority was refused as not run.
    std::function<void(NotRunReason, unsigned Priority)> Refused;
    /// Returns the account of a probe that no operation waits for.
    std::function<AccountId()> ProbeAccount;
  };

  /// @brief Limits of one target.
  struct Limits {
    unsigned Slots = 1;    ///< Concurrent statements.
    unsigned MaxLinks = 2; ///< Maximum number of connections of this VM.
    Duration IdleLinkTimeout = seconds(3);
    Duration TransactionIdleTimeout = seconds(3);
    admission::QueueOrder Order = admission::QueueOrder::Fair;
    bool AdaptivePace = false; ///< Otherwise all slots are used.
    bool IsOwner = false;      ///< This VM is the first to own the links.
    bool IsPrimary = false;
    unsigned ReportedPace = 0; ///< Of the previous owner; 0 if unknown.
    pacing::ColdBound Cold{};
    std::optional<unsigned> ColdRank{}; ///< For ColdStartLimiter.
  };

  using ProofCallback =
      std::function<void(std::optional<HistoryPoint>, Instant RequestedAt)>;
  using ReplyCallback = std::function<void(std::optional<LinkReply>)>;

  TargetPool(Context &Ctx, TargetId Id, DatabaseId Group, std::string Address,
             Hooks Callbacks);
  ~TargetPool();
  TargetPool(const TargetPool &) = delete;
  TargetPool &operator=(const TargetPool &) = delete;

  void setLimits(const Limits &NewLimits);
  /// @brief Rejects new operations; open transactions continue.
  void stopAdmission() { m_AcceptsOperations = false; }
  void resumeAdmission() {
    m_AcceptsOperations = true;
    m_SendingStopped = false;
  }
  /// @brief Refuses operations that wait for a first slot, so that they run
  /// elsewhere.
  void refuseWaiting();
  /// @brief Sends nothing more: ends all operations but statements in flight
  /// and closes their links, which rolls transactions back.
  void stopSending();

  /// @brief Queues a new operation. Each statement gets exactly one reply
  /// unless the operation is aborted.
  void enqueue(OperationRequest Request);
  /// @brief Queues the next statement of an open transaction.
  /// @param Values session values if they changed since the last statement
  void enqueueNext(const OperationId &Id, Statement Stmt,
                   const std::optional<SharedValues> &Values,
                   Duration QueueTime);
  bool hasOperation(const OperationId &Id) const {
    return m_Operations.count(Id) > 0;
  }
  /// @brief Cancels an operation without a reply and rolls its transaction
  /// back. A statement in flight runs to its end.
  void abortOperation(const OperationId &Id);
  /// @brief Refuses the statement of an operation if it has not been sent to
  /// the target, and does not send it again otherwise.
  void withdrawStatement(const OperationId &Id);
  /// @brief Cancels all operations of one origin VM.
  void abortOperationsFrom(const VmId &Origin);

  /// @brief Verifies that the target is the primary; uses no slot.
  /// @param MaxAge a cached proof up to this age is accepted
  void provePrimary(const AccountId &Account, Duration MaxAge,
                    ProofCallback Callback);

  /// @brief Sends a request of the proxy itself on a free link.
  void sendControlRequest(const AccountId &Account, LinkRequest Request,
                          ReplyCallback Callback);

  /// @brief Handle events of this pool's links.
  void onLinkOpened(LinkId Id, const std::optional<HistoryPoint> &Position);
  void onLinkRefused(LinkId Id, ErrorCode Code);
  void onLinkFailed(LinkId Id, const std::string &Reason);
  void onLinkReply(LinkId Id, LinkReply Reply);

  /// @brief Closes free links that exceed the limit or have timed out.
  void closeUnusedLinks();

  /// @brief Closes all links; in-flight statements are lost.
  void shutDown(const std::string &Reason);

  bool hasLink(LinkId Id) const { return m_Links.count(Id) > 0; }
  bool isIdle() const { return m_Operations.empty(); }
  std::size_t operationCount() const { return m_Operations.size(); }
  bool isReachable() const { return !m_Unreachable; }
  /// @brief Time at which the target last sent data.
  Instant lastReceivedAt() const { return m_LastReceivedAt; }
  std::size_t linkCount() const { return m_Links.size(); }
  unsigned waitingCount() const;
  const TargetId &id() const { return m_Id; }
  const admission::SlotTimes &slotTimes() const { return m_Queue.slotTimes(); }
  const pacing::PaceController &pace() const { return m_Pace; }
  /// @brief Statements that may be in flight; the slots if the pace is fixed.
  unsigned usableSlots() const;

private:
  enum class Phase : std::uint8_t {
    Waiting,   ///< Queued for a slot and a link.
    Beginning, ///< The transaction is being opened.
    Running,
    Idle ///< Between two statements of a transaction.
  };
  struct QueueEntry {
    OperationRequest Request; ///< Its First is the latest statement.
    Phase State = Phase::Waiting;
    std::optional<LinkId> AssignedLink;
    bool TransactionOpen = false; ///< The target has opened the transaction.
    bool Aborted = false;         ///< No reply is expected.
    bool Withdrawn = false;       ///< The statement may not be sent any more.
    Instant WaitingSince{};
    Instant Deadline{};
    Instant SentAt{};
    Instant NotBefore{}; ///< Backoff after the target was busy.
    std::uint64_t ArrivalNumber = 0;
    double ChargedSeconds = 0; ///< Slot time charged for its statement.
  };
  struct ControlRequest {
    AccountId Account;
    LinkRequest Request;
    ReplyCallback Callback;
    Instant Deadline;
  };

  void dispatchWaiting();
  QueueEntry *nextDispatchable();
  // The queue, in TargetPoolQueue.cpp.
  std::vector<admission::WaitingWork>
  sortedWaiting(std::vector<QueueEntry *> &Entries);
  std::optional<NotRunReason>
  admissionFault(const OperationRequest &Request) const;
  void removeBlocked(std::vector<admission::WaitingWork> &Waiting);
  void refuseHopeless();
  void chargeSlotTime(QueueEntry &Next);
  void recordSlotTime(const QueueEntry &Ended, Duration Held, bool WasBusy);
  Duration timeUntilSlot() const;
  bool usesUrgency() const {
    return m_Limits.Order == admission::QueueOrder::Urgency;
  }
  // The pace, in TargetPoolPace.cpp.
  unsigned workingSlots() const;
  bool mayStart(const QueueEntry &Next) const;
  void chargeColdBound(LinkRequest::Kind Type);
  void recordPace(const QueueEntry &Ended,
                  const std::optional<ErrorCode> &Error);
  void logPace(unsigned Before);
  static bool opensTransaction(const QueueEntry &Next);
  static bool needsSlot(Verb Kind) { return Kind != Verb::Rollback; }
  static admission::WorkKind workKind(const OperationRequest &Request);
  unsigned accountLinkLimit() const;
  unsigned openTransactions(const AccountId &Account) const;
  bool acquireLink(QueueEntry &Operation);
  bool mayOpenLink(const QueueEntry &Operation) const;
  bool openLink(const AccountId &Account);
  std::optional<LinkId> findIdleLink(const AccountId &Account) const;
  bool evictIdleLink();
  void dispatch(QueueEntry &Next);
  void restoreSession(PoolLink &Link, const QueueEntry &Next);
  void send(PoolLink &Link, const LinkRequest &Request);
  void sendStatement(QueueEntry &Operation, PoolLink &Link);
  void acquireSlot(PoolLink &Link);
  void releaseSlot(PoolLink &Link);
  void onBeginReply(PoolLink &Link, const PoolLink::InFlight &Sent,
                    const LinkReply &Reply);
  void onStatementReply(PoolLink &Link, const PoolLink::InFlight &Sent,
                        LinkReply Reply);
  void requeue(QueueEntry &Operation);
  void rollBack(PoolLink &Link);
  void releaseLink(PoolLink &Link);
  void reply(const QueueEntry &Operation, StatementResult Result);
  TargetLoad load() const;
  StatementResult makeNotRunResult(NotRunReason Reason) const;
  void recordOutcome(bool Failed);
  void rejectOperation(const OperationId &Id, NotRunReason Reason,
                       Duration RetryAfter = Duration(0));
  void refuse(const QueueEntry &Operation, NotRunReason Reason,
              Duration RetryAfter = Duration(0));
  void failOperation(const OperationId &Id);
  void dropLink(LinkId Id, bool CloseConnection);
  Duration expectedWait() const;
  void onTick();
  void armTick();
  void enforceDeadlines();
  void checkLiveness();
  void markUnreachable(const std::string &Reason);
  void onDataReceived();
  void dispatchControlRequests();
  void completeControlRequest(std::uint64_t Number,
                              std::optional<LinkReply> Reply);

  Context &m_Context;
  TargetId m_Id;
  DatabaseId m_Group;
  std::string m_Address;
  Hooks m_Hooks;
  Limits m_Limits;
  bool m_AcceptsOperations = true;
  bool m_SendingStopped = false; ///< Nothing more may be sent.
  std::map<OperationId, QueueEntry> m_Operations;
  std::map<LinkId, PoolLink> m_Links;
  std::map<std::uint64_t, ControlRequest> m_ControlRequests;
  admission::TargetQueue m_Queue;
  pacing::PaceController m_Pace;
  pacing::ColdStartLimiter m_Cold;
  bool m_LimitsSet = false;
  unsigned m_SlotsUsed = 0;
  std::uint64_t m_LastArrivalNumber = 0;
  std::uint64_t m_LastControlRequestId = 0;
  double m_FailureRate = 0; ///< Moving average from 0 to 1.
  double m_ServiceSeconds;  ///< Moving average of slot occupation.
  Instant m_LastReceivedAt{};
  Instant m_NoOpenBefore{};    ///< Backoff for new links.
  unsigned m_OpenFailures = 0; ///< Since the target last sent data.
  bool m_Unreachable = false;
  std::optional<LinkId> m_ProbeLink;
  Instant m_ProbedAt{};
  std::optional<HistoryPoint> m_ProvenPosition;
  Instant m_ProvenAt{};
  std::optional<TimerId> m_TickTimer;
};

} // namespace bergamotstage::pooling

#endif // BERGAMOTSTAGE_POOLING_TARGETPOOL_H
