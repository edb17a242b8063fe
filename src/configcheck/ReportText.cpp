#include "bergamotstage/configcheck/Format.h"
#include "bergamotstage/configcheck/Report.h"

namespace bergamotstage::configcheck {
namespace {

void append(std::string &Out, const std::string &Title,
            const std::vector<Finding> &Findings, std::size_t Count) {
  if (Findings.empty())
    return;
  Out += Title + ":\n";
  for (const Finding &Found : Findings) {
    std::string Place = Found.Path;
    if (Found.Line > 0)
      Place.append(Place.empty() ? "line " : " line ")
          .append(std::to_string(Found.Line));
    Out += "  " + Place + (Place.empty() ? "" : ": ") + Found.Reason + "\n";
  }
  if (Count > Findings.size())
    Out += "  and " + std::to_string(Count - Findings.size()) + " more\n";
}

void append(std::string &Out, const std::vector<Change> &Changes,
            std::uint64_t InForce) {
  Out += "changes from version " + std::to_string(InForce) + ":" +
         (Changes.empty() ? " none\n" : "\n");
  std::string Last;
  for (const Change &Next : Changes) {
    std::string Entry =
        Next.Kind + (Next.Name.empty() ? "" : " \"" + Next.Name + "\"");
    if (Entry != Last)
      Out += "  " + Entry + "\n";
    Last = Entry;
    Out += "    " + Next.Path + ": " + Next.Before +
           (Next.Before.empty() ? "" : " -> ") + Next.After + "; " +
           Next.Meaning + "\n";
  }
}

std::string contents(const Report &Of) {
  return "version " + std::to_string(Of.Version) + ", " +
         formatCount(Of.Routes, "route") + ", " +
         formatCount(Of.Services, "service") + ", " +
         formatCount(Of.Accounts, "account") + ", " +
         formatCount(Of.Keys, "key");
}

} // namespace

std::string renderText(const Report &Of, const std::string &File) {
  std::string Out =
      File + ": " + (Of.Readable ? contents(Of) : "not readable") + "\n";
  append(Out, "errors", Of.Findings.errors(), Of.Findings.errorCount());
  append(Out, "warnings", Of.Findings.warnings(), Of.Findings.warningCount());
  if (Of.InForce)
    append(Out, Of.Changes, *Of.InForce);
  Out += formatCount(Of.Findings.errorCount(), "error") + ", " +
         formatCount(Of.Findings.warningCount(), "warning");
  if (Of.InForce)
    Out += ", " + formatCount(Of.Changes.size(), "change");
  return Out + "\n";
}

} // namespace bergamotstage::configcheck
