#ifndef BERGAMOTSTAGE_CONFIGCHECK_CHANGE_H
#define BERGAMOTSTAGE_CONFIGCHECK_CHANGE_H

#include <cstdint>
#include <string>

namespace bergamotstage::configcheck {

/// @brief What a change means for callers.
enum class Effect : std::uint8_t {
  EntryAdded,
  CallersRefused,  ///< Callers that are served now are refused.
  CallersAccepted, ///< Callers that are refused now are served.
  KeysWithdrawn,   ///< Callers with these keys are refused.
  KeysAdded,
  KeysMoved,   ///< Callers with these keys count as another account.
  RateLowered, ///< Operations beyond the rate or burst are refused.
  RateRaised,
  TimeoutLowered, ///< Work that takes longer is ended.
  TimeoutRaised,
  TargetLowered, ///< Operations that wait longer are refused.
  TargetRaised,
  PriorityLowered, ///< Served after more urgent operations.
  PriorityRaised,
  ReadsChanged,   ///< Reads have another guarantee.
  RegionsChanged, ///< Operations run elsewhere.
  ServiceChanged, ///< Operations run at the targets of another service.
  ConnectionsLowered,
  ConnectionsRaised,
  DurabilityChanged, ///< Another number of replicas confirms commits.
  ColdStartChanged,
  NoneForCallers
};

/// @brief Name of an effect in the output for programs.
std::string effectName(Effect Of);

/// @brief One difference from the configuration in force.
struct Change {
  std::string Kind; ///< `route`, `service`, `account` or `limits`.
  std::string Name; ///< By which callers or routes select the entry.
  std::string Path; ///< In the new file; `in force: PATH` if removed.
  std::string Before;
  std::string After;
  Effect Result = Effect::NoneForCallers;
  std::string Meaning; ///< Of the change for callers, as a phrase.
};

} // namespace bergamotstage::configcheck

#endif // BERGAMOTSTAGE_CONFIGCHECK_CHANGE_H
