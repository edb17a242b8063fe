#ifndef BERGAMOTSTAGE_STANDIN_SITE_POOLCALLERS_H
#define BERGAMOTSTAGE_STANDIN_SITE_POOLCALLERS_H

#include "bergamotstage/pooling/Session.h"
#include "standin/site/ModelGroup.h"
#include "standin/site/PoolConfig.h"
#include "standin/site/RateContract.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace bergamotstage::standin {

using pooling::ErrorCode;
using pooling::Statement;
using pooling::Verb;

/// @brief Runs random operations of callers and checks the guarantees of the
/// proxy against replies and executions at the targets.
/// @tparam Fleet PoolFleet on virtual time, or a fleet of real processes
template <class Fleet> class PoolCallers {
public:
  struct Counts {
    unsigned Operations = 0;
    unsigned Served = 0;
    unsigned Refused = 0;
    unsigned Unknown = 0;
    unsigned ReplicaReads = 0;
    unsigned PrimaryReads = 0;
    unsigned Commits = 0;
    unsigned Transactions = 0;
  };

  /// Time in which a configuration has to be in force on all VMs.
  static constexpr Duration ConfigTimeout = seconds(3);

  using OperationHook = std::function<void(const std::string &, bool Served)>;

  PoolCallers(Fleet &Site, pooling::SiteConfig Config)
      : m_Fleet(Site), m_Config(std::move(Config)) {
    for (unsigned Index = 0; Index < Site.groups(); ++Index)
      Site.group(Index).onExecution(
          [this, Index](const ModelGroup::Execution &Executed) {
            checkExecution(Index, Executed);
          });
    Site.onAnswer([this](const VmId &Vm, CallerId Caller,
                         const pooling::CallerReply &Reply) {
      onReply(Vm, Caller, Reply);
    });
    Site.onClose(
        [this](const VmId &Vm, CallerId Caller) { onClosed(Vm, Caller); });
  }

  /// @brief Adds a caller that runs operations in sequence.
  void add(const VmId &Vm, const std::string &Route, unsigned Account,
           Duration Pause) {
    CallerState Added;
    Added.Vm = Vm;
    Added.Route = Route;
    Added.Account = Account;
    Added.Pause = Pause;
    m_Callers.push_back(Added);
    connect(m_Callers.size() - 1);
  }

  /// @brief Receives the route of each operation that begins or was served.
  void onOperation(OperationHook Hook) { m_OnOperation = std::move(Hook); }

  /// @brief Changes the pause between the operations of an account's callers.
  void setPause(unsigned Account, Duration Pause) {
    for (CallerState &Caller : m_Callers)
      if (Caller.Account == Account)
        Caller.Pause = Pause;
  }

  /// @brief Reports that the configuration withdraws an account's key, or gives
  /// it back.
  void setKeyWithdrawn(unsigned Account, bool Withdrawn) {
    if (Withdrawn)
      m_KeysWithdrawnAt[Account] = m_Fleet.now();
    else
      m_KeysWithdrawnAt.erase(Account);
  }

  /// @brief Starts no further operations.
  void stop() { m_Stopped = true; }

  /// @brief Reconnects the callers of a VM whose process ended.
  void onVmLost(const VmId &Vm) {
    for (std::size_t Index = 0; Index < m_Callers.size(); ++Index)
      if (m_Callers[Index].Vm == Vm)
        reconnect(Index);
  }

  const Counts &counts() const { return m_Counts; }
  /// @brief Returns descriptions of the violated guarantees.
  const std::vector<std::string> &violations() const { return m_Violations; }

  /// @brief Returns the largest excess of an account over its rate limit in any
  /// 5 s, after a tolerance of 10 % and 20 operations.
  double maxRateExcess() const { return m_Rates.maxExcess(m_Config); }

private:
  struct CallerState {
    VmId Vm;
    std::string Route;
    unsigned Account = 0;
    Duration Pause{};
    CallerId Id;
    bool Open = false;
    bool InFlight = false;
    pooling::SessionValues Values;
    std::map<std::string, pooling::PreparedQuery> Prepared;
    std::vector<Statement> Plan; ///< Statements still to be sent.
    Statement LastSent;
    std::uint64_t Transaction = 0;
    Instant TransactionStarted{};
    std::vector<std::string> Writes; ///< Writes of the current operation.
    /// A write of its last commit in each group.
    std::map<unsigned, std::string> LastCommits;
  };
  /// @brief What the execution of a request at a target must match.
  struct ExpectedExecution {
    std::size_t CallerIndex = 0;
    Statement Stmt;
    pooling::SessionValues Values;
    std::uint64_t Transaction = 0;
    Instant SentAt{};
    Instant FirstByte{}; ///< Of its transaction.
    std::map<unsigned, std::string> LastCommits;
    /// First statement of its operation that reads, writes or commits.
    bool StartsOperation = false;
    bool CountedAgainstRate = false;
  };
  struct Acknowledged {
    Instant At{};
    std::string Write;
    std::size_t LogIndex = 0;
  };

  void report(const std::string &Violation) {
    if (m_Violations.size() < 20)
      m_Violations.push_back(Violation);
  }

  void connect(std::size_t Index) {
    CallerState &Caller = m_Callers[Index];
    Caller.Id = m_Fleet.connect(Caller.Vm, Caller.Route,
                                "key-" + std::to_string(Caller.Account));
    m_ById[Caller.Id] = Index;
    CallerId Id = Caller.Id;
    // A VM that is down or full does not reply.
    m_Fleet.after(seconds(2), [this, Index, Id] {
      if (m_Callers[Index].Id == Id && !m_Callers[Index].Open)
        reconnect(Index);
    });
  }

  void reconnect(std::size_t Index) {
    CallerState &Caller = m_Callers[Index];
    m_ById.erase(Caller.Id);
    Caller.Open = false;
    Caller.InFlight = false;
    Caller.Plan.clear();
    Caller.Values.clear();
    Caller.Prepared.clear();
    Caller.Transaction = 0;
    Caller.Writes.clear();
    Caller.LastCommits.clear();
    m_Fleet.after(milliseconds(200), [this, Index] {
      if (!m_Callers[Index].Open && !m_Stopped)
        connect(Index);
    });
  }

  unsigned draw(unsigned Limit) {
    return std::uniform_int_distribution<unsigned>(0,
                                                   Limit - 1)(m_Fleet.random());
  }

  std::string nextRequestId() { return "r" + std::to_string(++m_LastRequest); }

  Statement makeStatement(Verb Kind, const std::string &Text) {
    Statement Stmt;
    Stmt.RequestId = nextRequestId();
    Stmt.Kind = Kind;
    Stmt.Text = Text;
    return Stmt;
  }

  Statement randomRead() { return makeStatement(Verb::Read, "READ a"); }
  Statement randomWrite() { return makeStatement(Verb::Write, "WRITE a b"); }

  void planOperation(CallerState &Caller) {
    ++m_Counts.Operations;
    m_OnOperation(Caller.Route, false);
    Caller.Writes.clear();
    unsigned Kind = draw(10);
    if (Kind == 0) {
      Statement Set = makeStatement(Verb::SetValue, "SET v x");
      Set.Name = "v" + std::to_string(draw(3));
      Set.Value = nextRequestId();
      Caller.Plan.push_back(Set);
    }
    if (Kind == 1) {
      Statement Prepare = makeStatement(Verb::Prepare, "PREPARE");
      Prepare.Name = "s" + std::to_string(draw(2));
      Prepare.Prepared = {draw(2) == 0, "shape" + std::to_string(draw(3))};
      Caller.Plan.push_back(Prepare);
      Statement Execute = makeStatement(Verb::Execute, "EXECUTE");
      Execute.Name = Prepare.Name;
      Execute.Arguments = "item data";
      Caller.Plan.push_back(Execute);
      return;
    }
    if (Kind < 6)
      return Caller.Plan.push_back(randomRead());
    if (Kind < 8)
      return Caller.Plan.push_back(randomWrite());
    bool ReadOnly = draw(3) == 0;
    Caller.Plan.push_back(
        makeStatement(ReadOnly ? Verb::BeginReadOnly : Verb::Begin,
                      ReadOnly ? "BEGIN READ" : "BEGIN"));
    for (unsigned Count = 1 + draw(4); Count > 0; --Count)
      Caller.Plan.push_back(!ReadOnly && draw(2) == 0 ? randomWrite()
                                                      : randomRead());
    Caller.Plan.push_back(draw(5) == 0
                              ? makeStatement(Verb::Rollback, "ROLLBACK")
                              : makeStatement(Verb::Commit, "COMMIT"));
  }

  void sendNext(std::size_t Index) {
    CallerState &Caller = m_Callers[Index];
    if (!Caller.Open || Caller.InFlight)
      return;
    if (Caller.Plan.empty()) {
      if (m_Stopped)
        return;
      planOperation(Caller);
    }
    Caller.LastSent = Caller.Plan.front();
    Caller.Plan.erase(Caller.Plan.begin());
    expectExecution(Index, Caller);
    Caller.InFlight = true;
    m_Fleet.send(Caller.Vm, Caller.Id, Caller.LastSent);
  }

  void expectExecution(std::size_t Index, CallerState &Caller) {
    bool BeginsTransaction = Caller.LastSent.Kind == Verb::Begin ||
                             Caller.LastSent.Kind == Verb::BeginReadOnly;
    if (BeginsTransaction) {
      Caller.Transaction = ++m_LastTransaction;
      Caller.TransactionStarted = m_Fleet.now();
      m_NotStarted.insert(Caller.Transaction);
    }
    ExpectedExecution Expectation;
    Expectation.CallerIndex = Index;
    Expectation.Stmt = Caller.LastSent;
    Expectation.Values = Caller.Values;
    Expectation.Transaction = Caller.Transaction;
    Expectation.SentAt = m_Fleet.now();
    Expectation.FirstByte =
        Caller.Transaction == 0 ? m_Fleet.now() : Caller.TransactionStarted;
    Expectation.LastCommits = Caller.LastCommits;
    bool Runs = Caller.LastSent.Kind == Verb::Read ||
                Caller.LastSent.Kind == Verb::Write ||
                Caller.LastSent.Kind == Verb::Execute ||
                Caller.LastSent.Kind == Verb::Commit;
    Expectation.StartsOperation =
        Runs &&
        (Caller.Transaction == 0 || m_NotStarted.erase(Caller.Transaction) > 0);
    bool Writes = Caller.LastSent.Kind == Verb::Write;
    if (Caller.LastSent.Kind == Verb::Execute) {
      Expectation.Stmt.Prepared = Caller.Prepared[Caller.LastSent.Name];
      Writes = Expectation.Stmt.Prepared.Writes;
    }
    if (Writes)
      Caller.Writes.push_back(Caller.LastSent.RequestId);
    m_Expected[Caller.LastSent.RequestId] = Expectation;
  }

  static bool guaranteesNoEffect(ErrorCode Code) {
    return Code == ErrorCode::Busy || Code == ErrorCode::Aborted ||
           Code == ErrorCode::Behind || Code == ErrorCode::ReadOnly ||
           Code == ErrorCode::WrongTarget || Code == ErrorCode::TooManyLinks ||
           Code == ErrorCode::NoKey;
  }

  void onReply(const VmId &Vm, CallerId Id, const pooling::CallerReply &Reply) {
    auto Found = m_ById.find(Id);
    if (Found == m_ById.end() || m_Callers[Found->second].Vm != Vm)
      return;
    std::size_t Index = Found->second;
    CallerState &Caller = m_Callers[Index];
    if (Reply.Greeting) {
      if (Reply.Error)
        return reconnect(Index);
      Caller.Open = true;
      return scheduleNext(Index);
    }
    if (!Caller.InFlight)
      return report("a reply without a request");
    Caller.InFlight = false;
    if (Reply.Error)
      return onError(Index, Caller, Reply);
    onSuccess(Caller, Reply);
    if (Caller.Plan.empty()) {
      ++m_Counts.Served;
      m_OnOperation(Caller.Route, true);
      Caller.Transaction = 0;
    }
    if (Caller.Plan.empty() && Reply.State != pooling::SessionState::Idle)
      report("the session is not idle after an operation");
    scheduleNext(Index);
  }

  void onSuccess(CallerState &Caller, const pooling::CallerReply &Reply) {
    const Statement &Stmt = Caller.LastSent;
    bool Runs = Stmt.Kind == Verb::Read || Stmt.Kind == Verb::Write ||
                Stmt.Kind == Verb::Execute || Stmt.Kind == Verb::Commit;
    if (Runs) {
      std::string Tail = "/" + Stmt.RequestId;
      bool Signed =
          Reply.Signature.size() > Tail.size() &&
          Reply.Signature.compare(Reply.Signature.size() - Tail.size(),
                                  Tail.size(), Tail) == 0;
      if (!Signed)
        report("success without signature: " + Stmt.RequestId + ", but '" +
               Reply.Signature + "'");
    }
    if (Stmt.Kind == Verb::Read &&
        Reply.Rows != std::vector<std::string>{"row-of-" + Stmt.RequestId})
      report("unexpected rows: " + Stmt.RequestId);
    if (Stmt.Kind == Verb::SetValue)
      Caller.Values[Stmt.Name] = Stmt.Value;
    if (Stmt.Kind == Verb::Prepare)
      Caller.Prepared[Stmt.Name] = Stmt.Prepared;
    if (Stmt.Kind == Verb::Rollback)
      for (const std::string &Write : Caller.Writes)
        m_NotCommitted.insert(Write);
    bool SingleWrite = Caller.Transaction == 0 && !Caller.Writes.empty() &&
                       Caller.Writes.back() == Stmt.RequestId;
    if (SingleWrite || Stmt.Kind == Verb::Commit)
      acknowledge(Caller);
  }

  void acknowledge(CallerState &Caller) {
    if (Caller.Writes.empty())
      return;
    ++m_Counts.Commits;
    const std::string &Write = Caller.Writes.front();
    auto Committed = m_CommittedAt.find(Write);
    if (Committed == m_CommittedAt.end())
      return report("acknowledged, but never committed: " + Write);
    auto [Group, LogIndex] = Committed->second;
    Caller.LastCommits[Group] = Write;
    m_Acknowledged[Group].push_back({m_Fleet.now(), Write, LogIndex});
  }

  void onError(std::size_t Index, CallerState &Caller,
               const pooling::CallerReply &Reply) {
    ++m_Counts.Refused;
    if (*Reply.Error == ErrorCode::OutcomeUnknown)
      ++m_Counts.Unknown;
    if (guaranteesNoEffect(*Reply.Error))
      for (const std::string &Write : Caller.Writes) {
        m_NotCommitted.insert(Write);
        if (m_CommittedAt.count(Write) > 0)
          report("rejected without effect, but committed: " + Write + " " +
                 pooling::errorName(*Reply.Error));
      }
    Caller.Plan.clear();
    Caller.Transaction = 0;
    Caller.Writes.clear();
    if (Reply.State == pooling::SessionState::Idle)
      return scheduleNext(Index);
    m_Fleet.disconnect(Caller.Vm, Caller.Id);
    reconnect(Index);
  }

  void scheduleNext(std::size_t Index) {
    CallerState &Caller = m_Callers[Index];
    Duration Pause = Caller.Plan.empty() ? Caller.Pause : Caller.Pause / 8;
    CallerId Id = Caller.Id;
    m_Fleet.after(Pause, [this, Index, Id] {
      if (m_Callers[Index].Id == Id)
        sendNext(Index);
    });
  }

  void onClosed(const VmId &Vm, CallerId Id) {
    auto Found = m_ById.find(Id);
    if (Found != m_ById.end() && m_Callers[Found->second].Vm == Vm)
      reconnect(Found->second);
  }

  void checkExecution(unsigned Group, const ModelGroup::Execution &Executed) {
    auto Found = m_Expected.find(Executed.Stmt.RequestId);
    if (Found == m_Expected.end())
      return report("ran without a request: " + Executed.Stmt.RequestId);
    ExpectedExecution &Expectation = Found->second;
    const CallerState &Caller = m_Callers[Expectation.CallerIndex];
    if (Executed.Session->Account.value() !=
        "account-" + std::to_string(Caller.Account))
      report("ran for a different account: " + Executed.Stmt.RequestId);
    if (Executed.Session->Values != Expectation.Values)
      report("ran with unexpected session values: " + Executed.Stmt.RequestId);
    if (Executed.Stmt.Kind == Verb::Execute &&
        !(Executed.Prepared == Expectation.Stmt.Prepared))
      report("ran a different prepared statement: " + Executed.Stmt.RequestId);
    auto Withdrawn = m_KeysWithdrawnAt.find(Caller.Account);
    if (Withdrawn != m_KeysWithdrawnAt.end() &&
        Expectation.SentAt > Withdrawn->second + ConfigTimeout)
      report("ran with a withdrawn key: " + Executed.Stmt.RequestId);
    checkTransaction(Group, Executed, Expectation);
    if (Expectation.StartsOperation && !Expectation.CountedAgainstRate) {
      Expectation.CountedAgainstRate = true;
      m_Rates.add(Executed.Session->Account, m_Fleet.now());
    }
    for (const std::string &Write : Executed.CommittedWrites)
      onCommitted(Group, Executed, Write);
    bool Writes = Executed.Stmt.Kind == Verb::Write || Executed.Prepared.Writes;
    if (Executed.Stmt.Kind != Verb::Commit && !Writes)
      checkRead(Group, Executed, Expectation);
  }

  void checkTransaction(unsigned Group, const ModelGroup::Execution &Executed,
                        const ExpectedExecution &Expectation) {
    std::uint64_t Number = Executed.Session->Transaction;
    std::string Owner =
        Expectation.Transaction == 0
            ? "single " + Executed.Stmt.RequestId
            : "transaction " + std::to_string(Expectation.Transaction);
    if (Expectation.Transaction != 0 && Number == 0)
      return report("ran outside its transaction: " + Executed.Stmt.RequestId);
    if (Number == 0)
      return;
    auto [Recorded, IsNew] =
        m_TransactionOwners.emplace(std::pair(Group, Number), Owner);
    if (!IsNew && Recorded->second != Owner)
      report("ran in a transaction of another operation: " +
             Executed.Stmt.RequestId);
  }

  void onCommitted(unsigned Group, const ModelGroup::Execution &Executed,
                   const std::string &Write) {
    std::size_t LogIndex = m_Fleet.group(Group).log(Executed.Target).size() - 1;
    if (!m_CommittedAt.emplace(Write, std::pair(Group, LogIndex)).second)
      report("took effect twice: " + Write);
    if (m_NotCommitted.count(Write) > 0)
      report("committed after a rejection without effect: " + Write);
  }

  void checkRead(unsigned Group, const ModelGroup::Execution &Executed,
                 const ExpectedExecution &Expectation) {
    const CallerState &Caller = m_Callers[Expectation.CallerIndex];
    const pooling::RouteConfig &Route = m_Config.Routes.at(Caller.Route);
    bool AtPrimary = Executed.Target == m_Fleet.group(Group).primary();
    ++(AtPrimary ? m_Counts.PrimaryReads : m_Counts.ReplicaReads);
    Instant Limit = Expectation.FirstByte;
    if (Route.Reads != pooling::Consistency::Primary)
      Limit -= Route.MaxStaleness;
    const auto &Recorded = m_Acknowledged[Group];
    for (auto Entry = Recorded.rbegin(); Entry != Recorded.rend(); ++Entry)
      if (Entry->At < Limit) {
        if (misses(Group, Executed, Entry->Write, Entry->LogIndex))
          report("stale read " + Executed.Stmt.RequestId + " lacks " +
                 Entry->Write);
        break;
      }
    bool OwnWrites = Route.Reads == pooling::Consistency::ReadYourWrites ||
                     Route.Reads == pooling::Consistency::Primary;
    auto OwnCommit = Expectation.LastCommits.find(Group);
    if (!OwnWrites || OwnCommit == Expectation.LastCommits.end())
      return;
    const std::string &Write = OwnCommit->second;
    if (misses(Group, Executed, Write, m_CommittedAt.at(Write).second))
      report("read " + Executed.Stmt.RequestId + " lacks its own " + Write);
  }

  /// @brief Whether a read did not see a commit that the primary has.
  bool misses(unsigned Group, const ModelGroup::Execution &Executed,
              const std::string &Write, std::size_t LogIndex) const {
    auto Contains = [&](const std::vector<ModelGroup::Commit> &Log,
                        std::size_t Length) {
      return LogIndex < Length && LogIndex < Log.size() &&
             std::find(Log[LogIndex].Writes.begin(), Log[LogIndex].Writes.end(),
                       Write) != Log[LogIndex].Writes.end();
    };
    const ModelGroup &Model = m_Fleet.group(Group);
    bool Seen = Contains(Model.log(Executed.Target), Executed.Visible);
    bool RolledBack = !Contains(Model.log(), Model.log().size());
    return !Seen && !RolledBack;
  }

  Fleet &m_Fleet;
  pooling::SiteConfig m_Config;
  std::vector<CallerState> m_Callers;
  std::map<CallerId, std::size_t> m_ById;
  std::map<std::string, ExpectedExecution> m_Expected;
  std::map<std::pair<unsigned, std::uint64_t>, std::string> m_TransactionOwners;
  std::set<std::uint64_t> m_NotStarted;
  std::map<std::string, std::pair<unsigned, std::size_t>> m_CommittedAt;
  std::set<std::string> m_NotCommitted;
  std::map<unsigned, std::vector<Acknowledged>> m_Acknowledged;
  std::map<unsigned, Instant> m_KeysWithdrawnAt; ///< By account.
  RateContract m_Rates;
  std::vector<std::string> m_Violations;
  Counts m_Counts;
  OperationHook m_OnOperation = [](const std::string &, bool) {};
  std::uint64_t m_LastRequest = 0;
  std::uint64_t m_LastTransaction = 0;
  bool m_Stopped = false;
};

} // namespace bergamotstage::standin

#endif // BERGAMOTSTAGE_STANDIN_SITE_POOLCALLERS_H
