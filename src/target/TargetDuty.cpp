#include "bergamotstage/target/TargetDuty.h"

#include "bergamotstage/rules/PolicyChoice.h"

#include <variant>

namespace bergamotstage {
TargetDuty::TargetDuty(NodeContext &Context)
    : m_Context(Context), m_Links(Context), m_Monitors(Context),
      m_Confirmation(Context, m_Monitors), m_PrimaryCheck(Context, m_Monitors) {
  m_Links.onReport([this](const TargetId &Target, const LinkAnswered &Answer) {
    takeReport(Target, Answer);
  });
  m_Links.onOpen([this](const TargetId &Target, bool Opened) {
    takeOutcome(Target, Opened);
  });
  m_Links.onLoad(
      [this](const TargetId &Target, unsigned Running, std::size_t Queued) {
        takeLoad(Target, Running, Queued);
      });
  m_Monitors.onOutcome(
      [this](const TargetId &Target, const LinkResult &Result) {
        if (Result)
          takeReport(Target, *Result);
        else
          takeOutcome(Target, false);
      });
}

void TargetDuty::start() {
  configureLinks();
  readGroups();
  m_Context.timers().schedule(m_Context.now() +
                                  m_Context.settings().GroupsPollInterval,
                              [this] { start(); });
}

void TargetDuty::rulesChanged() {
  std::map<DatabaseId, GroupState> Groups;
  m_DatabaseOf.clear();
  for (const auto &[Id, Rule] : m_Context.rules().Targets) {
    GroupState &Group = Groups[Rule.Database];
    Group.Database = Rule.Database;
    TargetState Target;
    if (const GroupState *Old = group(Rule.Database)) {
      Group.CurrentTerm = Old->CurrentTerm;
      Group.Primary = Old->Primary;
      if (const TargetState *Known = Old->find(Id))
        Target = *Known;
    }
    Target.Id = Id;
    Target.DataCentre = Rule.DataCentre;
    Target.Address = Rule.Address;
    Group.Targets.push_back(Target);
    m_DatabaseOf[Id] = Rule.Database;
  }
  m_Groups = std::move(Groups);
  chooseQueue();
  configureLinks();
  readGroups();
}

void TargetDuty::chooseQueue() {
  PolicyChoice Choice = choosePolicy(m_Context.rules(), "queue", "fair", 0);
  QueuePolicy Policy = queuePolicy(Choice.Choice);
  if (!Policy) {
    m_Context.log(WriteLog::Level::Error, "queue_policy_unknown",
                  {{"choice", Choice.Choice}, {"used", "fair"}});
    Policy = queuePolicy("fair");
  }
  m_Links.setQueuePolicy(Policy);
}

void TargetDuty::configureLinks() {
  for (const auto &[Id, Rule] : m_Context.rules().Targets) {
    TargetShare Share = shareOfTarget(Rule, m_Context.members());
    m_Links.configure(Id, Rule.Address, Rule.Database.value(), Share);
    m_Monitors.configure(Id, Rule.Address, Rule.Database.value(),
                         Share.MonitorLinks);
    GroupState *Group = groupOf(Id);
    if (TargetState *Target = Group == nullptr ? nullptr : Group->find(Id))
      Target->Slots = Share.Slots;
  }
}

void TargetDuty::linkOpened(const LinkOpened &Event) {
  m_Links.opened(Event);
  m_Monitors.opened(Event);
}

void TargetDuty::linkFailed(const LinkFailed &Event) {
  m_Links.failed(Event);
  m_Monitors.failed(Event);
}

void TargetDuty::linkAnswered(const LinkAnswered &Event) {
  m_Links.answered(Event);
  m_Monitors.answered(Event);
}

void TargetDuty::verifyPrimary(const DatabaseId &Database,
                               PrimaryCheck::Callback Done) {
  const GroupState *Group = group(Database);
  if (Group == nullptr)
    return Done(false);
  m_PrimaryCheck.verify(*Group, std::move(Done));
}

GroupState *TargetDuty::groupOf(const TargetId &Target) {
  auto Database = m_DatabaseOf.find(Target);
  return Database == m_DatabaseOf.end() ? nullptr : group(Database->second);
}

GroupState *TargetDuty::group(const DatabaseId &Database) {
  auto Found = m_Groups.find(Database);
  return Found == m_Groups.end() ? nullptr : &Found->second;
}

void TargetDuty::peerReceived(const PeerReceived &) {}

void TargetDuty::readGroups() {
  m_Context.callPlatform(ReadGroups{}, [this](const PlatformAnswer &Answer) {
    if (const auto *Read = std::get_if<GroupsRead>(&Answer))
      takeGroups(*Read);
  });
}

void TargetDuty::takeGroups(const GroupsRead &Read) {
  for (const ListedGroup &Listed : Read.Groups) {
    GroupState *Group = group(Listed.Database);
    if (Group == nullptr || Listed.CurrentTerm < Group->CurrentTerm)
      continue;
    Group->CurrentTerm = Listed.CurrentTerm;
    Group->Primary = Listed.Primary;
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

void TargetDuty::takeReport(const TargetId &Id, const LinkAnswered &Answer) {
  GroupState *Group = groupOf(Id);
  TargetState *Target = Group == nullptr ? nullptr : Group->find(Id);
  if (Target == nullptr)
    return;
  Target->ReportedAt = m_Context.now();
  Target->Suspected = false;
  if (Target->Replayed < Answer.Reported)
    Target->Replayed = Answer.Reported;
  m_Confirmation.observed(Group->Database, Id, Answer.Reported);
}

void TargetDuty::takeOutcome(const TargetId &Id, bool Answered) {
  GroupState *Group = groupOf(Id);
  if (TargetState *Target = Group == nullptr ? nullptr : Group->find(Id))
    Target->Suspected = !Answered;
}

void TargetDuty::takeLoad(const TargetId &Id, unsigned Running,
                          std::size_t Queued) {
  GroupState *Group = groupOf(Id);
  TargetState *Target = Group == nullptr ? nullptr : Group->find(Id);
  if (Target == nullptr)
    return;
  Target->Running = Running;
  Target->Queued = static_cast<unsigned>(Queued);
}

} // namespace bergamotstage
