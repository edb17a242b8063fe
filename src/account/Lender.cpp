#include "bergamotstage/account/Lender.h"

#include <algorithm>
#include <limits>

namespace bergamotstage {

Lender::BorrowerLoans *Lender::findBorrower(const VmId &From, Incarnation Start,
                                            Instant Now) {
  BorrowerLoans &Loans = m_Borrowers[From];
  if (Start < Loans.Start)
    return nullptr;
  if (Loans.Start < Start) {
    // A new process of a VM starts only after the old one has ended.
    closeBelow(Loans, std::numeric_limits<std::uint64_t>::max(), Now);
    Loans = BorrowerLoans();
    Loans.Start = Start;
  }
  return &Loans;
}

void Lender::closeBelow(BorrowerLoans &Loans, std::uint64_t OpenFrom,
                        Instant Now) {
  while (!Loans.Open.empty() && Loans.Open.begin()->first < OpenFrom) {
    m_Bucket.settle(Loans.Open.begin()->second, {}, Now);
    Loans.Open.erase(Loans.Open.begin());
  }
  Loans.OpenFrom = std::max(Loans.OpenFrom, OpenFrom);
}

LoanGrant Lender::grant(const VmId &From, Incarnation Start,
                        const LoanRequest &Request, TokenCount Limit,
                        Instant Now) {
  LoanGrant Grant;
  Grant.Loan = Request.Loan;
  BorrowerLoans *Loans = findBorrower(From, Start, Now);
  if (Loans == nullptr)
    return Grant;
  closeBelow(*Loans, std::min(Request.OpenFrom, Request.Loan), Now);
  auto Repeated = Loans->Open.find(Request.Loan);
  if (Repeated != Loans->Open.end()) {
    Grant.Amount = Repeated->second;
  } else if (Request.Loan >= Loans->OpenFrom) {
    TokenCount Lendable = std::min(Limit, m_Bucket.available(Now));
    Grant.Amount = std::min(Request.Wanted, Lendable);
    m_Bucket.lend(Grant.Amount, Now);
    if (TokenCount{} < Grant.Amount)
      Loans->Open[Request.Loan] = Grant.Amount;
  }
  Grant.Remaining = m_Bucket.available(Now);
  Grant.NextToken = m_Bucket.timeUntil(OneToken, Now);
  return Grant;
}

void Lender::settle(const VmId &From, Incarnation Start,
                    const LoanSettlement &Settlement, Instant Now) {
  BorrowerLoans *Loans = findBorrower(From, Start, Now);
  if (Loans == nullptr)
    return;
  auto Found = Loans->Open.find(Settlement.Loan);
  if (Found != Loans->Open.end()) {
    TokenCount Returned = std::min(Settlement.Returned, Found->second);
    m_Bucket.settle(Found->second, Returned, Now);
    Loans->Open.erase(Found);
  }
  closeBelow(*Loans, Settlement.OpenFrom, Now);
}

} // namespace bergamotstage
