#ifndef BERGAMOTSTAGE_RUNTIME_PEERS_FORWARDFRAMES_H
#define BERGAMOTSTAGE_RUNTIME_PEERS_FORWARDFRAMES_H

#include "bergamotstage/node/Action.h"
#include "bergamotstage/node/Event.h"
#include "runtime/peers/FrameQueue.h"

#include <cstdint>
#include <string>

namespace bergamotstage::runtime {

/// @brief Largest number of row bytes in a frame; larger chunks are split.
constexpr std::size_t MaxRowsFrameBytes = std::size_t{1} << 20U;

/// @brief Encodes a statement.
/// @param Transaction id assigned by the home VM; 0 outside transactions
ForwardFrame statementFrame(std::uint64_t Id, const ForwardStatement &Request,
                            std::uint64_t Transaction);

/// @brief Decodes a statement without its ids.
ForwardReceived readStatement(const wire::peer::ForwardStatement &Message);

/// @brief Encodes an answer.
/// @param Token new session token; empty if unchanged
ForwardFrame answerFrame(std::uint64_t Id, const AnswerStatement &Answer,
                         std::string Token, std::uint64_t Transaction);

/// @brief Decodes an answer without its ids and chunk count.
ForwardAnswered readAnswer(const wire::peer::ForwardAnswer &Message);

/// @brief Encodes rows.
ForwardFrame rowsFrame(std::uint64_t Id, std::string Bytes);

/// @brief Encodes the return of row credit.
ForwardFrame creditFrame(std::uint64_t Id, std::size_t Bytes);

/// @brief Encodes the disconnect of a caller at the origin.
ForwardFrame closeFrame(CallerId Caller);

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_PEERS_FORWARDFRAMES_H
