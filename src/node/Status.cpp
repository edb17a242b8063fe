#include "bergamotstage/node/Status.h"

#include <nlohmann/json.hpp>

#include <sstream>

namespace bergamotstage {
namespace {

using Json = nlohmann::json;

double percentOf(std::int64_t Amount) {
  constexpr double Percent = 100;
  return Percent * static_cast<double>(Amount) /
         static_cast<double>(ContractFraction::Whole);
}

Json membersJson(const NodeContext &Context) {
  Json All = Json::array();
  for (const auto &[Id, Member] : Context.members())
    All.push_back({{"vm", Id.value()},
                   {"data_centre", Member.DataCentre.value()},
                   {"reachable", Member.Reachable},
                   {"leaving", Member.Leaving}});
  return All;
}

Json targetsJson(const GroupState &Group) {
  Json All = Json::array();
  for (const TargetState &Target : Group.Targets)
    All.push_back({{"target", Target.Id.value()},
                   {"term", Target.Replayed.AtTerm.value()},
                   {"position", Target.Replayed.Position.value()},
                   {"running", Target.Running},
                   {"queued", Target.Queued},
                   {"leaving", Target.Leaving}});
  return All;
}

Json groupsJson(const TargetManager &Targets) {
  Json All = Json::array();
  for (const auto &[Database, Group] : Targets.groups())
    All.push_back({{"database", Database.value()},
                   {"term", Group.CurrentTerm.value()},
                   {"primary", Group.Primary.value()},
                   {"targets", targetsJson(Group)}});
  return All;
}

Json allocationsJson(const AccountManager &Accounts) {
  Json All = Json::array();
  for (const auto &[Account, Limiter] : Accounts.limiters()) {
    RateLimiterStatus Status = Limiter->status();
    All.push_back({{"account", Account.value()},
                   {"rate_percent", percentOf(Status.Fraction.Rate)},
                   {"burst_percent", percentOf(Status.Fraction.Burst)},
                   {"holders", Status.Holders},
                   {"waiting", Status.Waiting}});
  }
  return All;
}

} // namespace

std::string renderStatusJson(const NodeContext &Context,
                             const TargetManager &Targets,
                             const AccountManager &Accounts) {
  Json All = {{"vm", Context.settings().Vm.value()},
              {"revision", Context.rules().Number.value()},
              {"rules_current", Context.rulesAreCurrent()},
              {"vms", membersJson(Context)},
              {"groups", groupsJson(Targets)},
              {"allocations", allocationsJson(Accounts)},
              {"metrics", Json::parse(metrics::renderJson(Context.metrics()))}};
  constexpr int Indent = 2;
  return All.dump(Indent);
}

std::string renderStatusText(const NodeContext &Context,
                             const TargetManager &Targets,
                             const AccountManager &Accounts) {
  std::ostringstream Out;
  Out << "vm " << Context.settings().Vm << " revision "
      << Context.rules().Number
      << (Context.rulesAreCurrent() ? "" : " (not known to be current)")
      << "\n\nVMs\n";
  for (const auto &[Id, Member] : Context.members())
    Out << "  " << Id << " " << Member.DataCentre
        << (Member.Reachable ? "" : " unreachable")
        << (Member.Leaving ? " leaving" : "") << "\n";
  Out << "\nTargets\n";
  for (const auto &[Database, Group] : Targets.groups()) {
    Out << "  " << Database << " term " << Group.CurrentTerm << " primary "
        << Group.Primary << "\n";
    for (const TargetState &Target : Group.Targets)
      Out << "    " << Target.Id << " at " << Target.Replayed.AtTerm << "/"
          << Target.Replayed.Position << " running " << Target.Running
          << " queued " << Target.Queued << "\n";
  }
  Out << "\nShares of rates\n";
  for (const auto &[Account, Limiter] : Accounts.limiters()) {
    RateLimiterStatus Status = Limiter->status();
    Out << "  " << Account << " rate " << percentOf(Status.Fraction.Rate)
        << " % burst " << percentOf(Status.Fraction.Burst) << " % holders "
        << Status.Holders << "\n";
  }
  Out << "\n" << metrics::renderText(Context.metrics());
  return Out.str();
}

} // namespace bergamotstage
