#include "bergamotstage/forward/Rendezvous.h"

#include "bergamotstage/forward/OwnerOrder.h"

#include <xxhash.h>

#include <cmath>
#include <string>

namespace bergamotstage {
namespace {

/// @brief Exponent of the number of cores in a VM's weight. Owners serve
/// callers of many VMs; a VM with half the cores is chosen an eighth as often.
constexpr double CoresExponent = 3;

} // namespace

double rendezvousScore(std::string_view Subject, const MemberState &Member) {
  constexpr unsigned MantissaBits = 53;
  constexpr unsigned HashBits = 64;
  std::string HashInput = std::string(Subject) + '\n' + Member.Vm.value();
  std::uint64_t Hash = XXH3_64bits(HashInput.data(), HashInput.size());
  double Uniform =
      std::ldexp(static_cast<double>(Hash >> (HashBits - MantissaBits)) + 0.5,
                 -static_cast<int>(MantissaBits));
  return -std::pow(Member.Cores, CoresExponent) / std::log(Uniform);
}

std::vector<VmId> rankOwners(std::string_view Subject,
                             const DataCentreId &PreferredCentre,
                             const MemberMap &Members) {
  OwnerOrder Order{std::string(Subject), PreferredCentre};
  Order.rebuild(Members);
  return Order.vms();
}

} // namespace bergamotstage
