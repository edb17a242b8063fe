#ifndef BERGAMOTSTAGE_POOLING_STOREREADERS_H
#define BERGAMOTSTAGE_POOLING_STOREREADERS_H

#include "bergamotstage/fleet/MemberState.h"
#include "bergamotstage/fleetcost/TargetHistory.h"
#include "bergamotstage/pooling/Context.h"
#include "bergamotstage/pooling/FleetMessage.h"
#include "bergamotstage/pooling/RankedMembers.h"

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace bergamotstage::pooling {

/// @brief Distributes store updates from a few reader VMs to all others.
///
/// Calls of the store cost money. Only the VMs ranked first by rendezvous
/// hashing follow it; each other VM polls two of these readers and is sent
/// changes at once, so that the work of a reader does not grow with the fleet.
/// A reader sends what changed since the version that a VM has. A VM follows
/// the store itself while no reader has a recent answer from it, which bounds
/// the delay of a change on every VM.
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
    /// Returns the targets for StoreUpdateRequest::Rejected.
    std::function<std::vector<TargetId>()> RejectedClaims;
    /// Returns and records values of StoreUpdate::NewestRow.
    std::function<std::uint64_t()> NewestRow;
    std::function<void(std::uint64_t)> OnNewestRow;
    /// Returns the evacuated data centres known to this VM.
    std::function<placement::EvacuationList()> Evacuations;
    std::function<void(const placement::EvacuationList &)> ApplyEvacuations;
  };

  StoreReaders(Context &Ctx, Hooks Callbacks);

  /// @brief Starts polling the readers and, where needed, following the store.
  ///
  /// To be called when this VM begins to read all tables once.
  void start();

  /// @brief The store answered a request of this VM.
  void onStoreResponse();
  /// @brief This VM's list of targets changed, whoever reported it.
  void onTargetsChanged(const std::vector<TargetId> &Changed);
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

  /// @brief The targets that changed after a version, as they are now.
  void addChangesSince(std::uint64_t Version, StoreUpdate &Update) const;
  void addEntries(const std::vector<TargetId> &Ids, StoreUpdate &Update) const;
  bool isReader() const;
  std::vector<VmId> readers() const;
  void requestUpdate();
  const VmId &nextReader(const std::vector<VmId> &Readers);
  bool applyTargets(const VmId &From, const StoreUpdate &Update);
  void updateFollowing();
  Following following(bool Active) const;
  void publish();
  bool hasOrFetchesConfig(std::uint64_t Version);
  void extendValidity(const StoreUpdate &Update);
  void sendRequest(const VmId &To);
  StoreUpdate makeUpdate() const;

  Context &m_Context;
  Hooks m_Hooks;
  Following m_Following;   ///< As reported last.
  Instant m_MayReadFrom{}; ///< Earliest time at which this VM is a reader.
  Instant m_LastStoreResponse{};
  Instant m_UpdatesValidUntil{}; ///< End of the validity of readers' updates.
  fleetcost::TargetHistory m_History;   ///< Of this VM's own list.
  std::uint64_t m_PublishedVersion = 0; ///< That subscribers were sent.
  std::map<VmId, std::uint64_t> m_AppliedVersions; ///< For each reader.
  std::map<VmId, Instant> m_Subscribers;
  std::map<VmId, Instant> m_PendingRequests; ///< When they were sent.
  /// Positions of the polled readers in their order, modulo their number.
  std::array<std::size_t, 2> m_Polled{};
  std::size_t m_NextPoll = 0;             ///< Index in m_Polled.
  std::optional<VmId> m_UnansweredReader; ///< Polled last, without use so far.
  std::optional<ConfigFetch> m_Fetch;
  std::optional<TimerId> m_ExpiryTimer; ///< Runs at m_UpdatesValidUntil.
};

} // namespace bergamotstage::pooling

#endif // BERGAMOTSTAGE_POOLING_STOREREADERS_H
