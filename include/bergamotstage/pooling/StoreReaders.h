#ifndef BERGAMOTSTAGE_POOLING_STOREREADERS_H
#define BERGAMOTSTAGE_POOLING_STOREREADERS_H

#include "bergamotstage/fleet/MemberState.h"
#include "bergamotstage/pooling/Context.h"
#include "bergamotstage/pooling/FleetMessage.h"
#include "bergamotstage/pooling/RankedMembers.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace bergamotstage::pooling {

/// @brief Distributes store updates from a few reader VMs to all others.
///
/// Calls of the store cost money. Only the VMs ranked first by rendezvous
/// hashing follow it; the others poll these readers and are sent changes at
/// once. A VM follows the store itself while no reader has a recent answer
/// from it, which bounds the delay of a change on every VM.
class StoreReaders {
public:
  /// @brief How this VM follows the store.
  struct Following {
    bool Active = false;
    /// Delays after the first failed call and, doubled up to this, later ones.
    Duration FirstRetry{};
    Duration MaxRetry{};

    friend bool operator==(const Following &Left, const Following &Right) {
      return Left.Active == Right.Active &&
             Left.FirstRetry == Right.FirstRetry &&
             Left.MaxRetry == Right.MaxRetry;
    }
  };
  struct Hooks {
    std::function<void(const VmId &, FleetMessage &&)> SendRequest;
    std::function<void(const VmId &, FleetMessage &&)> SendReply;
    std::function<const RankedMembers &()> Members;
    std::function<std::uint64_t()> ConfigVersion;
    /// Returns all targets known to this VM.
    std::function<std::vector<TargetEntry>()> Targets;
    /// Starts or stops following the store from this VM, or changes the delays.
    std::function<void(const Following &)> SetFollowing;
    std::function<void(const VmId &, std::uint64_t Version)> OnConfigVersion;
    std::function<void(const StoreUpdate &)> ApplyUpdate;
    /// Returns the evacuated data centres known to this VM.
    std::function<placement::EvacuationList()> Evacuations;
    std::function<void(const placement::EvacuationList &)> ApplyEvacuations;
  };

  StoreReaders(Context &Ctx, Hooks Callbacks)
      : m_Context(Ctx), m_Hooks(std::move(Callbacks)) {}

  /// @brief Starts polling the readers and, where needed, following the store.
  ///
  /// To be called when this VM begins to read all tables once.
  void start();

  /// @brief The store answered a request of this VM.
  void onStoreResponse();
  /// @brief This VM read a change of targets from the store.
  void onTargetsChanged(const std::vector<TargetEntry> &Changed,
                        const std::vector<TargetId> &Removed);
  /// @brief This VM read the full list of targets from the store.
  void onTargetsListed();
  /// @brief This VM applied a new configuration.
  void onConfigChanged();
  /// @brief This VM learned of a change of evacuated data centres.
  void onEvacuationsChanged();

  void onUpdateRequest(const VmId &From, const StoreUpdateRequest &Request);
  void onUpdate(const VmId &From, const StoreUpdate &Update);

private:
  /// @brief A configuration that a reader has and this VM lacks.
  struct ConfigFetch {
    std::uint64_t Version = 0;
    Instant Until; ///< When it should have arrived.
  };

  bool isReader() const;
  std::vector<VmId> readers() const;
  void requestUpdate();
  void updateFollowing();
  Following following(bool Active) const;
  void publish(StoreUpdate Update);
  bool hasOrFetchesConfig(std::uint64_t Version);
  void extendValidity(const StoreUpdate &Update);
  StoreUpdateRequest makeRequest(std::uint64_t TargetsVersion) const;
  StoreUpdate makeUpdate() const;

  Context &m_Context;
  Hooks m_Hooks;
  Following m_Following;   ///< As reported last.
  Instant m_MayReadFrom{}; ///< Earliest time at which this VM is a reader.
  Instant m_LastStoreResponse{};
  Instant m_UpdatesValidUntil{};   ///< End of the validity of readers' updates.
  std::uint64_t m_ListVersion = 0; ///< Version of this VM's own list.
  std::map<VmId, std::uint64_t> m_AppliedVersions; ///< For each reader.
  std::map<VmId, Instant> m_Subscribers;
  std::size_t m_NextReader = 0;
  std::optional<ConfigFetch> m_Fetch;
  std::optional<TimerId> m_ExpiryTimer; ///< Runs at m_UpdatesValidUntil.
};

} // namespace bergamotstage::pooling

#endif // BERGAMOTSTAGE_POOLING_STOREREADERS_H
