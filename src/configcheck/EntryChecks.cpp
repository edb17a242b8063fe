#include "bergamotstage/configcheck/EntryChecks.h"

#include "bergamotstage/configcheck/Format.h"

#include <algorithm>

namespace bergamotstage::configcheck {
namespace {

/// Account of callers without a key, on routes that are public.
constexpr const char *AccountWithoutKey = "-";

/// The owner of a target and the VM next in line open at least two connections
/// each, whatever the limit (PoolNode::limitPools).
constexpr unsigned MinLinks = 4;
/// An owner opens up to 60 % of the connections, and has 64,511 ports above
/// 1,024 for connections to one address.
constexpr unsigned MaxLinks = 107518;

bool contains(const placement::RegionSet &Set, const placement::RegionSet &Of) {
  return std::any_of(Of.begin(), Of.end(), [&](const RegionId &Region) {
    return Set.count(Region) > 0;
  });
}

} // namespace

EntryChecks::EntryChecks(const Draft &Config, const NamePrinter &Print,
                         FindingList &Findings)
    : m_Config(Config), m_Names(Config.Names), m_Print(Print),
      m_Findings(Findings) {
  for (const Draft::Service &Service : Config.Services)
    m_Services.insert(Service.Config.Id.value());
  for (const Draft::Route &Route : Config.Routes) {
    m_UsedServices.insert(Route.Config.Group.value());
    m_AnyOpenRoute = m_AnyOpenRoute || Route.Config.Open;
  }
}

void EntryChecks::run() {
  if (m_Config.Version == 0 && m_Config.Findings.errorCount() == 0)
    m_Findings.addError(m_Names.Version, "is 0, which is never in force");
  checkRoutes();
  checkServices();
  checkAccounts();
  checkKeysExist();
  checkHomes();
  if (m_Config.TransactionIdle <= Duration(0))
    m_Findings.addWarning(m_Names.TransactionIdle,
                          "is 0, so every open transaction is rolled back");
}

void EntryChecks::checkName(const std::string &Name, const std::string &Path) {
  // Names are words of the lines that callers and targets exchange with VMs.
  if (Name.find_first_of(" \t\r\n") != std::string::npos)
    m_Findings.addError(Path, m_Print(Name) +
                                  " contains white space, so that no caller or "
                                  "target can be served with it");
}

void EntryChecks::checkUnique(FirstIndex &Seen, const std::string &Name,
                              const std::string &List,
                              const Draft::Entry &Entry,
                              const std::string &Field,
                              const std::string &Consequence) {
  if (Name.empty())
    return;
  std::string Path = fieldPath(List, Entry.Index, Field);
  checkName(Name, Path);
  auto [First, IsNew] = Seen.emplace(Name, Entry.Index);
  if (!IsNew)
    m_Findings.addError(Path, m_Print(Name) + " is also given at " +
                                  entryPath(List, First->second) + "; " +
                                  Consequence);
}

void EntryChecks::checkRoutes() {
  FirstIndex Databases;
  for (const Draft::Route &Route : m_Config.Routes) {
    checkUnique(Databases, Route.Database, m_Names.Routes, Route,
                m_Names.Database, "only the last of these routes can match");
    const std::string &Service = Route.Config.Group.value();
    if (!Service.empty() && m_Services.count(Service) == 0)
      m_Findings.addError(
          fieldPath(m_Names.Routes, Route.Index, m_Names.Service),
          "service " + m_Print(Service) +
              " is missing, so that every operation is refused");
    if (Route.Complete)
      checkLimitsOf(Route);
  }
}

void EntryChecks::checkLimitsOf(const Draft::Route &Route) {
  auto Warn = [&](const std::string &Field, const std::string &Reason) {
    m_Findings.addWarning(fieldPath(m_Names.Routes, Route.Index, Field),
                          Reason);
  };
  const pooling::RouteConfig &Config = Route.Config;
  if (Config.StatementTimeout <= Duration(0))
    Warn(m_Names.Timeout, "is 0, so that every statement is ended at once");
  else if (Config.StatementTimeout < Config.LatencyTarget)
    Warn(m_Names.Timeout, formatSpan(Config.StatementTimeout) +
                              " is below the latency target of " +
                              formatSpan(Config.LatencyTarget));
  if (Config.LatencyTarget <= Duration(0))
    Warn(m_Names.LatencyTarget, "is 0, so that no operation is in time");
  if (Config.Reads == pooling::Consistency::Bounded &&
      Config.MaxStaleness <= Duration(0))
    Warn(m_Names.MaxStaleness, "is 0, so that no replica can serve a read");
  if (Route.EmptyHomes)
    Warn(m_Names.Homes, "is an empty list, which allows all regions");
}

void EntryChecks::checkServices() {
  FirstIndex Names;
  for (const Draft::Service &Service : m_Config.Services) {
    const std::string &Name = Service.Config.Id.value();
    checkUnique(Names, Name, m_Names.Services, Service, m_Names.Name,
                "only the last of these services is used");
    if (!Name.empty() && m_UsedServices.count(Name) == 0)
      m_Findings.addWarning(entryPath(m_Names.Services, Service.Index),
                            "no route uses service " + m_Print(Name));
    if (Service.Complete)
      checkLimitsOf(Service);
  }
}

void EntryChecks::checkLimitsOf(const Draft::Service &Service) {
  auto Warn = [&](const std::string &Field, const std::string &Reason) {
    m_Findings.addWarning(fieldPath(m_Names.Services, Service.Index, Field),
                          Reason);
  };
  unsigned Links = Service.Config.MaxLinks;
  if (Links < MinLinks)
    Warn(m_Names.MaxLinks, std::to_string(Links) + " is below " +
                               std::to_string(MinLinks) +
                               ", which two VMs open to each target anyway");
  if (Links > MaxLinks)
    Warn(m_Names.MaxLinks, std::to_string(Links) +
                               " is more than all VMs can open; at " +
                               std::to_string(MaxLinks) +
                               " the ports of a target's owner are used up");
  bool HasColdStart = Service.Config.ColdStart > Duration(0);
  bool HasColdRate = Service.Config.ColdPerSecond > 0;
  if (HasColdStart && !HasColdRate)
    Warn(m_Names.ColdRate,
         "is 0 or missing, so that " + m_Names.ColdStart + " has no effect");
  if (HasColdRate && !HasColdStart)
    Warn(m_Names.ColdStart,
         "is 0 or missing, so that " + m_Names.ColdRate + " has no effect");
}

void EntryChecks::checkAccounts() {
  FirstIndex Names;
  for (const Draft::Account &Account : m_Config.Accounts) {
    checkUnique(Names, Account.Config.Id.value(), m_Names.Accounts, Account,
                m_Names.Name, "the rate and burst of the last are used");
    checkKeysOf(Account);
    if (Account.Complete)
      checkLimitsOf(Account);
  }
}

void EntryChecks::checkKeysOf(const Draft::Account &Account) {
  std::string Path = fieldPath(m_Names.Accounts, Account.Index, m_Names.Keys);
  for (std::size_t I = 0; I < Account.Keys.size(); ++I) {
    const std::string &Key = Account.Keys[I];
    if (Key.empty()) {
      if (Account.Complete)
        m_Findings.addError(entryPath(Path, I),
                            "is empty, so that callers without a key are "
                            "accepted for this account");
      continue;
    }
    auto [First, IsNew] = m_Keys.emplace(Key, KeyHolder{Account.Index, I});
    if (IsNew)
      continue;
    const KeyHolder &Other = First->second;
    std::string Reason =
        "the key is also listed at " +
        entryPath(fieldPath(m_Names.Accounts, Other.Account, m_Names.Keys),
                  Other.Position);
    if (Other.Account == Account.Index)
      m_Findings.addWarning(entryPath(Path, I), Reason);
    else
      m_Findings.addError(entryPath(Path, I),
                          Reason + "; its callers count as the last account");
  }
}

void EntryChecks::checkLimitsOf(const Draft::Account &Account) {
  auto Warn = [&](const std::string &Field, const std::string &Reason) {
    m_Findings.addWarning(fieldPath(m_Names.Accounts, Account.Index, Field),
                          Reason);
  };
  const pooling::AccountConfig &Config = Account.Config;
  if (Config.Rate <= 0 && Config.Burst > 0)
    Warn(m_Names.Rate, "is 0 with a burst of " + formatNumber(Config.Burst) +
                           "; every operation after the burst is refused");
  if (Config.Rate <= 0 && Config.Burst <= 0)
    Warn(m_Names.Rate, "is 0, so that every operation is refused");
  bool IsWithoutKey = m_AnyOpenRoute && Config.Id.value() == AccountWithoutKey;
  if (Account.Keys.empty() && !IsWithoutKey)
    Warn(m_Names.Keys, m_AnyOpenRoute
                           ? "has no key; callers of public routes without a "
                             "key do not count as this account"
                           : "has no key, and no route is public");
  if (Account.EmptyHomes)
    Warn(m_Names.Homes, "is an empty list, which allows all regions");
}

void EntryChecks::checkKeysExist() {
  // Faults of accounts are reported already where a key could not be read.
  if (!m_Keys.empty() || m_Config.Findings.errorCount() > 0)
    return;
  auto Closed = std::count_if(
      m_Config.Routes.begin(), m_Config.Routes.end(),
      [](const Draft::Route &Route) { return !Route.Config.Open; });
  if (Closed > 0)
    m_Findings.addWarning(
        m_Names.Accounts,
        "no key is listed, so that every caller of " +
            formatCount(static_cast<std::size_t>(Closed), "route") +
            " that require one is refused");
}

void EntryChecks::checkHomes() {
  placement::RegionSet OfRoutes;
  placement::RegionSet OfAccounts;
  bool AnyFreeRoute = m_Config.Routes.empty();
  bool AnyFreeAccount = m_Config.Accounts.empty();
  for (const Draft::Route &Route : m_Config.Routes) {
    AnyFreeRoute = AnyFreeRoute || Route.Config.Homes.empty();
    OfRoutes.insert(Route.Config.Homes.begin(), Route.Config.Homes.end());
  }
  for (const Draft::Account &Account : m_Config.Accounts) {
    AnyFreeAccount = AnyFreeAccount || Account.Config.Homes.empty();
    OfAccounts.insert(Account.Config.Homes.begin(), Account.Config.Homes.end());
  }
  for (const Draft::Route &Route : m_Config.Routes)
    if (!AnyFreeAccount && !Route.Config.Open && !Route.Config.Homes.empty() &&
        !contains(OfAccounts, Route.Config.Homes))
      m_Findings.addWarning(
          fieldPath(m_Names.Routes, Route.Index, m_Names.Homes),
          "no account may run in these regions");
  for (const Draft::Account &Account : m_Config.Accounts)
    if (!AnyFreeRoute && !Account.Config.Homes.empty() &&
        !contains(OfRoutes, Account.Config.Homes))
      m_Findings.addWarning(
          fieldPath(m_Names.Accounts, Account.Index, m_Names.Homes),
          "no route may run in these regions");
}

} // namespace bergamotstage::configcheck
