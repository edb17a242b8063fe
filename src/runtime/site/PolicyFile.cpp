#include "runtime/site/PolicyFile.h"

#include "runtime/TextFile.h"

#include <utility>

namespace bergamotstage::runtime {

tl::expected<std::optional<pooling::SitePolicies>, std::string>
PolicyFile::read() {
  if (m_Path.empty())
    return std::nullopt;
  auto Text = readTextFile(m_Path);
  if (!Text)
    return tl::make_unexpected(Text.error());
  if (m_LastText == *Text)
    return std::nullopt;
  m_LastText = *Text;
  auto Parsed = pooling::SitePolicies::parse(*Text);
  if (Parsed)
    return std::optional(std::move(*Parsed));
  std::string Errors;
  for (const RuleError &Fault : Parsed.error())
    Errors.append(m_Path)
        .append(":")
        .append(std::to_string(Fault.Line))
        .append(": ")
        .append(Fault.Reason)
        .append("; ");
  return tl::make_unexpected(Errors);
}

} // namespace bergamotstage::runtime
