#include "bergamotstage/target/TargetDuty.h"

#include <algorithm>
#include <variant>

namespace bergamotstage {
namespace {

/// @brief This VM's part of a target's limit while VMs share it evenly.
unsigned shareOf(unsigned Limit, unsigned Vms) {
  return std::max(1U, Limit / std::max(1U, Vms));
}

constexpr unsigned VmsOfToday = 2;

} // namespace

TargetDuty::TargetDuty(NodeContext &Context)
    : m_Context(Context), m_Links(Context), m_Confirmation(Context, m_Links) {
  m_Links.onReport([this](const TargetId &Target, const LinkAnswered &Answer) {
    takeReport(Target, Answer);
  });
}

void TargetDuty::start() {
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
    Target.Slots = shareOf(Rule.Slots, VmsOfToday);
    Group.Targets.push_back(Target);
    m_DatabaseOf[Id] = Rule.Database;
    m_Links.configure(Id, Rule.Address, Rule.Database.value(), Target.Slots,
                      shareOf(Rule.Connections, VmsOfToday));
  }
  m_Groups = std::move(Groups);
  readGroups();
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
  auto Database = m_DatabaseOf.find(Id);
  if (Database == m_DatabaseOf.end())
    return;
  GroupState *Group = group(Database->second);
  TargetState *Target = Group == nullptr ? nullptr : Group->find(Id);
  if (Target == nullptr)
    return;
  Target->ReportedAt = m_Context.now();
  if (Target->Replayed < Answer.Reported)
    Target->Replayed = Answer.Reported;
}

} // namespace bergamotstage
