#include "bergamotstage/fleetcost/ListDigest.h"

#include "bergamotstage/fleet/detail/ByteCodec.h"

#include <xxhash.h>

#include <algorithm>
#include <string>

namespace bergamotstage::fleetcost {

std::uint64_t digestOfList(const std::vector<pooling::TargetEntry> &Targets) {
  detail::ByteWriter Out;
  for (const pooling::TargetEntry &Entry : Targets) {
    Out.text(Entry.Id.value());
    Out.text(Entry.Group.value());
    Out.text(Entry.Address);
    Out.text(Entry.DataCentre.value());
    Out.varint(Entry.Slots);
    Out.byte(Entry.Draining ? 1 : 0);
    Out.byte(Entry.ReportsPrimary ? 1 : 0);
    Out.varint(Entry.ProcessStart);
  }
  std::string Bytes = Out.release();
  return std::max<std::uint64_t>(1, XXH3_64bits(Bytes.data(), Bytes.size()));
}

} // namespace bergamotstage::fleetcost
