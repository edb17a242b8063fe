#ifndef BERGAMOTSTAGE_BALANCING_TARGETSELECTOR_H
#define BERGAMOTSTAGE_BALANCING_TARGETSELECTOR_H

#include "bergamotstage/balancing/TargetEstimate.h"
#include "bergamotstage/pooling/Context.h"
#include "bergamotstage/pooling/OperationRequest.h"
#include "bergamotstage/pooling/PositionProofs.h"
#include "bergamotstage/pooling/Session.h"
#include "bergamotstage/pooling/SitePolicies.h"
#include "bergamotstage/pooling/TargetTable.h"

#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace bergamotstage::balancing {

/// @brief Selects the target of an operation and the VM that owns its links.
class TargetSelector {
public:
  /// @brief Returns the VMs that can run operations on a target, best first.
  /// The selector does not keep the reference.
  using OwnersHook = std::function<const std::vector<VmId> &(const TargetId &)>;

  using DataCentreHook = std::function<DataCentreId(const VmId &)>;

  /// @brief Returns the VM that may replace the primary of a group, if known.
  using LeaseHolderHook =
      std::function<std::optional<VmId>(const DatabaseId &)>;

  /// @brief The selected target and owner, or why there is none.
  struct Choice {
    enum class Kind : std::uint8_t {
      Chosen,
      NoPrimary,  ///< No usable primary is known.
      NoPosition, ///< No sufficiently recent position is proven.
      NoOwner,    ///< No reachable VM can own links to the target.
      NotAllowed  ///< Evacuations or home regions exclude all targets.
    };
    Kind Type = Kind::NoPrimary;
    TargetId Target;
    VmId Owner;
    pooling::Access AccessMode = pooling::Access::Primary;
    std::optional<HistoryPoint> After; ///< Position required of a replica.
    const char *Reason = "";           ///< For NotAllowed.
  };

  TargetSelector(pooling::Context &Ctx, const pooling::TargetTable &Targets,
                 OwnersHook Owners)
      : m_Context(Ctx), m_Targets(Targets), m_Owners(std::move(Owners)) {}

  /// @brief Selects target and owner of an operation.
  /// Complexity: linear in the targets of the group.
  Choice select(const pooling::Session &Caller,
                const pooling::Operation &Op) const;

  /// @brief Sets the regions of data centres, and a function that returns the
  /// data centre of a VM. Without it, home regions are not enforced.
  void setHomes(placement::HomeRegions Homes, DataCentreHook DataCentreOf) {
    m_Homes = std::move(Homes);
    m_DataCentreOf = std::move(DataCentreOf);
  }

  /// @brief Sets the function that returns the holder of a promotion lease.
  ///
  /// It replaces a primary that it cannot reach itself. Therefore it is the
  /// owner to use if the first ones cannot reach a primary that remains.
  void setLeaseHolderHook(LeaseHolderHook Hook) {
    m_LeaseHolder = std::move(Hook);
  }

  /// @brief Proven positions of a group.
  pooling::PositionProofs &proofs(const DatabaseId &Group) {
    return m_Proofs[Group];
  }

  /// @brief Records queue length and failure rate of a target.
  void recordLoad(const TargetId &Target, const pooling::TargetLoad &Load);
  /// @brief Pace of a target that its owner reported recently; 0 if none is
  /// known.
  unsigned reportedPace(const TargetId &Target) const;
  /// @brief Counts a statement that this VM sends to a target.
  void recordSent(const TargetId &Target) {
    m_States[Target].Estimate.recordSent(m_Context.now());
  }
  /// @brief Records whether a target failed a statement of this VM.
  void recordOutcome(const TargetId &Target, bool Failed);
  void markBehind(const TargetId &Target);
  void markUnreachable(const TargetId &Target);
  void forget(const TargetId &Target) { m_States.erase(Target); }

private:
  struct TargetState {
    Instant BehindUntil{};
    Instant UnreachableUntil{};
    TargetEstimate Estimate;
  };

  Choice selectPrimary(const pooling::Operation &Op) const;
  std::optional<HistoryPoint>
  requiredPosition(const pooling::Session &Caller,
                   const pooling::Operation &Op) const;
  double estimateCost(const pooling::ReadRule &Rule,
                      const pooling::TargetEntry &Target, bool IsPrimary) const;
  bool mayRunAt(const TargetId &Target, const pooling::Operation &Op) const;
  bool mayPass(const VmId &Vm, const pooling::Operation &Op) const;
  Choice notAllowed(const char *Reason) const;
  double expectedTimeMs(const pooling::TargetEntry &Target) const;
  const TargetEstimate &estimateOf(const TargetId &Target) const;
  double failureCostMs(const TargetEstimate &Estimate) const;
  std::optional<VmId> selectOwner(const TargetId &Target,
                                  const pooling::Operation &Op) const;
  bool mayOwn(const VmId &Vm, const TargetId &Target,
              const pooling::Operation &Op) const;

  pooling::Context &m_Context;
  const pooling::TargetTable &m_Targets;
  OwnersHook m_Owners;
  DataCentreHook m_DataCentreOf;
  LeaseHolderHook m_LeaseHolder;
  placement::HomeRegions m_Homes;
  std::map<DatabaseId, pooling::PositionProofs> m_Proofs;
  std::map<TargetId, TargetState> m_States;
};

} // namespace bergamotstage::balancing

#endif // BERGAMOTSTAGE_BALANCING_TARGETSELECTOR_H
