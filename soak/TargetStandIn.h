#ifndef BERGAMOTSTAGE_SOAK_TARGETSTANDIN_H
#define BERGAMOTSTAGE_SOAK_TARGETSTANDIN_H

#include "platform/LineCodec.h"
#include "runtime/site/ByteStream.h"
#include "standin/site/ModelGroup.h"

#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace bergamotstage::soak {

/// @brief Reads a request to a target; nothing for any other line.
std::optional<pooling::LinkRequest> parseTargetRequest(const std::string &Line);

/// @brief A target on loopback that speaks the line protocol.
class TargetStandIn {
public:
  TargetStandIn(asio::io_context &Io, standin::ModelGroup &Group, TargetId Name,
                std::uint64_t &LastLink, std::mt19937_64 &Random);

  std::string address() const;
  /// @brief Answers and accepts nothing until it is lit again.
  void setDark(bool Dark) { m_Dark = Dark; }
  bool dark() const { return m_Dark; }
  /// @brief Part of the answers that are lost, from 0 to 1.
  void setLostReplies(double Part) { m_LostReplies = Part; }

private:
  struct Link {
    std::weak_ptr<runtime::ByteStream> Stream; ///< Whose hooks own the link.
    platform::LineSplitter Lines;
    std::uint64_t Key = 0;                  ///< 0 before its start.
    std::deque<pooling::LinkRequest> Queue; ///< They run one after the other.
    bool Busy = false;
    bool Silent = false;
  };

  void accept();
  void took(const std::shared_ptr<Link> &From, const std::string &Line);
  void start(const std::shared_ptr<Link> &From, const std::string &Line);
  void runNext(const std::shared_ptr<Link> &From);
  void run(const std::shared_ptr<Link> &From,
           const pooling::LinkRequest &Request);
  static void send(const Link &To, const std::string &Text);
  void sendAfter(const std::shared_ptr<Link> &To, Duration Work,
                 const std::string &Text);

  asio::io_context &m_Io;
  standin::ModelGroup &m_Group;
  TargetId m_Name;
  std::uint64_t &m_LastLink;
  std::mt19937_64 &m_Random;
  asio::ip::tcp::acceptor m_Acceptor;
  bool m_Dark = false;
  double m_LostReplies = 0;
};

} // namespace bergamotstage::soak

#endif // BERGAMOTSTAGE_SOAK_TARGETSTANDIN_H
