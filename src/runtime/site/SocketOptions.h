#ifndef BERGAMOTSTAGE_RUNTIME_SITE_SOCKETOPTIONS_H
#define BERGAMOTSTAGE_RUNTIME_SITE_SOCKETOPTIONS_H

#include "bergamotstage/core/Time.h"

#include <asio/ip/tcp.hpp>

namespace bergamotstage::runtime {

/// @brief Sets keepalive and user timeout so that a connection to a dead peer
/// fails within @p Timeout, even when idle.
///
/// Unsupported options are ignored: request deadlines detect the same failures
/// later.
void setSilenceTimeout(asio::ip::tcp::socket &Socket, Duration Timeout);

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_SITE_SOCKETOPTIONS_H
