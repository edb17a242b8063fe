#include "bergamotstage/account/Borrower.h"

#include "bergamotstage/core/Invariant.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace bergamotstage {
namespace {

/// @brief Number of times a lender is notified of closed loans. Requests report
/// them too, so that only a lender without further requests can miss it.
constexpr unsigned CloseNoticeCount = 20;

} // namespace

std::uint64_t Borrower::openFrom(const VmId &Lender) const {
  for (const auto &[Id, OpenLoan] : m_Open)
    if (OpenLoan.Lender == Lender)
      return Id;
  return m_LastLoan + 1;
}

void Borrower::requestLoan(const VmId &Lender, TokenCount Wanted, Instant Now) {
  std::uint64_t Id = ++m_LastLoan;
  m_Open[Id] = {Lender, Now, false, {}};
  m_Send(Lender, LoanRequest{Id, openFrom(Lender), Wanted});
}

bool Borrower::isRequestPending(Instant Now) const {
  return std::any_of(m_Open.begin(), m_Open.end(), [&](const auto &Entry) {
    const Loan &OpenLoan = Entry.second;
    return !OpenLoan.Granted && Now < OpenLoan.RequestedAt + GrantTimeout;
  });
}

bool Borrower::onGrant(const VmId &From, const LoanGrant &Grant, Instant Now) {
  auto Found = m_Open.find(Grant.Loan);
  if (Found == m_Open.end() || Found->second.Granted ||
      Found->second.Lender != From ||
      Found->second.RequestedAt + LoanLifetime <= Now)
    return false;
  Found->second.Granted = true;
  Found->second.Remaining = Grant.Amount;
  if (TokenCount{} < Grant.Amount)
    return true;
  m_Open.erase(Found);
  return false;
}

TokenCount Borrower::available() const {
  TokenCount Sum;
  for (const auto &[Id, OpenLoan] : m_Open)
    Sum = Sum + OpenLoan.Remaining;
  return Sum;
}

void Borrower::spend(TokenCount Amount) {
  for (auto Iterator = m_Open.begin(); Iterator != m_Open.end();) {
    Loan &OpenLoan = Iterator->second;
    TokenCount Taken = std::min(Amount, OpenLoan.Remaining);
    Amount = Amount - Taken;
    OpenLoan.Remaining = OpenLoan.Remaining - Taken;
    bool FullySpent = OpenLoan.Granted && OpenLoan.Remaining == TokenCount{};
    if (FullySpent)
      m_CloseNotices[OpenLoan.Lender] = CloseNoticeCount;
    Iterator = FullySpent ? m_Open.erase(Iterator) : std::next(Iterator);
  }
  BERGAMOTSTAGE_INVARIANT(Amount == TokenCount{},
                          "only borrowed tokens are spent");
}

void Borrower::close(std::uint64_t Id, TokenCount Returned) {
  VmId Lender = m_Open.at(Id).Lender;
  m_Open.erase(Id);
  m_CloseNotices[Lender] = CloseNoticeCount;
  m_Send(Lender, LoanSettlement{openFrom(Lender), Id, Returned});
}

void Borrower::settle(Instant Now) {
  std::vector<std::pair<std::uint64_t, TokenCount>> Expired;
  for (const auto &[Id, OpenLoan] : m_Open)
    if (OpenLoan.RequestedAt + LoanLifetime <= Now)
      Expired.emplace_back(Id, OpenLoan.Remaining);
  for (const auto &[Id, Remaining] : Expired)
    close(Id, Remaining);
  for (auto Iterator = m_CloseNotices.begin();
       Iterator != m_CloseNotices.end();) {
    m_Send(Iterator->first, LoanSettlement{openFrom(Iterator->first), 0, {}});
    bool Finished = --Iterator->second == 0;
    Iterator = Finished ? m_CloseNotices.erase(Iterator) : std::next(Iterator);
  }
}

} // namespace bergamotstage
