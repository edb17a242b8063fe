#include "bergamotstage/target/TargetManager.h"

#include "bergamotstage/forward/HomeVm.h"
#include "bergamotstage/rules/PolicyChoice.h"

#include <utility>
#include <variant>

namespace bergamotstage {

TargetManager::TargetManager(NodeContext &Context)
    : m_Context(Context), m_Links(Context), m_Monitors(Context),
      m_Confirmer(Context, m_Monitors),
      m_Failover(
          Context, m_Monitors,
          [this](const DatabaseId &Database) { return group(Database); }),
      m_PrimaryWaiters(Context) {
  setLinkHooks();
  setFailoverHooks();
}

void TargetManager::setLinkHooks() {
  m_Links.setAnswerHook(
      [this](const TargetId &Target, const LinkAnswered &Answer) {
        onAnswer(Target, Answer);
      });
  m_Links.setOpenHook([this](const TargetId &Target, bool Opened) {
    onLinkOutcome(Target, Opened);
  });
  m_Links.setLoadHook(
      [this](const TargetId &Target, unsigned Running, std::size_t Queued) {
        onLoad(Target, Running, Queued);
      });
  m_Monitors.setOutcomeHook(
      [this](const TargetId &Target, const LinkResult &Result) {
        if (Result)
          onAnswer(Target, *Result);
        else
          onLinkOutcome(Target, false);
      });
  m_Links.setOverdueHook([this](const TargetId &Target) {
    if (const GroupState *Group = findGroupOf(Target))
      m_Failover.onTargetOverdue(Group->Database, Target);
  });
}

void TargetManager::setFailoverHooks() {
  m_Confirmer.setFencedHook(
      [this](const DatabaseId &Database, Term FencedTerm) {
        m_Failover.onTermFenced(Database, FencedTerm);
      });
  m_Failover.setRefreshHook([this] { readGroups(); });
  m_Failover.setPromotedHook([this](const DatabaseId &Database, Term NewTerm,
                                    const TargetId &Primary) {
    if (GroupState *Group = group(Database))
      setPrimary(*Group, NewTerm, Primary);
  });
  m_Failover.setStateHook([this](const DatabaseId &Database,
                                 FailoverCoordinator::State State) {
    if (State == FailoverCoordinator::State::Normal)
      m_PrimaryWaiters.releaseAll(Database);
    if (State == FailoverCoordinator::State::Blocked)
      m_PrimaryWaiters.refuseAll(Database,
                                 "no target can be made primary of database '" +
                                     Database.value() + "' at present");
  });
}

void TargetManager::start() {
  configureLinks();
  readGroups();
  m_Context.timers().schedule(m_Context.now() +
                                  m_Context.settings().GroupsPollInterval,
                              [this] { start(); });
}

void TargetManager::onRulesChanged() {
  std::map<DatabaseId, GroupState> Groups;
  m_DatabaseOf.clear();
  for (const auto &[Id, Rule] : m_Context.rules().Targets) {
    GroupState &Group = Groups[Rule.Database];
    Group.Database = Rule.Database;
    TargetState Target;
    if (const GroupState *OldGroup = group(Rule.Database)) {
      Group.CurrentTerm = OldGroup->CurrentTerm;
      Group.Primary = OldGroup->Primary;
      if (const TargetState *OldTarget = OldGroup->find(Id))
        Target = *OldTarget;
    }
    Target.Id = Id;
    Target.DataCentre = Rule.DataCentre;
    Target.Address = Rule.Address;
    Group.Targets.push_back(Target);
    m_DatabaseOf[Id] = Rule.Database;
  }
  m_Groups = std::move(Groups);
  applyQueuePolicy();
  configureLinks();
  readGroups();
}

void TargetManager::applyQueuePolicy() {
  PolicyChoice Choice = choosePolicy(m_Context.rules(), "queue", "fair", 0);
  QueuePolicy Policy = queuePolicy(Choice.Choice);
  if (!Policy) {
    m_Context.log(WriteLog::Level::Error, "queue_policy_unknown",
                  {{"choice", Choice.Choice}, {"used", "fair"}});
    Policy = queuePolicy("fair");
  }
  m_Links.setQueuePolicy(Policy);
}

bool TargetManager::isHome(const DatabaseId &Database) const {
  DataCentreId PrimaryCentre;
  auto Found = m_Groups.find(Database);
  if (Found != m_Groups.end())
    if (const TargetState *Primary = Found->second.find(Found->second.Primary))
      PrimaryCentre = Primary->DataCentre;
  return chooseHomeVm(Database, PrimaryCentre, m_Context.members()) ==
         m_Context.settings().Vm;
}

void TargetManager::configureLinks() {
  for (const auto &[Id, Rule] : m_Context.rules().Targets) {
    TargetShare Share =
        computeTargetShare(Rule, m_Context.members(), isHome(Rule.Database));
    m_Links.configure(Id, Rule.Address, Rule.Database.value(), Share);
    m_Monitors.configure(Id, Rule.Address, Rule.Database.value(),
                         Share.MonitorLinks);
    GroupState *Group = findGroupOf(Id);
    if (TargetState *Target = Group == nullptr ? nullptr : Group->find(Id))
      Target->Slots = Share.Slots;
  }
}

void TargetManager::onLinkOpened(const LinkOpened &Event) {
  m_Links.onLinkOpened(Event);
  m_Monitors.onLinkOpened(Event);
}

void TargetManager::onLinkFailed(const LinkFailed &Event) {
  m_Links.onLinkFailed(Event);
  m_Monitors.onLinkFailed(Event);
}

void TargetManager::onLinkAnswered(const LinkAnswered &Event) {
  m_Links.onLinkAnswered(Event);
  m_Monitors.onLinkAnswered(Event);
}

GroupState *TargetManager::findGroupOf(const TargetId &Target) {
  auto Database = m_DatabaseOf.find(Target);
  return Database == m_DatabaseOf.end() ? nullptr : group(Database->second);
}

GroupState *TargetManager::group(const DatabaseId &Database) {
  auto Found = m_Groups.find(Database);
  return Found == m_Groups.end() ? nullptr : &Found->second;
}

void TargetManager::onPeerMessage(const PeerReceived &Event) {
  m_Failover.onPeerMessage(Event);
}

void TargetManager::setPrimary(GroupState &Group, Term NewTerm,
                               const TargetId &Primary) {
  TargetId OldPrimary = Group.Primary;
  Group.CurrentTerm = NewTerm;
  Group.Primary = Primary;
  m_Context.log(WriteLog::Level::Info, "primary_known",
                {{"database", Group.Database.value()},
                 {"term", std::to_string(NewTerm.value())},
                 {"primary", Primary.value()}});
  DatabaseId Database = Group.Database;
  const TargetState *OldTarget = Group.find(OldPrimary);
  if (OldTarget != nullptr && OldPrimary != Primary) {
    if (OldTarget->Suspected)
      m_Links.closeAll(OldPrimary, "the primary was replaced");
    else
      m_Links.refuseWaiters(OldPrimary, "the primary was replaced");
  }
  m_Failover.onPrimaryKnown(Database);
}

void TargetManager::acquirePrimary(const DatabaseId &Database,
                                   const AccountId &Account, Instant Deadline,
                                   LinkPool::AcquireCallback Callback) {
  const GroupState *Group = group(Database);
  if (Group == nullptr)
    return Callback(tl::make_unexpected(PrimaryWaitQueue::noPrimaryRefusal(
        "the database \"" + Database.value() + "\" has no targets")));
  FailoverCoordinator::State State = m_Failover.state(Database);
  if (State == FailoverCoordinator::State::Blocked)
    return Callback(tl::make_unexpected(PrimaryWaitQueue::noPrimaryRefusal(
        "no target can be made primary of database '" + Database.value() +
        "' at present")));
  const TargetState *Primary = Group->find(Group->Primary);
  bool MustWait = State == FailoverCoordinator::State::FailingOver ||
                  Primary == nullptr || Primary->Suspected;
  if (MustWait) {
    auto Retry = [this, Database, Account, Deadline,
                  Callback](const tl::expected<void, Refusal> &Result) {
      if (!Result)
        return Callback(tl::make_unexpected(Result.error()));
      acquirePrimary(Database, Account, Deadline, Callback);
    };
    return m_PrimaryWaiters.enqueue(Database, Deadline, Retry);
  }
  TargetId RequestedFrom = Group->Primary;
  m_Links.acquire(
      RequestedFrom, Account, Deadline,
      [this, RequestedFrom, Database, Account, Deadline,
       Callback = std::move(Callback)](const LinkPool::AcquireResult &Result) {
        const GroupState *LatestGroup = group(Database);
        bool PrimaryChanged =
            LatestGroup != nullptr && LatestGroup->Primary != RequestedFrom;
        if (Result || !PrimaryChanged || m_Context.now() >= Deadline)
          return Callback(Result);
        acquirePrimary(Database, Account, Deadline, Callback);
      });
}

void TargetManager::readGroups() {
  m_Context.callPlatform(ReadGroups{}, [this](const PlatformAnswer &Answer) {
    if (const auto *Read = std::get_if<GroupsRead>(&Answer))
      onGroupsRead(*Read);
  });
}

void TargetManager::onGroupsRead(const GroupsRead &Read) {
  for (const ListedGroup &Listed : Read.Groups) {
    GroupState *Group = group(Listed.Database);
    if (Group == nullptr || Listed.CurrentTerm < Group->CurrentTerm)
      continue;
    if (Group->CurrentTerm < Listed.CurrentTerm ||
        Group->Primary.value().empty())
      setPrimary(*Group, Listed.CurrentTerm, Listed.Primary);
    m_Failover.monitorPrimary(Listed.Database);
    for (const ListedTarget &Entry : Listed.Targets) {
      TargetState *Target = Group->find(Entry.Target);
      if (Target == nullptr)
        continue;
      Target->Leaving = Entry.Leaving;
      if (Target->Replayed < Entry.Replayed)
        Target->Replayed = Entry.Replayed;
    }
  }
}

void TargetManager::onAnswer(const TargetId &Id, const LinkAnswered &Answer) {
  GroupState *Group = findGroupOf(Id);
  TargetState *Target = Group == nullptr ? nullptr : Group->find(Id);
  if (Target == nullptr)
    return;
  Target->ReportedAt = m_Context.now();
  clearSuspicion(*Group, *Target);
  if (Target->Replayed < Answer.Reported)
    Target->Replayed = Answer.Reported;
  if (Group->CurrentTerm < Answer.Reported.AtTerm)
    readGroups();
  DatabaseId Database = Group->Database;
  m_Confirmer.onPosition(Database, Id, Answer.Reported);
}

void TargetManager::clearSuspicion(const GroupState &Group,
                                   TargetState &Target) {
  if (!Target.Suspected)
    return;
  Target.Suspected = false;
  bool IsNormal =
      m_Failover.state(Group.Database) == FailoverCoordinator::State::Normal;
  if (Group.Primary == Target.Id && IsNormal)
    m_PrimaryWaiters.releaseAll(Group.Database);
}

void TargetManager::onLinkOutcome(const TargetId &Id, bool Answered) {
  GroupState *Group = findGroupOf(Id);
  TargetState *Target = Group == nullptr ? nullptr : Group->find(Id);
  if (Target == nullptr)
    return;
  if (Answered)
    return clearSuspicion(*Group, *Target);
  Target->Suspected = true;
  m_Failover.onTargetFailed(Group->Database, Id);
}

void TargetManager::onLoad(const TargetId &Id, unsigned Running,
                           std::size_t Queued) {
  GroupState *Group = findGroupOf(Id);
  TargetState *Target = Group == nullptr ? nullptr : Group->find(Id);
  if (Target == nullptr)
    return;
  Target->Running = Running;
  Target->Queued = static_cast<unsigned>(Queued);
}

} // namespace bergamotstage
