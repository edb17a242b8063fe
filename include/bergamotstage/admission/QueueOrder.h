#ifndef BERGAMOTSTAGE_ADMISSION_QUEUEORDER_H
#define BERGAMOTSTAGE_ADMISSION_QUEUEORDER_H

#include <cstdint>

namespace bergamotstage::admission {

/// @brief Order of the operations that wait for a target.
enum class QueueOrder : std::uint8_t {
  Fifo,   ///< By priority, then by arrival.
  Fair,   ///< By priority, then by fair queueing over accounts.
  Urgency ///< By deadline; the least important give way in an overload.
};

} // namespace bergamotstage::admission

#endif // BERGAMOTSTAGE_ADMISSION_QUEUEORDER_H
