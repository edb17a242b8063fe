#include "runtime/site/LinkSockets.h"

#include <utility>

namespace bergamotstage::runtime {
namespace {

/// Exceeds the longest statement timeout. Shorter silence is evaluated by the
/// node, which sees all links of a target.
constexpr Duration SilenceTimeout = seconds(4);

} // namespace

void LinkSockets::open(LinkId Id, const pooling::LinkTarget &To) {
  ByteStream::Hooks Hooks;
  Hooks.Received = [this, Id](std::string_view Bytes) {
    onReceived(Id, Bytes);
  };
  Hooks.Ended = [this, Id](const std::string &Reason) { fail(Id, Reason); };
  Link &Entry = m_Links[Id];
  Entry.Stream =
      ByteStream::connect(m_Io, To.Address, SilenceTimeout, std::move(Hooks));
  Entry.Stream->send(platform::encodeLinkStart(To));
}

void LinkSockets::send(LinkId Id, const pooling::LinkRequest &Request) {
  auto Found = m_Links.find(Id);
  if (Found != m_Links.end())
    Found->second.Stream->send(platform::encodeLinkRequest(Request));
}

void LinkSockets::close(LinkId Id) {
  auto Found = m_Links.find(Id);
  if (Found == m_Links.end())
    return;
  auto Stream = Found->second.Stream;
  m_Links.erase(Found);
  Stream->close();
}

void LinkSockets::fail(LinkId Id, const std::string &Reason) {
  auto Found = m_Links.find(Id);
  if (Found == m_Links.end())
    return;
  auto Refusal = Found->second.Reader.pendingError();
  bool Established = Found->second.Open;
  close(Id);
  if (!Established && Refusal)
    return m_Hooks.Refused(Id, *Refusal);
  m_Hooks.Failed(Id, Reason);
}

void LinkSockets::onReceived(LinkId Id, std::string_view Bytes) {
  auto Found = m_Links.find(Id);
  if (Found == m_Links.end())
    return;
  Found->second.Lines.append(Bytes);
  while (true) {
    // The reply may have closed the link.
    Found = m_Links.find(Id);
    if (Found == m_Links.end())
      return;
    auto Line = Found->second.Lines.next();
    if (!Line) {
      if (Found->second.Lines.isOverflowed())
        fail(Id, "a line of a reply is too long");
      return;
    }
    handleLine(Id, Found->second, *Line);
  }
}

void LinkSockets::handleLine(LinkId Id, Link &Source, const std::string &Line) {
  switch (Source.Reader.addLine(Line)) {
  case platform::LinkReplyReader::Progress::More:
    return;
  case platform::LinkReplyReader::Progress::Malformed:
    return fail(Id, "malformed reply");
  case platform::LinkReplyReader::Progress::Complete:
    break;
  }
  pooling::LinkReply Reply = Source.Reader.takeReply();
  if (Source.Open)
    return m_Hooks.Replied(Id, std::move(Reply));
  if (Reply.Error) {
    close(Id);
    return m_Hooks.Refused(Id, *Reply.Error);
  }
  Source.Open = true;
  m_Hooks.Opened(Id, Reply.Position);
}

} // namespace bergamotstage::runtime
