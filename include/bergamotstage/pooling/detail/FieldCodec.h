#ifndef BERGAMOTSTAGE_POOLING_DETAIL_FIELDCODEC_H
#define BERGAMOTSTAGE_POOLING_DETAIL_FIELDCODEC_H

#include "bergamotstage/fleet/detail/ByteCodec.h"
#include "bergamotstage/pooling/OperationRequest.h"
#include "bergamotstage/pooling/TargetTable.h"

#include <optional>

namespace bergamotstage::pooling::detail {

using bergamotstage::detail::ByteReader;
using bergamotstage::detail::ByteWriter;

// Fields that several messages between VMs share. A malformed field
// invalidates the reader.

/// @brief Writes a time span in clock units; a negative one becomes zero.
void write(ByteWriter &Out, Duration Span);
Duration readDuration(ByteReader &In);

void write(ByteWriter &Out, const HistoryPoint &Point);
HistoryPoint readPoint(ByteReader &In);

void write(ByteWriter &Out, const std::optional<HistoryPoint> &Point);
std::optional<HistoryPoint> readOptionalPoint(ByteReader &In);

void write(ByteWriter &Out, const SharedValues &Values);
SharedValues readValues(ByteReader &In);

void write(ByteWriter &Out, const Statement &Stmt);
Statement readStatement(ByteReader &In);

void write(ByteWriter &Out, const OperationRequest &Request);
OperationRequest readOperationRequest(ByteReader &In);

void write(ByteWriter &Out, const StatementResult &Result);
StatementResult readResult(ByteReader &In);

void write(ByteWriter &Out, const TargetEntry &Entry);
TargetEntry readEntry(ByteReader &In);

} // namespace bergamotstage::pooling::detail

#endif // BERGAMOTSTAGE_POOLING_DETAIL_FIELDCODEC_H
