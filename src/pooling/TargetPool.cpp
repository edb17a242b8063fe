#include "bergamotstage/pooling/TargetPool.h"

#include "bergamotstage/core/Invariant.h"

#include <algorithm>
#include <utility>

namespace bergamotstage::pooling {
namespace {

/// Deadlines of queued and running work are looked at this often.
constexpr Duration TickInterval = milliseconds(25);
/// A target with work in flight that sends nothing for so long is tested by a
/// new connection. Twice the longest usual statement of the slowest class.
constexpr Duration SilenceBeforeProbe = milliseconds(350);
/// The test connection must be open by then: several handshakes' time.
constexpr Duration ProbeTimeout = milliseconds(350);
/// A target that is out of reach is tested again this often.
constexpr Duration ReprobeInterval = milliseconds(300);
/// Rollbacks and the like take no slot: their answer is due in a round trip.
constexpr Duration OwnRequestTimeout = seconds(1);
/// A handshake takes some 10 to 30 ms; beyond this the connection is dead.
constexpr Duration OpenTimeout = seconds(1);
/// An account whose links are all in use gets a further one after so long: a
/// new connection costs a slot about as long as one statement.
constexpr Duration SecondLinkAfter = milliseconds(20);
/// Delay before a target that said it is busy gets the statement again.
constexpr Duration BusyDelay = milliseconds(5);
/// Pause after a connection was refused for the target's limit.
constexpr Duration TooManyDelay = milliseconds(150);
constexpr Duration ReopenDelay = milliseconds(50);
/// Connections that fail in a row before the target counts as out of reach.
constexpr unsigned FailuresBeforeSilent = 2;
/// Mean time of a statement until enough have been seen.
constexpr double FirstServiceSeconds = 0.02;
constexpr double ServiceWeight = 0.05; ///< Of the newest in the moving mean.
/// Operations that may wait for one target; beyond that memory grows and none
/// of them would be served in time.
constexpr std::size_t MaxWaiting = 512;
constexpr Duration MinRetryAfter = milliseconds(20);

bool takesSlot(Verb Kind) { return Kind != Verb::Rollback; }

} // namespace

TargetPool::TargetPool(Context &Shared, TargetId Id, DatabaseId Group,
                       std::string Address, Hooks Ask)
    : m_Context(Shared), m_Id(std::move(Id)), m_Group(std::move(Group)),
      m_Address(std::move(Address)), m_Hooks(std::move(Ask)),
      m_MeanService(FirstServiceSeconds) {}

TargetPool::~TargetPool() {
  if (m_Tick)
    m_Context.timers().cancel(*m_Tick);
}

unsigned TargetPool::waiting() const {
  return static_cast<unsigned>(
      std::count_if(m_Jobs.begin(), m_Jobs.end(), [](const auto &Entry) {
        return Entry.second.At == Phase::Waiting;
      }));
}

Duration TargetPool::expectedWait() const {
  double Seconds = m_MeanService * waiting() / std::max(1U, m_Limits.Slots);
  return Duration(static_cast<Duration::rep>(Seconds * 1e6));
}

// Operations.

void TargetPool::start(Work Asked) {
  auto Refuse = [&](NotRunReason Reason) {
    WorkResult Result;
    Result.Reason = Reason;
    Result.RetryAfter = std::max(MinRetryAfter, expectedWait());
    Result.Queued = waiting();
    m_Hooks.Reply(Asked.Id, std::move(Result));
  };
  if (!m_TakesWork)
    return Refuse(NotRunReason::Leaving);
  if (m_Silent)
    return Refuse(NotRunReason::Unreachable);
  if (m_Jobs.size() >= MaxWaiting || expectedWait() > Asked.QueueTime)
    return Refuse(NotRunReason::Overloaded);
  Job New;
  New.QueuedAt = m_Context.now();
  New.GiveUpAt = m_Context.now() + Asked.QueueTime;
  New.Arrival = ++m_Arrivals;
  WorkId Id = Asked.Id;
  New.Asked = std::move(Asked);
  m_Jobs[Id] = std::move(New);
  pump();
}

void TargetPool::next(const WorkId &Id, Statement Call,
                      const std::optional<SharedValues> &Values,
                      Duration QueueTime) {
  auto Found = m_Jobs.find(Id);
  if (Found == m_Jobs.end() || Found->second.At != Phase::Paused) {
    WorkResult Result;
    Result.What = WorkResult::Kind::NotRun;
    Result.Reason = NotRunReason::Unreachable;
    return m_Hooks.Reply(Id, std::move(Result));
  }
  Job &Open = Found->second;
  Open.Asked.First = std::move(Call);
  if (Values)
    Open.Asked.Values = *Values;
  Open.At = Phase::Waiting;
  Open.QueuedAt = m_Context.now();
  Open.GiveUpAt = m_Context.now() + QueueTime;
  pump();
}

void TargetPool::abandon(const WorkId &Id) {
  auto Found = m_Jobs.find(Id);
  if (Found == m_Jobs.end())
    return;
  Job &Dropped = Found->second;
  bool InFlight =
      Dropped.At == Phase::Running || Dropped.At == Phase::Beginning;
  if (InFlight) {
    Dropped.Abandoned = true;
    return;
  }
  std::optional<LinkId> Link = Dropped.Link;
  m_Jobs.erase(Found);
  if (Link) {
    PoolLink &On = m_Links.at(*Link);
    On.Job.reset();
    rollBack(On);
  }
  pump();
}

void TargetPool::abandonAll(const VmId &Origin) {
  std::vector<WorkId> Dropped;
  for (const auto &[Id, Known] : m_Jobs)
    if (Id.Origin == Origin)
      Dropped.push_back(Id);
  for (const WorkId &Id : Dropped)
    abandon(Id);
}

void TargetPool::reply(const Job &Of, WorkResult Result) {
  if (Of.Abandoned)
    return;
  Result.Queued = waiting();
  m_Hooks.Reply(Of.Asked.Id, std::move(Result));
}

void TargetPool::refuse(const WorkId &Id, NotRunReason Reason) {
  auto Found = m_Jobs.find(Id);
  Job Refused = std::move(Found->second);
  m_Jobs.erase(Found);
  if (Refused.Link) {
    PoolLink &On = m_Links.at(*Refused.Link);
    On.Job.reset();
    rollBack(On);
  }
  WorkResult Result;
  Result.Reason = Reason;
  Result.RetryAfter = std::max(MinRetryAfter, expectedWait());
  reply(Refused, std::move(Result));
}

void TargetPool::loseJob(const WorkId &Id) {
  auto Found = m_Jobs.find(Id);
  if (Found == m_Jobs.end())
    return;
  Job Lost = std::move(Found->second);
  m_Jobs.erase(Found);
  WorkResult Result;
  bool Sent = Lost.At == Phase::Running;
  Result.What = Sent ? WorkResult::Kind::Lost : WorkResult::Kind::NotRun;
  Result.Reason = NotRunReason::Unreachable;
  // A paused transaction learns of its loss with its next statement.
  if (Lost.At != Phase::Paused)
    reply(Lost, std::move(Result));
}

void TargetPool::finishJob(const WorkId &Id) { m_Jobs.erase(Id); }

// Choice of the next statement.

double TargetPool::placeOf(const Job &Waiting) const {
  auto Found = m_Served.find(Waiting.Asked.Account);
  double Served = Found == m_Served.end() ? 0 : Found->second;
  return std::max(Served, m_VirtualTime);
}

bool TargetPool::before(const Job &Left, const Job &Right) const {
  if (Left.Link.has_value() != Right.Link.has_value())
    return Left.Link.has_value();
  if (Left.Asked.Priority != Right.Asked.Priority)
    return Left.Asked.Priority < Right.Asked.Priority;
  double LeftPlace = placeOf(Left);
  double RightPlace = placeOf(Right);
  if (LeftPlace != RightPlace)
    return LeftPlace < RightPlace;
  return Left.Arrival < Right.Arrival;
}

TargetPool::Job *TargetPool::chooseNext() {
  std::vector<Job *> Waiting;
  for (auto &[Id, Known] : m_Jobs)
    if (Known.At == Phase::Waiting && Known.NotBefore <= m_Context.now())
      Waiting.push_back(&Known);
  std::sort(Waiting.begin(), Waiting.end(),
            [this](const Job *Left, const Job *Right) {
              return before(*Left, *Right);
            });
  for (Job *Next : Waiting) {
    if (m_SlotsUsed >= m_Limits.Slots)
      return nullptr;
    if (Next->Link || obtainLink(*Next))
      return Next;
  }
  return nullptr;
}

std::optional<LinkId> TargetPool::idleLink(const AccountId &Account) const {
  std::optional<LinkId> Best;
  Instant BestUsed{};
  for (const auto &[Id, On] : m_Links) {
    bool Fits = On.free() && On.Account == Account;
    if (Fits && (!Best || On.UsedAt > BestUsed)) {
      Best = Id;
      BestUsed = On.UsedAt;
    }
  }
  return Best;
}

bool TargetPool::obtainLink(Job &For) {
  if (auto Idle = idleLink(For.Asked.Account)) {
    For.Link = Idle;
    m_Links.at(*Idle).Job = For.Asked.Id;
    return true;
  }
  if (mayOpen(For))
    openLink(For.Asked.Account);
  return false;
}

bool TargetPool::mayOpen(const Job &For) const {
  if (m_Context.now() < m_OpenAfter || m_Silent)
    return false;
  bool Any = false;
  for (const auto &[Id, On] : m_Links) {
    if (On.Account != For.Asked.Account)
      continue;
    // One at a time: it may serve whoever of the account waits first.
    if (!On.Open)
      return false;
    Any = true;
  }
  return !Any || m_Context.now() - For.QueuedAt >= SecondLinkAfter;
}

bool TargetPool::openLink(const AccountId &Account) {
  if (m_Links.size() >= m_Limits.MaxLinks && !evictIdle())
    return false;
  PoolLink New;
  New.Id = m_Context.newLink();
  New.Account = Account;
  New.OpenedAt = m_Context.now();
  LinkId Id = New.Id;
  PoolLink &On = m_Links[Id] = std::move(New);
  takeSlot(On);
  m_Hooks.Open(Id, LinkTarget{m_Id, m_Address, m_Group, Account});
  armTick();
  return true;
}

bool TargetPool::evictIdle() {
  std::optional<LinkId> Oldest;
  for (const auto &[Id, On] : m_Links)
    if (On.free() && (!Oldest || On.UsedAt < m_Links.at(*Oldest).UsedAt))
      Oldest = Id;
  if (!Oldest)
    return false;
  dropLink(*Oldest, true);
  return true;
}

void TargetPool::pump() {
  while (m_SlotsUsed < m_Limits.Slots) {
    Job *Next = chooseNext();
    if (Next == nullptr)
      break;
    dispatch(*Next);
  }
  if (!m_Jobs.empty())
    armTick();
}

// Statements.

void TargetPool::takeSlot(PoolLink &On) {
  BERGAMOTSTAGE_INVARIANT(!On.HoldsSlot, "a link holds one slot");
  On.HoldsSlot = true;
  ++m_SlotsUsed;
}

void TargetPool::freeSlot(PoolLink &On) {
  if (!On.HoldsSlot)
    return;
  On.HoldsSlot = false;
  BERGAMOTSTAGE_INVARIANT(m_SlotsUsed > 0, "a slot is returned once");
  --m_SlotsUsed;
}

void TargetPool::send(PoolLink &On, const LinkRequest &Request) {
  PoolLink::Sent Asked;
  Asked.What = Request.What;
  Asked.At = m_Context.now();
  Asked.Job = On.Job;
  Asked.Own = On.Own;
  On.Unanswered.push_back(Asked);
  On.UsedAt = m_Context.now();
  m_Hooks.Send(On.Id, Request);
}

void TargetPool::dispatch(Job &Next) {
  PoolLink &On = m_Links.at(*Next.Link);
  BERGAMOTSTAGE_INVARIANT(On.Job && !(*On.Job < Next.Asked.Id) &&
                              !(Next.Asked.Id < *On.Job) &&
                              On.Account == Next.Asked.Account,
                          "statements of different transactions never mix");
  if (takesSlot(Next.Asked.First.Kind))
    takeSlot(On);
  Next.SentAt = m_Context.now();
  double Start = placeOf(Next);
  m_VirtualTime = Start;
  m_Served[Next.Asked.Account] = Start + m_MeanService;
  prepareLink(On, Next);
  const Statement &Call = Next.Asked.First;
  bool SingleRead = Next.Asked.How == Access::Leader && !Call.writes();
  bool Opens = !Next.Begun && (isTransaction(Next.Asked.How) || SingleRead);
  if (!Opens)
    return sendStatement(Next, On);
  // The statement follows once the transaction is open: sent together with a
  // refused begin it would run outside of any.
  Next.At = Phase::Beginning;
  LinkRequest Begin;
  bool Follows = Next.Asked.How == Access::FollowerTransaction;
  Begin.What =
      Follows ? LinkRequest::Kind::BeginReadOnly : LinkRequest::Kind::Begin;
  if (Follows)
    Begin.After = Next.Asked.After;
  send(On, Begin);
}

void TargetPool::prepareLink(PoolLink &On, const Job &Next) {
  static const SessionValues None;
  const SessionValues &Wanted = Next.Asked.Values ? *Next.Asked.Values : None;
  const SessionValues &Held = On.Values ? *On.Values : None;
  bool Surplus = std::any_of(Held.begin(), Held.end(), [&](const auto &Entry) {
    return Wanted.count(Entry.first) == 0;
  });
  if (Surplus) {
    LinkRequest Clear;
    Clear.What = LinkRequest::Kind::ClearSession;
    send(On, Clear);
    On.Prepared.clear();
  }
  for (const auto &[Name, Value] : Wanted) {
    auto Known = Held.find(Name);
    if (!Surplus && Known != Held.end() && Known->second == Value)
      continue;
    LinkRequest Set;
    Set.What = LinkRequest::Kind::SetValue;
    Set.Name = Name;
    Set.Value = Value;
    send(On, Set);
  }
  On.Values = Next.Asked.Values;
  const Statement &Call = Next.Asked.First;
  if (Call.Kind != Verb::Execute || On.Prepared.count(Call.Prepared) > 0)
    return;
  LinkRequest Prepare;
  Prepare.What = LinkRequest::Kind::Prepare;
  Prepare.Name = "p" + std::to_string(++On.LastName);
  Prepare.Prepared = Call.Prepared;
  On.Prepared[Call.Prepared] = Prepare.Name;
  send(On, Prepare);
}

void TargetPool::sendStatement(Job &Running, PoolLink &On) {
  Running.At = Phase::Running;
  LinkRequest Request;
  Request.Call = Running.Asked.First;
  if (Running.Asked.How == Access::Follower)
    Request.After = Running.Asked.After;
  if (Request.Call.Kind == Verb::Execute)
    Request.Name = On.Prepared.at(Request.Call.Prepared);
  bool SingleRead =
      Running.Asked.How == Access::Leader && !Request.Call.writes();
  send(On, Request);
  if (!SingleRead)
    return;
  LinkRequest End;
  End.What = LinkRequest::Kind::Rollback;
  send(On, End);
}

// Answers.

void TargetPool::heard() {
  m_LastHeard = m_Context.now();
  m_OpenFailures = 0;
  if (!m_Silent)
    return;
  m_Silent = false;
  m_Context.log(WriteLog::Level::Info, "target_reachable",
                {{"target", m_Id.value()}, {"group", m_Group.value()}});
  m_Hooks.Reachable(m_Id, true);
}

void TargetPool::linkOpened(LinkId Id,
                            const std::optional<HistoryPoint> & /*Position*/) {
  PoolLink &On = m_Links.at(Id);
  On.Open = true;
  On.UsedAt = m_Context.now();
  if (m_Probe == Id)
    m_Probe.reset();
  freeSlot(On);
  heard();
  runOwnRequests();
  pump();
}

void TargetPool::linkRefused(LinkId Id, ErrorCode Code) {
  m_Context.log(WriteLog::Level::Warning, "link_refused",
                {{"target", m_Id.value()},
                 {"reason", errorName(Code)},
                 {"links", std::to_string(m_Links.size())}});
  dropLink(Id, false);
  if (Code == ErrorCode::WrongTarget)
    return declareSilent("another target has the address");
  heard();
  m_OpenAfter = m_Context.now() + TooManyDelay;
  pump();
}

void TargetPool::linkFailed(LinkId Id, const std::string &Reason) {
  const PoolLink &On = m_Links.at(Id);
  bool WasOpen = On.Open;
  bool Busy = !On.Unanswered.empty() || On.Job;
  if (!WasOpen || Busy)
    m_Context.log(WriteLog::Level::Warning, "link_failed",
                  {{"target", m_Id.value()},
                   {"reason", Reason},
                   {"open", WasOpen ? "yes" : "no"}});
  dropLink(Id, false);
  if (!WasOpen) {
    ++m_OpenFailures;
    m_OpenAfter = m_Context.now() + ReopenDelay;
    bool Heard = m_Context.now() - m_LastHeard < SilenceBeforeProbe;
    if (m_OpenFailures >= FailuresBeforeSilent && !Heard)
      declareSilent("connections fail: " + Reason);
  }
  pump();
}

void TargetPool::dropLink(LinkId Id, bool CloseIt) {
  auto Found = m_Links.find(Id);
  if (Found == m_Links.end())
    return;
  PoolLink Gone = std::move(Found->second);
  freeSlot(Gone);
  m_Links.erase(Found);
  if (m_Probe == Id)
    m_Probe.reset();
  if (CloseIt)
    m_Hooks.Close(Id);
  if (Gone.Own)
    finishOwn(*Gone.Own, std::nullopt);
  if (Gone.Job)
    loseJob(*Gone.Job);
}

void TargetPool::linkReplied(LinkId Id, LinkReply Reply) {
  heard();
  PoolLink &On = m_Links.at(Id);
  if (On.Unanswered.empty()) {
    m_Context.log(WriteLog::Level::Error, "surplus_answer",
                  {{"target", m_Id.value()}});
    dropLink(Id, true);
    return pump();
  }
  PoolLink::Sent Asked = On.Unanswered.front();
  On.Unanswered.pop_front();
  switch (Asked.What) {
  case LinkRequest::Kind::Begin:
  case LinkRequest::Kind::BeginReadOnly:
    began(On, Asked, Reply);
    break;
  case LinkRequest::Kind::Caller:
    answered(On, Asked, std::move(Reply));
    break;
  case LinkRequest::Kind::Rollback:
    if (Reply.State != SessionState::Idle)
      dropLink(Id, true);
    else
      settleLink(On);
    break;
  case LinkRequest::Kind::ClearSession:
  case LinkRequest::Kind::SetValue:
  case LinkRequest::Kind::Prepare:
    if (Reply.Error) {
      m_Context.log(WriteLog::Level::Error, "session_not_restored",
                    {{"target", m_Id.value()},
                     {"error", errorName(*Reply.Error)},
                     {"text", Reply.ErrorText}});
      dropLink(Id, true);
    }
    break;
  default:
    On.Own.reset();
    finishOwn(*Asked.Own, std::move(Reply));
    break;
  }
  runOwnRequests();
  pump();
}

void TargetPool::began(PoolLink &On, const PoolLink::Sent &Asked,
                       const LinkReply &Reply) {
  bool Leads = Asked.What == LinkRequest::Kind::Begin && !Reply.Error &&
               Reply.State == SessionState::InTransaction && Reply.Position;
  if (Leads) {
    m_ProvenAt = Asked.At;
    m_ProvenPosition = Reply.Position;
    m_Hooks.Proven(m_Id, Asked.At, *Reply.Position);
  }
  if (Asked.Own) {
    if (Reply.State == SessionState::InTransaction) {
      On.Own.reset();
      rollBack(On);
    } else {
      On.Own.reset();
    }
    return finishOwn(*Asked.Own, Reply);
  }
  auto Found = m_Jobs.find(*Asked.Job);
  if (Found == m_Jobs.end())
    return dropLink(On.Id, true);
  Job &Of = Found->second;
  bool Opened = !Reply.Error && Reply.State == SessionState::InTransaction;
  if (Opened && !Of.Abandoned) {
    Of.Begun = true;
    return sendStatement(Of, On);
  }
  freeSlot(On);
  LinkId Link = On.Id;
  On.Job.reset();
  Job Ended = std::move(Of);
  m_Jobs.erase(Found);
  if (Opened)
    rollBack(On);
  else if (Reply.State != SessionState::Idle)
    dropLink(Link, true);
  WorkResult Result;
  Result.What = WorkResult::Kind::Answered;
  Result.Error = Reply.Error.value_or(ErrorCode::Other);
  Result.ErrorText = Reply.ErrorText;
  reply(Ended, std::move(Result));
}

void TargetPool::requeue(Job &Again) {
  Again.At = Phase::Waiting;
  Again.NotBefore = m_Context.now() + BusyDelay;
  if (isTransaction(Again.Asked.How))
    return;
  Again.Link.reset();
  Again.Begun = false;
}

void TargetPool::answered(PoolLink &On, const PoolLink::Sent &Asked,
                          LinkReply Reply) {
  freeSlot(On);
  auto Found = m_Jobs.find(*Asked.Job);
  if (Found == m_Jobs.end())
    return dropLink(On.Id, true);
  Job &Of = Found->second;
  bool Commits = Of.Asked.First.Kind == Verb::Commit;
  bool Single = !isTransaction(Of.Asked.How);
  Duration Held = m_Context.now() - Of.SentAt;
  m_MeanService += ServiceWeight * (toSeconds(Held) - m_MeanService);
  bool BusyNow = Reply.Error == ErrorCode::Busy &&
                 m_Context.now() + BusyDelay < Of.GiveUpAt && !Of.Abandoned;
  if (BusyNow && Single) {
    On.Job.reset();
    requeue(Of);
    settleLink(On);
    return;
  }
  if (BusyNow && Reply.State == SessionState::InTransaction)
    return requeue(Of);

  WorkResult Result;
  Result.What = WorkResult::Kind::Answered;
  Result.Error = Reply.Error;
  Result.ErrorText = std::move(Reply.ErrorText);
  Result.Rows = std::move(Reply.Rows);
  Result.Signature = std::move(Reply.Signature);
  Result.Position = Reply.Position;
  Result.State = Single ? SessionState::Idle : Reply.State;
  bool Changed = Commits || Of.Asked.First.writes();
  Result.LeaderProven =
      !Reply.Error && needsLeader(Of.Asked.How) && (Single || !Commits);
  if (Result.LeaderProven && Reply.Position && (Single || !Changed)) {
    m_ProvenAt = Asked.At;
    m_ProvenPosition = Reply.Position;
  }
  bool Over = Single || Reply.State == SessionState::Idle;
  if (!Over && !Of.Abandoned) {
    Of.At = Phase::Paused;
    Of.QueuedAt = m_Context.now();
    return reply(Of, std::move(Result));
  }
  Job Ended = std::move(Of);
  m_Jobs.erase(Found);
  On.Job.reset();
  if (!Over)
    rollBack(On);
  else
    settleLink(On);
  reply(Ended, std::move(Result));
}

void TargetPool::rollBack(PoolLink &On) {
  LinkRequest End;
  End.What = LinkRequest::Kind::Rollback;
  send(On, End);
}

/// @brief A link that still waits for the end of its own transaction is not
/// free; nothing else is left to do for one that ended cleanly.
void TargetPool::settleLink(PoolLink &On) {
  if (On.Job && m_Jobs.count(*On.Job) == 0)
    On.Job.reset();
}

// Requests of the proxy's own.

void TargetPool::prove(const AccountId &Account, Duration Youngest,
                       ProofCallback Done) {
  bool Fresh = m_ProvenPosition && m_Context.now() - m_ProvenAt <= Youngest;
  if (Fresh)
    return Done(m_ProvenPosition, m_ProvenAt);
  Instant AskedAt = m_Context.now();
  LinkRequest Begin;
  Begin.What = LinkRequest::Kind::Begin;
  command(Account, std::move(Begin),
          [this, AskedAt,
           Done = std::move(Done)](const std::optional<LinkReply> &Reply) {
            bool Leads = Reply && !Reply->Error && Reply->Position &&
                         Reply->State == SessionState::InTransaction;
            if (!Leads)
              return Done(std::nullopt, AskedAt);
            Done(Reply->Position, AskedAt);
          });
}

void TargetPool::command(const AccountId &Account, LinkRequest Request,
                         StatusCallback Done) {
  if (m_Silent)
    return Done(std::nullopt);
  m_Own[++m_LastOwn] = {Account, std::move(Request), std::move(Done),
                        m_Context.now() + ProbeTimeout};
  runOwnRequests();
  armTick();
}

void TargetPool::runOwnRequests() {
  for (auto &[Number, Next] : m_Own) {
    bool Sent = std::any_of(m_Links.begin(), m_Links.end(),
                            [Number = Number](const auto &Entry) {
                              return Entry.second.Own == Number;
                            });
    if (Sent)
      continue;
    std::optional<LinkId> Free;
    bool Opening = false;
    for (const auto &[Id, On] : m_Links) {
      Opening = Opening || !On.Open;
      if (On.free())
        Free = Id;
    }
    if (Free) {
      PoolLink &On = m_Links.at(*Free);
      On.Own = Number;
      send(On, Next.Request);
      continue;
    }
    if (!Opening && m_Context.now() >= m_OpenAfter)
      openLink(Next.Account);
  }
}

void TargetPool::finishOwn(std::uint64_t Number,
                           std::optional<LinkReply> Reply) {
  auto Found = m_Own.find(Number);
  if (Found == m_Own.end())
    return;
  StatusCallback Done = std::move(Found->second.Done);
  m_Own.erase(Found);
  Done(std::move(Reply));
}

// Time.

void TargetPool::armTick() {
  if (m_Tick)
    return;
  bool OnlyProbes = m_Silent && m_Jobs.empty() && m_Own.empty() && !m_Probe;
  m_Tick = m_Context.after(OnlyProbes ? ReprobeInterval : TickInterval, [this] {
    m_Tick.reset();
    tick();
  });
}

void TargetPool::tick() {
  expireJobs();
  watchSilence();
  runOwnRequests();
  pump();
  bool Opening =
      std::any_of(m_Links.begin(), m_Links.end(),
                  [](const auto &Entry) { return !Entry.second.Open; });
  if (!m_Jobs.empty() || !m_Own.empty() || Opening || m_Silent)
    armTick();
}

void TargetPool::expireJobs() {
  Instant Now = m_Context.now();
  std::vector<WorkId> GiveUp;
  std::vector<LinkId> Overdue;
  for (auto &[Id, Known] : m_Jobs) {
    bool Waits = Known.At == Phase::Waiting;
    if (Waits && Known.GiveUpAt <= Now)
      GiveUp.push_back(Id);
    bool InFlight = Known.At == Phase::Running || Known.At == Phase::Beginning;
    if (InFlight && Known.SentAt + Known.Asked.StatementTimeout <= Now)
      Overdue.push_back(*Known.Link);
    bool Idle = Known.At == Phase::Paused &&
                Known.QueuedAt + m_Limits.TransactionIdle <= Now;
    if (Idle) {
      m_Context.log(WriteLog::Level::Info, "transaction_idle",
                    {{"target", m_Id.value()},
                     {"origin", Id.Origin.value()},
                     {"work", std::to_string(Id.Number)}});
      GiveUp.push_back(Id);
    }
  }
  for (const auto &[Id, On] : m_Links) {
    bool Stuck = !On.Job && !On.Own && !On.Unanswered.empty() &&
                 On.Unanswered.front().At + OwnRequestTimeout <= Now;
    if (Stuck || (!On.Open && On.OpenedAt + OpenTimeout <= Now))
      Overdue.push_back(Id);
  }
  for (const WorkId &Id : GiveUp) {
    if (m_Jobs.at(Id).At == Phase::Paused)
      abandon(Id);
    else
      refuse(Id, NotRunReason::Overloaded);
  }
  for (LinkId Id : Overdue) {
    m_Context.log(WriteLog::Level::Warning, "link_overdue",
                  {{"target", m_Id.value()},
                   {"silent_ms", inMilliseconds(Now - m_LastHeard)}});
    dropLink(Id, true);
  }
  std::vector<std::uint64_t> Late;
  for (const auto &[Number, Known] : m_Own)
    if (Known.GiveUpAt <= Now)
      Late.push_back(Number);
  for (std::uint64_t Number : Late) {
    for (const auto &[Id, On] : m_Links)
      if (On.Own == Number) {
        dropLink(Id, true);
        break;
      }
    finishOwn(Number, std::nullopt);
  }
}

void TargetPool::watchSilence() {
  Instant Now = m_Context.now();
  if (m_Probe) {
    if (m_ProbeAt + ProbeTimeout > Now)
      return;
    LinkId Late = *m_Probe;
    dropLink(Late, true);
    return declareSilent("a test connection was not opened in time");
  }
  bool TestAgain = m_Silent && m_ProbeAt + ReprobeInterval <= Now;
  std::optional<Instant> Oldest;
  for (const auto &[Id, On] : m_Links)
    if (!On.Unanswered.empty() &&
        (!Oldest || On.Unanswered.front().At < *Oldest))
      Oldest = On.Unanswered.front().At;
  bool Suspect =
      Oldest && Now - std::max(*Oldest, m_LastHeard) >= SilenceBeforeProbe;
  if (!TestAgain && !Suspect)
    return;
  AccountId Account;
  for (const auto &[Id, Known] : m_Jobs)
    Account = Known.Asked.Account;
  if (Account.value().empty() && !m_Served.empty())
    Account = m_Served.begin()->first;
  if (Account.value().empty())
    return;
  if (m_Links.size() >= m_Limits.MaxLinks && !evictIdle())
    return;
  PoolLink New;
  New.Id = m_Context.newLink();
  New.Account = Account;
  New.OpenedAt = Now;
  m_Probe = New.Id;
  m_ProbeAt = Now;
  m_Links[New.Id] = New;
  m_Hooks.Open(New.Id, LinkTarget{m_Id, m_Address, m_Group, Account});
}

void TargetPool::declareSilent(const std::string &Reason) {
  bool Was = m_Silent;
  m_Silent = true;
  m_ProbeAt = m_Context.now();
  armTick();
  if (Was)
    return m_Hooks.Reachable(m_Id, false);
  m_Context.log(WriteLog::Level::Warning, "target_unreachable",
                {{"target", m_Id.value()},
                 {"group", m_Group.value()},
                 {"reason", Reason},
                 {"silent_ms", inMilliseconds(m_Context.now() - m_LastHeard)},
                 {"jobs", std::to_string(m_Jobs.size())}});
  std::vector<WorkId> Refused;
  std::vector<LinkId> Dropped;
  for (const auto &[Id, Known] : m_Jobs) {
    bool MayTakeEffect =
        Known.At == Phase::Running &&
        (Known.Asked.First.Kind == Verb::Commit || Known.Asked.First.writes());
    if (MayTakeEffect)
      continue;
    if (Known.Link)
      Dropped.push_back(*Known.Link);
    else
      Refused.push_back(Id);
  }
  for (const auto &[Id, On] : m_Links)
    if (On.free() || On.Own)
      Dropped.push_back(Id);
  for (const WorkId &Id : Refused)
    refuse(Id, NotRunReason::Unreachable);
  for (LinkId Id : Dropped)
    dropLink(Id, true);
  m_Hooks.Reachable(m_Id, false);
}

void TargetPool::trim(Duration UnusedFor) {
  std::vector<LinkId> Unused;
  std::size_t Surplus = m_Links.size() > m_Limits.MaxLinks
                            ? m_Links.size() - m_Limits.MaxLinks
                            : 0;
  for (const auto &[Id, On] : m_Links) {
    bool Old = On.UsedAt + UnusedFor <= m_Context.now();
    if (On.free() && (Old || Unused.size() < Surplus))
      Unused.push_back(Id);
  }
  for (LinkId Id : Unused)
    dropLink(Id, true);
}

void TargetPool::shutDown(const std::string &Reason) {
  m_TakesWork = false;
  m_Context.log(WriteLog::Level::Info, "target_released",
                {{"target", m_Id.value()},
                 {"reason", Reason},
                 {"jobs", std::to_string(m_Jobs.size())}});
  std::vector<WorkId> Refused;
  for (const auto &[Id, Known] : m_Jobs)
    if (!Known.Link)
      Refused.push_back(Id);
  for (const WorkId &Id : Refused)
    refuse(Id, NotRunReason::Leaving);
  while (!m_Links.empty())
    dropLink(m_Links.begin()->first, true);
  while (!m_Own.empty())
    finishOwn(m_Own.begin()->first, std::nullopt);
}

} // namespace bergamotstage::pooling
