#ifndef BERGAMOTSTAGE_SOAK_TARGETSTANDIN_H
#define BERGAMOTSTAGE_SOAK_TARGETSTANDIN_H

#include "platform/LineCodec.h"
#include "runtime/site/ByteStream.h"
#include "standin/site/ModelGroup.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace bergamotstage::soak {

/// @brief Parses a request line; returns nothing if it is malformed.
std::optional<pooling::LinkRequest> parseTargetRequest(const std::string &Line);

/// @brief A loopback target that speaks the line protocol.
class TargetStandIn {
public:
  /// @brief Receives each read, write and commit that arrives, also while the
  /// target is unresponsive.
  using StatementHook =
      std::function<void(unsigned Vm, const pooling::Statement &)>;

  /// @param LastLink the last link key; all targets count it up
  /// @param Vms number of VMs; each has its own address, to tell who sends
  TargetStandIn(asio::io_context &Io, standin::ModelGroup &Group, TargetId Name,
                std::uint64_t &LastLink, std::mt19937_64 &Random, unsigned Vms);

  void onStatement(StatementHook Hook) { m_OnStatement = std::move(Hook); }
  std::string address(unsigned Vm) const;
  /// @brief Sets whether the target ignores everything it receives.
  void setUnresponsive(bool Unresponsive) { m_Unresponsive = Unresponsive; }
  bool isUnresponsive() const { return m_Unresponsive; }
  /// @brief Sets the fraction (0 to 1) of replies that are lost.
  void setLostReplyRatio(double Ratio) { m_LostReplyRatio = Ratio; }

private:
  struct Link {
    std::weak_ptr<runtime::ByteStream> Stream; ///< Its hooks own the link.
    unsigned Vm = 0;
    platform::LineSplitter Lines;
    std::uint64_t Key = 0;                  ///< 0 before START.
    std::deque<pooling::LinkRequest> Queue; ///< Run in sequence.
    bool Busy = false;
    bool Silent = false; ///< If set, requests and replies are dropped.
  };

  void accept(unsigned Vm);
  void onLine(const std::shared_ptr<Link> &Peer, const std::string &Line);
  void start(const std::shared_ptr<Link> &Peer, const std::string &Line);
  void runNext(const std::shared_ptr<Link> &Peer);
  void run(const std::shared_ptr<Link> &Peer,
           const pooling::LinkRequest &Request);
  static void send(const Link &Peer, const std::string &Text);
  void sendAfter(const std::shared_ptr<Link> &Peer, Duration Delay,
                 const std::string &Text);

  asio::io_context &m_Io;
  standin::ModelGroup &m_Group;
  TargetId m_Name;
  std::uint64_t &m_LastLink;
  std::mt19937_64 &m_Random;
  std::vector<asio::ip::tcp::acceptor> m_Acceptors; ///< One per VM.
  StatementHook m_OnStatement;
  bool m_Unresponsive = false;
  double m_LostReplyRatio = 0;
};

} // namespace bergamotstage::soak

#endif // BERGAMOTSTAGE_SOAK_TARGETSTANDIN_H
