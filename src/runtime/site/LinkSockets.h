#ifndef BERGAMOTSTAGE_RUNTIME_SITE_LINKSOCKETS_H
#define BERGAMOTSTAGE_RUNTIME_SITE_LINKSOCKETS_H

#include "bergamotstage/pooling/LinkMessage.h"
#include "platform/LineCodec.h"
#include "runtime/site/ByteStream.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace bergamotstage::runtime {

/// @brief Owns the connections to targets and decodes their replies.
class LinkSockets {
public:
  struct Hooks {
    std::function<void(LinkId, const std::optional<HistoryPoint> &)> Opened;
    std::function<void(LinkId, pooling::ErrorCode)> Refused;
    std::function<void(LinkId, const std::string &Reason)> Failed;
    std::function<void(LinkId, pooling::LinkReply &&)> Replied;
  };

  LinkSockets(asio::io_context &Io, Hooks Callbacks)
      : m_Io(Io), m_Hooks(std::move(Callbacks)) {}

  void open(LinkId Id, const pooling::LinkTarget &To);
  void send(LinkId Id, const pooling::LinkRequest &Request);
  void close(LinkId Id);

private:
  struct Link {
    std::shared_ptr<ByteStream> Stream;
    platform::LineSplitter Lines;
    platform::LinkReplyReader Reader;
    bool Open = false;
  };

  void onReceived(LinkId Id, std::string_view Bytes);
  void handleLine(LinkId Id, Link &Source, const std::string &Line);
  void fail(LinkId Id, const std::string &Reason);

  asio::io_context &m_Io;
  Hooks m_Hooks;
  std::map<LinkId, Link> m_Links;
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_SITE_LINKSOCKETS_H
