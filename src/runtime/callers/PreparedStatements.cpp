#include "runtime/callers/PreparedStatements.h"

#include <utility>

namespace bergamotstage::runtime {
namespace {

std::size_t memoryBytes(const std::string &Name, const StatementBody &Body) {
  return Name.size() + Body.Text.size() +
         Body.ParameterTypes.size() * sizeof(std::uint32_t);
}

} // namespace

bool PreparedStatements::add(wire::Parse &&Message) {
  auto Body = std::make_shared<StatementBody>();
  Body->Text = std::move(Message.Text);
  Body->Extended = true;
  Body->ParameterTypes = std::move(Message.ParameterTypes);
  erase(Message.Name);
  std::size_t Bytes = memoryBytes(Message.Name, *Body);
  if (m_Statements.size() >= MaxCount || m_Bytes + Bytes > MaxBytes)
    return false;
  m_Bytes += Bytes;
  m_Statements[Message.Name].Body = std::move(Body);
  return true;
}

PreparedStatement *PreparedStatements::find(const std::string &Name) {
  auto Found = m_Statements.find(Name);
  return Found == m_Statements.end() ? nullptr : &Found->second;
}

void PreparedStatements::cacheDescription(const std::string &Name,
                                          std::string Bytes) {
  PreparedStatement *Statement = find(Name);
  bool Wanted = Statement != nullptr && Statement->Description.empty();
  if (!Wanted || m_Bytes + Bytes.size() > MaxBytes)
    return;
  m_Bytes += Bytes.size();
  Statement->Description = std::move(Bytes);
}

void PreparedStatements::erase(const std::string &Name) {
  auto Found = m_Statements.find(Name);
  if (Found == m_Statements.end())
    return;
  m_Bytes -= memoryBytes(Name, *Found->second.Body);
  m_Bytes -= Found->second.Description.size();
  m_Statements.erase(Found);
}

} // namespace bergamotstage::runtime
