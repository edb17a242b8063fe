#include "bergamotstage/configcheck/Differences.h"

#include "bergamotstage/configcheck/Format.h"

#include <cstddef>
#include <unordered_set>
#include <utility>

namespace bergamotstage::configcheck {
namespace {

template <class Entry>
using EntriesByName = std::unordered_map<std::string_view, const Entry *>;

std::string_view nameOf(const Draft::Route &Route) { return Route.Database; }
std::string_view nameOf(const Draft::Service &Service) {
  return Service.Config.Id.value();
}
std::string_view nameOf(const Draft::Account &Account) {
  return Account.Config.Id.value();
}

template <class Entry>
EntriesByName<Entry> byName(const std::vector<Entry> &Entries) {
  EntriesByName<Entry> Found;
  for (const Entry &Next : Entries)
    if (!nameOf(Next).empty())
      Found[nameOf(Next)] = &Next;
  return Found;
}

/// @brief Calls a function for each name with the entries before and after, of
/// which one may be null. Entries that could not be read are left out.
template <class Entry, class Function>
void forEachPair(const std::vector<Entry> &Before,
                 const std::vector<Entry> &After, const Function &Call) {
  EntriesByName<Entry> Old = byName(Before);
  EntriesByName<Entry> New = byName(After);
  for (const Entry &Next : After) {
    auto Last = New.find(nameOf(Next));
    if (Last == New.end() || Last->second != &Next)
      continue;
    auto Found = Old.find(nameOf(Next));
    const Entry *Previous = Found == Old.end() ? nullptr : Found->second;
    if (Next.Complete && (Previous == nullptr || Previous->Complete))
      Call(Previous, &Next);
  }
  for (const Entry &Next : Before) {
    auto Last = Old.find(nameOf(Next));
    if (Last != Old.end() && Last->second == &Next &&
        New.count(nameOf(Next)) == 0)
      Call(&Next, static_cast<const Entry *>(nullptr));
  }
}

/// @brief Path of an entry that only one of the files has.
std::string pathOf(const std::string &List, const Draft::Entry &Only,
                   bool IsRemoved) {
  return (IsRemoved ? "in force: " : "") + entryPath(List, Only.Index);
}

std::string readsName(pooling::Consistency Reads) {
  switch (Reads) {
  case pooling::Consistency::Primary:
    return "primary";
  case pooling::Consistency::Bounded:
    return "bounded";
  case pooling::Consistency::ReadYourWrites:
    return "read your writes";
  }
  return "";
}

std::string readsMeaning(pooling::Consistency Reads) {
  switch (Reads) {
  case pooling::Consistency::Primary:
    return "reads run only at the primary";
  case pooling::Consistency::Bounded:
    return "reads may miss earlier writes of the same session";
  case pooling::Consistency::ReadYourWrites:
    return "reads see the writes of their session, and may miss those of "
           "others";
  }
  return "";
}

} // namespace

Differences::Differences(const Draft &Before, const Draft &After,
                         const NamePrinter &Print)
    : m_Before(Before), m_After(After), m_Names(After.Names), m_Print(Print) {
  for (const Draft::Account &Account : After.Accounts)
    for (const std::string &Key : Account.Keys)
      m_Holders[Key] = Account.Config.Id.value();
}

std::vector<Change> Differences::find() {
  compareRoutes();
  compareServices();
  compareAccounts();
  compareSpans({"limits", "", ""}, m_Names.TransactionIdle,
               m_Before.TransactionIdle, m_After.TransactionIdle,
               {Effect::TimeoutLowered,
                "transactions are rolled back after a shorter time idle",
                Effect::TimeoutRaised,
                "transactions may stay idle for longer"});
  return std::move(m_Changes);
}

void Differences::add(const Subject &Of, const std::string &Field,
                      std::string Before, std::string After, Effect Result,
                      std::string Meaning) {
  std::string Separator = Of.Path.empty() || Field.empty() ? "" : ".";
  m_Changes.push_back({Of.Kind, Of.Name, Of.Path + Separator + Field,
                       std::move(Before), std::move(After), Result,
                       std::move(Meaning)});
}

void Differences::compareNumbers(const Subject &Of, const std::string &Field,
                                 double Before, double After,
                                 const Direction &Means) {
  if (Before == After)
    return;
  bool Lowered = After < Before;
  add(Of, Field, formatNumber(Before), formatNumber(After),
      Lowered ? Means.Lowered : Means.Raised,
      Lowered ? Means.LoweredMeaning : Means.RaisedMeaning);
}

void Differences::compareSpans(const Subject &Of, const std::string &Field,
                               Duration Before, Duration After,
                               const Direction &Means) {
  compareNumbers(Of, Field, toMilliseconds(Before), toMilliseconds(After),
                 Means);
}

std::string Differences::joined(const placement::RegionSet &Regions) const {
  if (Regions.empty())
    return "all";
  std::string Joined;
  for (const RegionId &Region : Regions)
    Joined += (Joined.empty() ? "" : ", ") + m_Print(Region.value());
  return Joined;
}

void Differences::compareHomes(const Subject &Of,
                               const placement::RegionSet &Before,
                               const placement::RegionSet &After) {
  if (Before != After)
    add(Of, m_Names.Homes, joined(Before), joined(After),
        Effect::RegionsChanged,
        After.empty() ? "operations may run in all regions"
                      : "operations run only in these regions");
}

void Differences::compareRoutes() {
  forEachPair(m_Before.Routes, m_After.Routes,
              [this](const Draft::Route *Before, const Draft::Route *After) {
                if (Before != nullptr && After != nullptr)
                  return compareRoute(*Before, *After);
                const Draft::Route &Only = After != nullptr ? *After : *Before;
                Subject Of{"route", m_Print.plain(Only.Database),
                           pathOf(m_Names.Routes, Only, After == nullptr)};
                if (After != nullptr)
                  add(Of, "", "", "added", Effect::EntryAdded,
                      Only.Config.Open
                          ? "callers can select it, also without a key"
                          : "callers with a key can select it");
                else
                  add(Of, "", "in force", "removed", Effect::CallersRefused,
                      "callers that select it are refused");
              });
}

void Differences::compareRoute(const Draft::Route &Before,
                               const Draft::Route &After) {
  Subject Of{"route", m_Print.plain(After.Database),
             entryPath(m_Names.Routes, After.Index)};
  const pooling::RouteConfig &Old = Before.Config;
  const pooling::RouteConfig &New = After.Config;
  if (Old.Name != New.Name)
    add(Of, m_Names.Name, m_Print(Old.Name.value()), m_Print(New.Name.value()),
        Effect::NoneForCallers, "metrics and logs have the new name");
  if (Old.Group != New.Group)
    add(Of, m_Names.Service, m_Print(Old.Group.value()),
        m_Print(New.Group.value()), Effect::ServiceChanged,
        "operations run at targets with other data");
  compareReads(Of, Old, New);
  compareLimits(Of, Old, New);
  compareAccess(Of, Old.Open, New.Open);
  compareHomes(Of, Old.Homes, New.Homes);
}

void Differences::compareReads(const Subject &Of,
                               const pooling::RouteConfig &Before,
                               const pooling::RouteConfig &After) {
  if (Before.Reads != After.Reads)
    add(Of, m_Names.Reads, readsName(Before.Reads), readsName(After.Reads),
        Effect::ReadsChanged, readsMeaning(After.Reads));
  if (Before.Reads != pooling::Consistency::Primary &&
      After.Reads != pooling::Consistency::Primary)
    compareSpans(Of, m_Names.MaxStaleness, Before.MaxStaleness,
                 After.MaxStaleness,
                 {Effect::ReadsChanged,
                  "reads are fresher, and more of them need the primary",
                  Effect::ReadsChanged, "reads may return older data"});
}

void Differences::compareLimits(const Subject &Of,
                                const pooling::RouteConfig &Before,
                                const pooling::RouteConfig &After) {
  compareSpans(Of, m_Names.Timeout, Before.StatementTimeout,
               After.StatementTimeout,
               {Effect::TimeoutLowered, "statements that take longer are ended",
                Effect::TimeoutRaised, "statements may take longer"});
  compareSpans(
      Of, m_Names.LatencyTarget, Before.LatencyTarget, After.LatencyTarget,
      {Effect::TargetLowered, "operations are refused after a shorter wait",
       Effect::TargetRaised, "operations may wait longer"});
  // A higher number is a lower priority.
  compareNumbers(Of, m_Names.Priority, Before.Priority, After.Priority,
                 {Effect::PriorityRaised,
                  "operations are served before more of the others",
                  Effect::PriorityLowered,
                  "operations are served after more of the others"});
}

void Differences::compareAccess(const Subject &Of, bool Before, bool After) {
  if (Before && !After)
    add(Of, m_Names.Open, "true", "false", Effect::CallersRefused,
        "callers without a key are refused");
  if (!Before && After)
    add(Of, m_Names.Open, "false", "true", Effect::CallersAccepted,
        "callers without a key are served");
}

void Differences::compareServices() {
  forEachPair(
      m_Before.Services, m_After.Services,
      [this](const Draft::Service *Before, const Draft::Service *After) {
        if (Before != nullptr && After != nullptr)
          return compareService(*Before, *After);
        const Draft::Service &Only = After != nullptr ? *After : *Before;
        Subject Of{"service", m_Print.plain(Only.Config.Id.value()),
                   pathOf(m_Names.Services, Only, After == nullptr)};
        if (After != nullptr)
          add(Of, "", "", "added", Effect::EntryAdded,
              "routes can use its targets");
        else
          add(Of, "", "in force", "removed", Effect::NoneForCallers,
              "no route can use its targets");
      });
}

void Differences::compareService(const Draft::Service &Before,
                                 const Draft::Service &After) {
  Subject Of{"service", m_Print.plain(After.Config.Id.value()),
             entryPath(m_Names.Services, After.Index)};
  compareNumbers(
      Of, m_Names.MaxLinks, Before.Config.MaxLinks, After.Config.MaxLinks,
      {Effect::ConnectionsLowered,
       "connections are closed, and operations wait for those left",
       Effect::ConnectionsRaised, "more connections to each target"});
  compareNumbers(Of, m_Names.SyncReplicas, Before.Config.SyncReplicas,
                 After.Config.SyncReplicas,
                 {Effect::DurabilityChanged,
                  "fewer replicas hold a commit when it is confirmed",
                  Effect::DurabilityChanged, "commits wait for more replicas"});
  Direction Cold{Effect::ColdStartChanged,
                 "targets get another number of statements after a start",
                 Effect::ColdStartChanged,
                 "targets get another number of statements after a start"};
  compareNumbers(Of, m_Names.ColdStart, toSeconds(Before.Config.ColdStart),
                 toSeconds(After.Config.ColdStart), Cold);
  compareNumbers(Of, m_Names.ColdRate, Before.Config.ColdPerSecond,
                 After.Config.ColdPerSecond, Cold);
}

void Differences::compareAccounts() {
  forEachPair(
      m_Before.Accounts, m_After.Accounts,
      [this](const Draft::Account *Before, const Draft::Account *After) {
        if (Before != nullptr && After != nullptr)
          return compareAccount(*Before, *After);
        const Draft::Account &Only = After != nullptr ? *After : *Before;
        Subject Of{"account", m_Print.plain(Only.Config.Id.value()),
                   pathOf(m_Names.Accounts, Only, After == nullptr)};
        if (After != nullptr)
          return add(Of, "", "", "added", Effect::EntryAdded,
                     formatCount(Only.Keys.size(), "key") + " listed");
        add(Of, "", "in force", "removed", Effect::NoneForCallers,
            "its rate and burst no longer apply");
        addLostKeys(Of, Only, 0);
      });
}

void Differences::compareAccount(const Draft::Account &Before,
                                 const Draft::Account &After) {
  Subject Of{"account", m_Print.plain(After.Config.Id.value()),
             entryPath(m_Names.Accounts, After.Index)};
  compareNumbers(Of, m_Names.Rate, Before.Config.Rate, After.Config.Rate,
                 {Effect::RateLowered,
                  "operations beyond the lower rate are refused",
                  Effect::RateRaised, "more operations per second are served"});
  compareNumbers(Of, m_Names.Burst, Before.Config.Burst, After.Config.Burst,
                 {Effect::RateLowered,
                  "operations beyond the smaller burst are refused",
                  Effect::RateRaised, "more operations at once are served"});
  compareKeys(Of, Before, After);
  compareHomes(Of, Before.Config.Homes, After.Config.Homes);
}

void Differences::compareKeys(const Subject &Of, const Draft::Account &Before,
                              const Draft::Account &After) {
  addLostKeys(Of, Before, After.Keys.size());
  std::unordered_set<std::string_view> Known(Before.Keys.begin(),
                                             Before.Keys.end());
  std::size_t Added = 0;
  for (const std::string &Key : After.Keys)
    Added += Known.insert(Key).second ? 1 : 0;
  if (Added > 0)
    add(Of, m_Names.Keys, formatCount(Before.Keys.size(), "key"),
        formatCount(After.Keys.size(), "key"), Effect::KeysAdded,
        formatCount(Added, "key") + " added");
}

void Differences::addLostKeys(const Subject &Of, const Draft::Account &Before,
                              std::size_t Left) {
  std::size_t Withdrawn = 0;
  std::size_t Moved = 0;
  for (const std::string &Key : Before.Keys) {
    auto Holder = m_Holders.find(Key);
    if (Holder == m_Holders.end())
      ++Withdrawn;
    else if (Holder->second != Before.Config.Id.value())
      ++Moved;
  }
  std::string Listed = formatCount(Before.Keys.size(), "key");
  if (Withdrawn > 0)
    add(Of, m_Names.Keys, Listed, formatCount(Left, "key"),
        Effect::KeysWithdrawn,
        "callers with " + formatCount(Withdrawn, "withdrawn key") +
            " are refused");
  if (Moved > 0)
    add(Of, m_Names.Keys, Listed, formatCount(Left, "key"), Effect::KeysMoved,
        "callers with " + formatCount(Moved, "moved key") +
            " count as another account");
}

} // namespace bergamotstage::configcheck
