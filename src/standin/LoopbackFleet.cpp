#include "standin/LoopbackFleet.h"

#include "bergamotstage/core/Invariant.h"
#include "bergamotstage/fleet/RulesHead.h"
#include "bergamotstage/request/Statement.h"

#include <utility>
#include <variant>

namespace bergamotstage::standin {
namespace {

constexpr Duration RetryInterval = milliseconds(1);

std::string vmName(const VmId &Vm) { return "vm:" + Vm.value(); }
std::string targetName(const TargetId &Id) { return "target:" + Id.value(); }

} // namespace

LoopbackFleet::LoopbackFleet(LoopbackDelays Delays, std::uint64_t Seed)
    : m_Delays(Delays), m_Seed(Seed) {}

Group &LoopbackFleet::group(const DatabaseId &Database) {
  Group &Result = *m_Groups.at(Database);
  Result.tick(m_Now);
  return Result;
}

void LoopbackFleet::addGroup(const DatabaseId &Database,
                             const std::vector<TargetId> &Names, unsigned Slots,
                             Duration Lag) {
  auto Created = std::make_unique<Group>(Database, Names, m_Now);
  for (Group::Member &Member : Created->members()) {
    Member.Lag = Lag;
    m_Loads[Member.Id].Slots = Slots;
    m_Databases[Member.Id] = Database;
  }
  m_Groups[Database] = std::move(Created);
}

void LoopbackFleet::storeRules(const std::string &Text) {
  InitialRules First = initialRules(Text);
  m_Store.put(First.Object);
  m_Store.write(First.Head);
}

bool LoopbackFleet::isCut(const std::string &From,
                          const std::string &To) const {
  return Blocked && Blocked(From, To);
}

Node &LoopbackFleet::startVm(NodeSettings Settings) {
  VmId Name = Settings.Vm;
  BERGAMOTSTAGE_INVARIANT(!isRunning(Name), "the VM is not running yet");
  Settings.ProcessIncarnation = Incarnation(
      static_cast<std::uint64_t>(m_Now.time_since_epoch().count()) + 1);
  Incarnation Start = Settings.ProcessIncarnation;
  m_Listed.push_back({Name, Settings.DataCentre, Settings.PeerAddress, false});
  auto Created = Node::create(std::move(Settings), ++m_Seed);
  BERGAMOTSTAGE_INVARIANT(Created.has_value(), "VM settings are valid");
  Vm &Process = m_Vms[Name];
  Process.ProxyNode = std::move(*Created);
  Process.Start = Start;
  Actions Emitted;
  Process.ProxyNode->start(m_Now, Emitted);
  executeActions(Name, Emitted);
  return *m_Vms.at(Name).ProxyNode;
}

void LoopbackFleet::killVm(const VmId &Name) {
  auto Found = m_Vms.find(Name);
  if (Found == m_Vms.end())
    return;
  while (!Found->second.Links.empty())
    closeLink(Found->second, Found->second.Links.begin()->first);
  m_Vms.erase(Found);
  failForwardsOf(Name);
  for (auto &[Key, Caller] : m_CallersById)
    if (Key.first == Name)
      Caller->Closed = true;
}

void LoopbackFleet::pauseVm(const VmId &Name, Instant Until) {
  m_Vms.at(Name).PausedUntil = Until;
}

void LoopbackFleet::at(Instant Time, std::function<void()> Callback) {
  m_Queue.emplace(Time, std::move(Callback));
}

void LoopbackFleet::runUntil(Instant Time) {
  while (!m_Queue.empty() && m_Queue.begin()->first <= Time) {
    auto First = m_Queue.begin();
    if (m_Now < First->first)
      m_Now = First->first;
    std::function<void()> Callback = std::move(First->second);
    m_Queue.erase(First);
    Callback();
  }
  m_Now = Time;
}

void LoopbackFleet::deliver(const VmId &Name, Event Input) {
  auto Found = m_Vms.find(Name);
  if (Found != m_Vms.end())
    deliverTo(Name, Found->second.Start, std::move(Input));
}

void LoopbackFleet::deliverTo(const VmId &Name, Incarnation Start,
                              Event Input) {
  auto Found = m_Vms.find(Name);
  if (Found == m_Vms.end() || Found->second.Start != Start)
    return;
  Vm &Process = Found->second;
  if (m_Now < Process.PausedUntil) {
    at(Process.PausedUntil, [this, Name, Start, Input = std::move(Input)] {
      deliverTo(Name, Start, Input);
    });
    return;
  }
  Actions Emitted;
  Process.ProxyNode->step(m_Now, Input, Emitted);
  executeActions(Name, Emitted);
}

void LoopbackFleet::executeActions(const VmId &Name, Actions &Emitted) {
  for (Action &Next : Emitted) {
    auto Found = m_Vms.find(Name);
    if (Found == m_Vms.end())
      return;
    if (OnAction)
      OnAction(Name, Next);
    executeAction(Name, Found->second, Next);
  }
}

void LoopbackFleet::executeAction(const VmId &Name, Vm &Process, Action &Next) {
  struct Visitor {
    LoopbackFleet &Fleet;
    const VmId &Name;
    Vm &Process;
    void operator()(RequestKey &A) const {
      LoopbackCaller *Caller = Fleet.caller(Name, A.Caller);
      if (Caller == nullptr)
        return;
      Fleet.at(Fleet.m_Now, [Fleet = &Fleet, Name = Name, Caller] {
        Fleet->deliver(Name, Caller->Opening);
      });
    }
    void operator()(AdmitCaller &A) const {
      if (LoopbackCaller *Caller = Fleet.caller(Name, A.Caller))
        Caller->Admitted = true;
    }
    void operator()(CloseCaller &A) const {
      if (LoopbackCaller *Caller = Fleet.caller(Name, A.Caller))
        Caller->Closed = true;
    }
    void operator()(ReportParameter &A) const {
      if (isForwarded(A.Caller))
        Fleet.m_Forwarded[A.Caller].Token = A.Value;
      if (LoopbackCaller *Caller = Fleet.caller(Name, A.Caller))
        Caller->Token = A.Value;
    }
    void operator()(AnswerStatement &A) const {
      Fleet.answerCaller(Name, Process, A);
    }
    void operator()(OpenLink &A) const { Fleet.openLink(Name, Process, A); }
    void operator()(CloseLink &A) const { Fleet.closeLink(Process, A.Link); }
    void operator()(RunStatement &A) const {
      Fleet.runOnLink(Name, Process, A.Link, A.Statement, *A.Body, true);
    }
    void operator()(RunInternal &A) const {
      StatementBody Body;
      Body.Text = A.Text;
      Fleet.runOnLink(Name, Process, A.Link, A.Statement, Body, false);
    }
    void operator()(CallPlatform &A) const { Fleet.callPlatform(Name, A); }
    void operator()(SendPeer &A) const {
      ++Fleet.PeerMessages;
      Fleet.PeerBytes += A.Message.Payload.size();
      if (Fleet.isCut(vmName(Name), vmName(A.To)))
        return;
      PeerReceived Received{Name, Process.Start, A.Message};
      Fleet.at(Fleet.m_Now + Fleet.m_Delays.Peer,
               [Fleet = &Fleet, To = A.To, Received] {
                 Fleet->deliver(To, Received);
               });
    }
    void operator()(ForwardStatement &A) const { Fleet.forward(Name, A); }
    void operator()(CloseForward &A) const { Fleet.closeForward(Name, A); }
    void operator()(AnswerOperator &) const {}
    void operator()(WriteLog &) const {}
    void operator()(WakeAt &A) const {
      Fleet.at(A.Time, [Fleet = &Fleet, Name = Name, Start = Process.Start] {
        Fleet->deliverTo(Name, Start, TimerFired{});
      });
    }
    void operator()(Exit &) const {
      Fleet.at(Fleet.m_Now,
               [Fleet = &Fleet, Name = Name] { Fleet->killVm(Name); });
    }
  };
  std::visit(Visitor{*this, Name, Process}, Next);
}

LoopbackCaller *LoopbackFleet::caller(const VmId &Name, CallerId Id) {
  auto Found = m_CallersById.find({Name, Id});
  return Found == m_CallersById.end() ? nullptr : Found->second;
}

LoopbackCaller &LoopbackFleet::connect(const VmId &Name, CallerOpened Opening) {
  m_Callers.emplace_back();
  LoopbackCaller &Caller = m_Callers.back();
  Caller.Vm = Name;
  Caller.Id = CallerId(++m_LastCaller);
  Opening.Caller = Caller.Id;
  Caller.Opening = std::move(Opening);
  m_CallersById[{Name, Caller.Id}] = &Caller;
  deliver(Name, Caller.Opening);
  return Caller;
}

void LoopbackFleet::send(LoopbackCaller &Caller, const std::string &Text) {
  auto Body = std::make_shared<StatementBody>();
  Body->Text = Text;
  StatementId Statement(++m_LastStatement);
  Caller.Waiting = Statement;
  deliver(Caller.Vm, StatementReceived{Caller.Id, Statement, Body});
}

void LoopbackFleet::disconnect(LoopbackCaller &Caller) {
  Caller.Closed = true;
  deliver(Caller.Vm, CallerClosed{Caller.Id});
}

void LoopbackFleet::answerCaller(const VmId &Name, Vm &,
                                 const AnswerStatement &Answer) {
  if (isForwarded(Answer.Caller))
    return answerForward(Name, Answer);
  auto Found = m_Rows.find({Name, Answer.Statement});
  std::vector<std::vector<std::string>> Rows;
  if (Found != m_Rows.end()) {
    Rows = std::move(Found->second);
    m_Rows.erase(Found);
  }
  LoopbackCaller *Caller = caller(Name, Answer.Caller);
  if (Caller == nullptr || Caller->Waiting != Answer.Statement)
    return;
  Caller->Waiting.reset();
  if (Answer.Error && Answer.Error->CloseConnection)
    Caller->Closed = true;
  if (Caller->OnAnswer)
    at(m_Now, [Caller, Answer, Rows = std::move(Rows)] {
      Caller->OnAnswer(Answer, Rows);
    });
}

void LoopbackFleet::openLink(const VmId &Name, Vm &Process,
                             const OpenLink &Open) {
  auto Created = std::make_shared<LinkState>();
  Created->Target = Open.Target;
  Created->Database = m_Databases[Open.Target];
  Created->Session.Number = ++m_LastSession;
  Created->Owner = Process.Start;
  Process.Links[Open.Link] = Created;
  bool Lost = isCut(vmName(Name), targetName(Open.Target)) ||
              isCut(targetName(Open.Target), vmName(Name));
  Duration Delay = Lost ? m_Delays.ConnectTimeout : m_Delays.Connect;
  at(m_Now + Delay,
     [this, Name, Start = Process.Start, Lost, Id = Open.Link, Created] {
       auto Found = m_Vms.find(Name);
       if (Found == m_Vms.end() || Found->second.Links.count(Id) == 0)
         return;
       if (!Lost) {
         Created->Open = true;
         return deliverTo(Name, Start, LinkOpened{Id});
       }
       Found->second.Links.erase(Id);
       LinkFailed Failed;
       Failed.Link = Id;
       Failed.Reason = "connection timed out";
       deliverTo(Name, Start, Failed);
     });
}

void LoopbackFleet::closeLink(Vm &Process, LinkId Id) {
  auto Found = Process.Links.find(Id);
  if (Found == Process.Links.end())
    return;
  std::shared_ptr<LinkState> Link = Found->second;
  Process.Links.erase(Found);
  group(Link->Database).find(Link->Target)->State.closeSession(Link->Session);
}

void LoopbackFleet::runOnLink(const VmId &Name, Vm &Process, LinkId Id,
                              StatementId Statement, const StatementBody &Body,
                              bool ForCaller) {
  auto Found = Process.Links.find(Id);
  if (Found == Process.Links.end())
    return;
  PendingStatement Pending;
  Pending.Vm = Name;
  Pending.Id = Id;
  Pending.Link = Found->second;
  Pending.Statement = Statement;
  Pending.ForCaller = ForCaller;
  Pending.IsRead = classifyStatement(Body.Text) == StatementKind::Read;
  auto Parsed = parseSql(Body.Text, Body.Values);
  if (!Parsed) {
    SqlResult SyntaxError;
    SyntaxError.SqlState = "42601";
    SyntaxError.Message = Parsed.error();
    return deliverResult(Pending, SyntaxError, {});
  }
  Pending.Parsed = *Parsed;
  if (isCut(vmName(Name), targetName(Pending.Link->Target)))
    return;
  at(m_Now + m_Delays.Target, [this, Pending] { startAtTarget(Pending); });
}

void LoopbackFleet::startAtTarget(const PendingStatement &Pending) {
  bool Immediate = std::holds_alternative<Confirm>(Pending.Parsed) ||
                   std::holds_alternative<Fence>(Pending.Parsed) ||
                   std::holds_alternative<Control>(Pending.Parsed);
  if (Immediate)
    return attempt(Pending);
  TargetLoad &Load = m_Loads[Pending.Link->Target];
  if (Load.Running >= Load.Slots) {
    Load.Waiting.emplace_back([this, Pending] { startAtTarget(Pending); });
    return;
  }
  ++Load.Running;
  Duration Service =
      Pending.IsRead ? m_Delays.ReadService : m_Delays.WriteService;
  at(m_Now + Service, [this, Pending] {
    releaseSlot(Pending.Link->Target);
    attempt(Pending);
  });
}

void LoopbackFleet::releaseSlot(const TargetId &Target) {
  TargetLoad &Load = m_Loads[Target];
  --Load.Running;
  if (Load.Waiting.empty())
    return;
  std::function<void()> Next = std::move(Load.Waiting.front());
  Load.Waiting.pop_front();
  Next();
}

void LoopbackFleet::attempt(const PendingStatement &Pending) {
  auto Owner = m_Vms.find(Pending.Vm);
  bool Gone = Owner == m_Vms.end() ||
              Owner->second.Start != Pending.Link->Owner ||
              Owner->second.Links.count(Pending.Id) == 0;
  if (Gone)
    return;
  Group::Member *Member =
      group(Pending.Link->Database).find(Pending.Link->Target);
  std::optional<SqlResult> Result =
      Member->State.execute(Pending.Link->Session, Pending.Parsed, m_Now);
  if (!Result) {
    at(m_Now + RetryInterval, [this, Pending] { attempt(Pending); });
    return;
  }
  if (isCut(targetName(Pending.Link->Target), vmName(Pending.Vm)))
    return;
  HistoryPoint Reported = Member->State.replayed();
  at(m_Now + m_Delays.Target + Result->ExecutionTime,
     [this, Pending, Outcome = *Result, Reported] {
       deliverResult(Pending, Outcome, Reported);
     });
}

void LoopbackFleet::deliverResult(const PendingStatement &Pending,
                                  const SqlResult &Result,
                                  const HistoryPoint &Reported) {
  LinkAnswered Answered;
  Answered.Link = Pending.Id;
  Answered.Statement = Pending.Statement;
  Answered.ErrorSqlState = Result.SqlState;
  Answered.ErrorMessage = Result.Message;
  Answered.Tag = Result.Tag;
  Answered.InTransaction = Pending.Link->Session.InTransaction;
  Answered.TransactionFailed = Pending.Link->Session.Failed;
  Answered.Reported = Reported;
  if (Pending.ForCaller) {
    Answered.Chunks = Result.Rows.size();
    m_Rows[{Pending.Vm, Pending.Statement}] = Result.Rows;
  } else if (!Result.Rows.empty()) {
    Answered.Cells = Result.Rows.front();
  }
  deliverTo(Pending.Vm, Pending.Link->Owner, Answered);
}

void LoopbackFleet::callPlatform(const VmId &Name, const CallPlatform &Call) {
  Incarnation Start = m_Vms.at(Name).Start;
  auto Answer = [this, Name, Start, Id = Call.Call](PlatformAnswer Result,
                                                    Duration After) {
    at(m_Now + After, [this, Name, Start, Id, Result = std::move(Result)] {
      deliverTo(Name, Start, PlatformAnswered{Id, Result});
    });
  };
  Duration Delay = m_Delays.Platform + ExtraPlatformDelay;
  bool Lost = isCut(vmName(Name), "platform");
  bool AnswerLost = isCut("platform", vmName(Name));
  if (Lost)
    return Answer(PlatformFailed{false, "no answer"}, Call.Timeout);
  at(m_Now + Delay, [this, Answer, Call, Delay, AnswerLost] {
    PlatformAnswer Result = answerPlatform(Call.Request);
    bool Late = 2 * Delay >= Call.Timeout;
    if (AnswerLost || Late)
      Answer(PlatformFailed{true, "no answer"}, Call.Timeout);
    else
      Answer(std::move(Result), Delay);
  });
}

PlatformAnswer LoopbackFleet::answerPlatform(const PlatformRequest &Request) {
  struct Visitor {
    LoopbackFleet &Fleet;
    PlatformAnswer down() const { return PlatformFailed{false, "store down"}; }
    PlatformAnswer operator()(const ReadRows &R) const {
      ++Fleet.StoreReads;
      if (Fleet.StoreDown)
        return down();
      return Fleet.m_Store.read(R);
    }
    PlatformAnswer operator()(const ConditionalWrite &R) const {
      ++Fleet.StoreWrites;
      if (Fleet.StoreDown)
        return down();
      WriteDecided Decided = Fleet.m_Store.write(R);
      if (Fleet.LoseWriteAnswers)
        return PlatformFailed{true, "answer lost"};
      return Decided;
    }
    PlatformAnswer operator()(const ReadWriteOutcome &R) const {
      ++Fleet.StoreReads;
      if (Fleet.StoreDown)
        return down();
      return Fleet.m_Store.writeOutcome(R);
    }
    PlatformAnswer operator()(const PutObject &R) const {
      ++Fleet.StoreWrites;
      if (Fleet.StoreDown)
        return down();
      return Fleet.m_Store.put(R);
    }
    PlatformAnswer operator()(const GetObject &R) const {
      ++Fleet.StoreReads;
      if (Fleet.StoreDown)
        return down();
      return Fleet.m_Store.get(R);
    }
    PlatformAnswer operator()(const ListVms &) const {
      return VmsListed{Fleet.m_Listed};
    }
    PlatformAnswer operator()(const ReadGroups &) const {
      GroupsRead Read;
      for (auto &[Database, Unused] : Fleet.m_Groups)
        Read.Groups.push_back(Fleet.group(Database).listedGroup());
      return Read;
    }
    PlatformAnswer operator()(const Promote &R) const {
      if (Fleet.m_Groups.count(R.Database) == 0)
        return PlatformFailed{false, "no such database"};
      PromotionDecided Decided =
          Fleet.group(R.Database).promote(R, Fleet.m_Now);
      if (Fleet.LosePromoteAnswers)
        return PlatformFailed{true, "answer lost"};
      return Decided;
    }
  };
  return std::visit(Visitor{*this}, Request);
}

void LoopbackFleet::forward(const VmId &Name, const ForwardStatement &Forward) {
  CallerId Remote(ForwardedIdBit | ++m_LastForwarded);
  for (auto &[Id, Existing] : m_Forwarded)
    if (Existing.Origin == Name && Existing.Caller == Forward.Caller &&
        Existing.Home == Forward.To)
      Remote = Id;
  ForwardedCaller &Entry = m_Forwarded[Remote];
  Entry.Origin = Name;
  Entry.Home = Forward.To;
  Entry.Caller = Forward.Caller;
  Entry.Statement = Forward.Statement;
  Entry.Token.clear();
  bool Lost = isCut(vmName(Name), vmName(Forward.To)) || !isRunning(Forward.To);
  if (Lost) {
    at(m_Now + m_Delays.Peer, [this, Remote] { failForward(Remote, true); });
    return;
  }
  ForwardReceived Received{Name,
                           Remote,
                           StatementId(ForwardedIdBit | ++m_LastForwarded),
                           Forward.Session,
                           Forward.Body,
                           Forward.TimeLeft};
  Entry.HomeStatement = Received.Statement;
  at(m_Now + m_Delays.Peer, [this, To = Forward.To, Received] {
    if (isRunning(To))
      deliver(To, Received);
    else
      failForward(Received.Caller, true);
  });
}

void LoopbackFleet::failForward(CallerId Remote, bool NeverSent) {
  auto Found = m_Forwarded.find(Remote);
  if (Found == m_Forwarded.end() || !Found->second.Statement)
    return;
  ForwardedCaller Broken = Found->second;
  m_Forwarded.erase(Found);
  deliver(Broken.Home, CallerClosed{Remote});
  deliver(Broken.Origin,
          ForwardLost{Broken.Caller, *Broken.Statement, NeverSent, 0});
}

void LoopbackFleet::answerForward(const VmId &Name,
                                  const AnswerStatement &Answer) {
  auto Found = m_Forwarded.find(Answer.Caller);
  if (Found == m_Forwarded.end() ||
      Found->second.HomeStatement != Answer.Statement)
    return;
  ForwardedCaller &Entry = Found->second;
  ForwardAnswered Reply;
  Reply.Caller = Entry.Caller;
  Reply.Statement = *Entry.Statement;
  Reply.Chunks = Answer.Chunks;
  Reply.Error = Answer.Error;
  Reply.Tag = Answer.Tag;
  Reply.Notice = Answer.Notice;
  Reply.OnReplica = Answer.OnReplica;
  Reply.Token = Entry.Token;
  Reply.InTransaction = Answer.InTransaction;
  Reply.TransactionFailed = Answer.TransactionFailed;
  auto Rows = m_Rows.find({Name, Answer.Statement});
  if (Rows != m_Rows.end()) {
    m_Rows[{Entry.Origin, Reply.Statement}] = std::move(Rows->second);
    m_Rows.erase(Rows);
  }
  VmId Origin = Entry.Origin;
  Entry.Statement.reset();
  if (isCut(vmName(Name), vmName(Origin))) {
    CallerId Remote = Answer.Caller;
    m_Forwarded.erase(Found);
    at(m_Now, [this, Name, Remote] { deliver(Name, CallerClosed{Remote}); });
    ForwardLost Lost{Reply.Caller, Reply.Statement, false, 0};
    at(m_Now + m_Delays.ConnectTimeout,
       [this, Origin, Lost] { deliver(Origin, Lost); });
    return;
  }
  at(m_Now + m_Delays.Peer,
     [this, Origin, Reply = std::move(Reply)] { deliver(Origin, Reply); });
}

void LoopbackFleet::closeForward(const VmId &Name, const CloseForward &Close) {
  for (auto Forwarded = m_Forwarded.begin(); Forwarded != m_Forwarded.end();
       ++Forwarded) {
    const ForwardedCaller &Entry = Forwarded->second;
    if (Entry.Origin != Name || Entry.Home != Close.To ||
        Entry.Caller != Close.Caller)
      continue;
    CallerId Remote = Forwarded->first;
    m_Forwarded.erase(Forwarded);
    at(m_Now + m_Delays.Peer,
       [this, To = Close.To, Remote] { deliver(To, CallerClosed{Remote}); });
    return;
  }
}

void LoopbackFleet::failForwardsOf(const VmId &Gone) {
  std::vector<CallerId> Broken;
  for (const auto &[Id, Entry] : m_Forwarded)
    if (Entry.Home == Gone || Entry.Origin == Gone)
      Broken.push_back(Id);
  for (CallerId Id : Broken) {
    ForwardedCaller Entry = m_Forwarded.at(Id);
    if (Entry.Origin == Gone) {
      m_Forwarded.erase(Id);
      at(m_Now + m_Delays.Peer,
         [this, Home = Entry.Home, Id] { deliver(Home, CallerClosed{Id}); });
      continue;
    }
    at(m_Now + m_Delays.Peer, [this, Id] { failForward(Id, false); });
  }
}

} // namespace bergamotstage::standin
