#include "bergamotstage/configcheck/Change.h"

namespace bergamotstage::configcheck {

std::string effectName(Effect Of) {
  switch (Of) {
  case Effect::EntryAdded:
    return "entry_added";
  case Effect::CallersRefused:
    return "callers_refused";
  case Effect::CallersAccepted:
    return "callers_accepted";
  case Effect::KeysWithdrawn:
    return "keys_withdrawn";
  case Effect::KeysAdded:
    return "keys_added";
  case Effect::KeysMoved:
    return "keys_moved";
  case Effect::RateLowered:
    return "rate_lowered";
  case Effect::RateRaised:
    return "rate_raised";
  case Effect::TimeoutLowered:
    return "timeout_lowered";
  case Effect::TimeoutRaised:
    return "timeout_raised";
  case Effect::TargetLowered:
    return "latency_target_lowered";
  case Effect::TargetRaised:
    return "latency_target_raised";
  case Effect::PriorityLowered:
    return "priority_lowered";
  case Effect::PriorityRaised:
    return "priority_raised";
  case Effect::ReadsChanged:
    return "reads_changed";
  case Effect::RegionsChanged:
    return "regions_changed";
  case Effect::ServiceChanged:
    return "service_changed";
  case Effect::ConnectionsLowered:
    return "connections_lowered";
  case Effect::ConnectionsRaised:
    return "connections_raised";
  case Effect::DurabilityChanged:
    return "durability_changed";
  case Effect::ColdStartChanged:
    return "cold_start_changed";
  case Effect::NoneForCallers:
    return "none";
  }
  return "";
}

} // namespace bergamotstage::configcheck
