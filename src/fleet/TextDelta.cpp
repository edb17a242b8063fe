#include "bergamotstage/fleet/TextDelta.h"

#include "bergamotstage/core/Invariant.h"

#include <xxhash.h>
#include <zstd.h>

#include <algorithm>
#include <memory>

namespace bergamotstage {
namespace {

constexpr int CompressionLevel = 1;
/// Limits of Zstandard's window, as powers of two; a decoder accepts no larger
/// one by default.
constexpr int MinWindowLog = 10;
constexpr int MaxWindowLog = 27;

/// @brief Returns a window that reaches from the end of a text to the start of
/// its base.
int windowLogFor(std::size_t Bytes) {
  int WindowLog = MinWindowLog;
  while (WindowLog < MaxWindowLog && (std::size_t{1} << WindowLog) < Bytes)
    ++WindowLog;
  return WindowLog;
}

} // namespace

TextDigest digestOf(std::string_view Text) {
  return TextDigest(
      std::max<std::uint64_t>(1, XXH3_64bits(Text.data(), Text.size())));
}

std::string compressText(std::string_view Text, std::string_view Base) {
  std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)> Context(
      ZSTD_createCCtx(), &ZSTD_freeCCtx);
  ZSTD_CCtx_setParameter(Context.get(), ZSTD_c_compressionLevel,
                         CompressionLevel);
  ZSTD_CCtx_setParameter(Context.get(), ZSTD_c_checksumFlag, 1);
  ZSTD_CCtx_setParameter(Context.get(), ZSTD_c_windowLog,
                         windowLogFor(Text.size() + Base.size()));
  if (!Base.empty()) {
    ZSTD_CCtx_setParameter(Context.get(), ZSTD_c_enableLongDistanceMatching, 1);
    ZSTD_CCtx_refPrefix(Context.get(), Base.data(), Base.size());
  }
  std::string Out(ZSTD_compressBound(Text.size()), '\0');
  std::size_t Length = ZSTD_compress2(Context.get(), Out.data(), Out.size(),
                                      Text.data(), Text.size());
  BERGAMOTSTAGE_INVARIANT(ZSTD_isError(Length) == 0,
                          "a text cannot be compressed");
  Out.resize(Length);
  return Out;
}

tl::expected<std::string, std::string>
decompressText(std::string_view Compressed, std::string_view Base,
               std::size_t MaxBytes) {
  unsigned long long Length =
      ZSTD_getFrameContentSize(Compressed.data(), Compressed.size());
  if (Length == ZSTD_CONTENTSIZE_ERROR || Length == ZSTD_CONTENTSIZE_UNKNOWN)
    return tl::make_unexpected(
        std::string("is not a compressed text of known length"));
  if (Length > MaxBytes)
    return tl::make_unexpected("has " + std::to_string(Length) +
                               " bytes; the limit is " +
                               std::to_string(MaxBytes));
  std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)> Context(
      ZSTD_createDCtx(), &ZSTD_freeDCtx);
  ZSTD_DCtx_refPrefix(Context.get(), Base.data(), Base.size());
  std::string Text(Length, '\0');
  std::size_t Restored =
      ZSTD_decompressDCtx(Context.get(), Text.data(), Text.size(),
                          Compressed.data(), Compressed.size());
  if (ZSTD_isError(Restored) != 0)
    return tl::make_unexpected(std::string("cannot be decompressed: ") +
                               ZSTD_getErrorName(Restored));
  return Text;
}

} // namespace bergamotstage
