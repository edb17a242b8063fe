#include "bergamotstage/configcheck/Report.h"

#include "bergamotstage/configcheck/Differences.h"
#include "bergamotstage/configcheck/EntryChecks.h"

namespace bergamotstage::configcheck {
namespace {

constexpr int ExitValid = 0;
constexpr int ExitWarnings = 1;
constexpr int ExitErrors = 2;

void compare(const Draft &Config, const Draft &InForce,
             const NamePrinter &Print, Report &Result) {
  // VMs have no file with faults in force, so that another file was given.
  for (const Finding &Found : InForce.Findings.errors())
    Result.Findings.add(
        {Severity::Error,
         Found.Path.empty() ? "in force" : "in force: " + Found.Path,
         Found.Line, Found.Reason});
  if (!InForce.Readable || !Config.Readable)
    return;
  Result.InForce = InForce.Version;
  Result.Changes = Differences(InForce, Config, Print).find();
  bool IsOlder = Config.Version < InForce.Version;
  bool IsChanged = Config.Version == InForce.Version && !Result.Changes.empty();
  if (IsOlder || IsChanged)
    Result.Findings.addError(
        Config.Names.Version,
        "is " + std::to_string(Config.Version) + ", not above that in force, " +
            std::to_string(InForce.Version) + "; VMs ignore the file");
}

} // namespace

Report check(const Draft &Config, const Draft *InForce) {
  Report Result;
  Result.Readable = Config.Readable;
  Result.Version = Config.Version;
  Result.Routes = Config.Routes.size();
  Result.Services = Config.Services.size();
  Result.Accounts = Config.Accounts.size();
  for (const Draft::Account &Account : Config.Accounts)
    Result.Keys += Account.Keys.size();
  Result.Findings = Config.Findings;
  NamePrinter Print;
  Print.hideKeysOf(Config);
  if (InForce != nullptr)
    Print.hideKeysOf(*InForce);
  if (Config.Readable)
    EntryChecks(Config, Print, Result.Findings).run();
  if (InForce != nullptr)
    compare(Config, *InForce, Print, Result);
  return Result;
}

int exitCode(const Report &Of, bool Strict) {
  if (Of.Findings.errorCount() > 0)
    return ExitErrors;
  return Strict && Of.Findings.warningCount() > 0 ? ExitWarnings : ExitValid;
}

} // namespace bergamotstage::configcheck
