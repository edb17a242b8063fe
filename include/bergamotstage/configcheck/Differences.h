#ifndef BERGAMOTSTAGE_CONFIGCHECK_DIFFERENCES_H
#define BERGAMOTSTAGE_CONFIGCHECK_DIFFERENCES_H

#include "bergamotstage/configcheck/Change.h"
#include "bergamotstage/configcheck/Draft.h"
#include "bergamotstage/configcheck/NamePrinter.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bergamotstage::configcheck {

/// @brief Lists what a new configuration changes, entry by entry, and what that
/// means for callers.
///
/// Entries are matched by the name that callers or routes use. Of several
/// entries of one name the last is compared, as VMs use it.
class Differences {
public:
  Differences(const Draft &Before, const Draft &After,
              const NamePrinter &Print);

  /// @return routes, services, accounts and limits, in the order of the new
  ///   file and then of the one in force
  std::vector<Change> find();

private:
  /// Fixed part of the changes of one entry.
  struct Subject {
    std::string Kind;
    std::string Name;
    std::string Path;
  };
  /// Effects of a value that became lower or higher.
  struct Direction {
    Effect Lowered;
    std::string LoweredMeaning;
    Effect Raised;
    std::string RaisedMeaning;
  };

  void compareRoutes();
  void compareRoute(const Draft::Route &Before, const Draft::Route &After);
  void compareReads(const Subject &Of, const pooling::RouteConfig &Before,
                    const pooling::RouteConfig &After);
  void compareLimits(const Subject &Of, const pooling::RouteConfig &Before,
                     const pooling::RouteConfig &After);
  void compareAccess(const Subject &Of, bool Before, bool After);
  void compareServices();
  void compareService(const Draft::Service &Before,
                      const Draft::Service &After);
  void compareAccounts();
  void compareAccount(const Draft::Account &Before,
                      const Draft::Account &After);
  void compareKeys(const Subject &Of, const Draft::Account &Before,
                   const Draft::Account &After);
  void compareHomes(const Subject &Of, const placement::RegionSet &Before,
                    const placement::RegionSet &After);
  void compareNumbers(const Subject &Of, const std::string &Field,
                      double Before, double After, const Direction &Means);
  void compareSpans(const Subject &Of, const std::string &Field,
                    Duration Before, Duration After, const Direction &Means);
  void add(const Subject &Of, const std::string &Field, std::string Before,
           std::string After, Effect Result, std::string Meaning);

  /// @brief Reports keys of an account in force that no account lists any more,
  /// or that another account lists.
  /// @param Left number of keys that the account lists now
  void addLostKeys(const Subject &Of, const Draft::Account &Before,
                   std::size_t Left);
  std::string joined(const placement::RegionSet &Regions) const;

  const Draft &m_Before;
  const Draft &m_After;
  const FieldNames &m_Names;
  const NamePrinter &m_Print;
  std::vector<Change> m_Changes;
  /// Account of each key of the new configuration.
  std::unordered_map<std::string_view, std::string_view> m_Holders;
};

} // namespace bergamotstage::configcheck

#endif // BERGAMOTSTAGE_CONFIGCHECK_DIFFERENCES_H
