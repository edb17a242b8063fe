#ifndef BERGAMOTSTAGE_STANDIN_SITE_LINKMODEL_H
#define BERGAMOTSTAGE_STANDIN_SITE_LINKMODEL_H

#include "bergamotstage/core/Time.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace bergamotstage::standin {

/// @brief One direction of a network link, with a rate and a queue.
class LinkModel {
public:
  LinkModel() = default;
  /// @param BytesPerSecond rate of the link; 0 means no limit
  explicit LinkModel(std::uint64_t BytesPerSecond)
      : m_BytesPerSecond(BytesPerSecond) {}

  /// @brief Queues bytes.
  /// @param FirstByte when the first byte enters the queue
  /// @return when the last byte leaves it
  Instant transfer(Instant FirstByte, std::size_t Bytes) {
    m_FreeAt = std::max(m_FreeAt, FirstByte) + duration(Bytes);
    return m_FreeAt;
  }

  /// @brief Time that bytes take on an idle link.
  Duration duration(std::size_t Bytes) const {
    if (m_BytesPerSecond == 0)
      return Duration(0);
    return scaled(seconds(1), static_cast<double>(Bytes) /
                                  static_cast<double>(m_BytesPerSecond));
  }

private:
  std::uint64_t m_BytesPerSecond = 0;
  Instant m_FreeAt{};
};

} // namespace bergamotstage::standin

#endif // BERGAMOTSTAGE_STANDIN_SITE_LINKMODEL_H
