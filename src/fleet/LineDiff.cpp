#include "bergamotstage/fleet/LineDiff.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace bergamotstage {
namespace {

constexpr std::size_t MaxCells = 4'000'000; ///< 16 MB of LCS lengths.

using Lines = std::vector<std::string_view>;

Lines splitLines(std::string_view Text) {
  Lines Result;
  while (!Text.empty()) {
    std::size_t End = Text.find('\n');
    Result.push_back(Text.substr(0, End));
    Text = End == std::string_view::npos ? "" : Text.substr(End + 1);
  }
  return Result;
}

/// @brief Lines of one text between the first and the last difference.
struct Range {
  const Lines &All;
  std::size_t Begin;
  std::size_t End;
  std::size_t size() const { return End - Begin; }
  std::string_view at(std::size_t Index) const { return All[Begin + Index]; }
};

void append(std::string &Out, char Sign, const Range &Source,
            std::size_t Index) {
  Out += Sign;
  Out += std::to_string(Source.Begin + Index + 1) + ": ";
  Out.append(Source.at(Index));
  Out += '\n';
}

/// @brief Lengths of the longest common subsequences (LCS) of all suffixes.
class LcsLengths {
public:
  LcsLengths(const Range &From, const Range &To)
      : m_Width(To.size() + 1), m_Cells((From.size() + 1) * m_Width) {
    for (std::size_t Row = From.size(); Row-- > 0;)
      for (std::size_t Column = To.size(); Column-- > 0;)
        m_Cells[Row * m_Width + Column] =
            From.at(Row) == To.at(Column)
                ? at(Row + 1, Column + 1) + 1
                : std::max(at(Row + 1, Column), at(Row, Column + 1));
  }

  std::uint32_t at(std::size_t Row, std::size_t Column) const {
    return m_Cells[Row * m_Width + Column];
  }

private:
  std::size_t m_Width;
  std::vector<std::uint32_t> m_Cells;
};

std::string diffByReplacement(const Range &From, const Range &To) {
  std::string Out;
  for (std::size_t At = 0; At < From.size(); ++At)
    append(Out, '-', From, At);
  for (std::size_t At = 0; At < To.size(); ++At)
    append(Out, '+', To, At);
  return Out;
}

std::string diffByLcs(const Range &From, const Range &To) {
  LcsLengths Common(From, To);
  std::string Out;
  std::size_t FromIndex = 0;
  std::size_t ToIndex = 0;
  while (FromIndex < From.size() || ToIndex < To.size()) {
    bool Both = FromIndex < From.size() && ToIndex < To.size();
    if (Both && From.at(FromIndex) == To.at(ToIndex)) {
      ++FromIndex;
      ++ToIndex;
      continue;
    }
    bool Remove =
        ToIndex == To.size() || (Both && Common.at(FromIndex + 1, ToIndex) >=
                                             Common.at(FromIndex, ToIndex + 1));
    if (Remove)
      append(Out, '-', From, FromIndex++);
    else
      append(Out, '+', To, ToIndex++);
  }
  return Out;
}

} // namespace

std::string lineDiff(std::string_view From, std::string_view To) {
  Lines FromLines = splitLines(From);
  Lines ToLines = splitLines(To);
  std::size_t Shorter = std::min(FromLines.size(), ToLines.size());
  std::size_t PrefixSize = 0;
  while (PrefixSize < Shorter && FromLines[PrefixSize] == ToLines[PrefixSize])
    ++PrefixSize;
  std::size_t SuffixSize = 0;
  while (SuffixSize < Shorter - PrefixSize &&
         FromLines[FromLines.size() - 1 - SuffixSize] ==
             ToLines[ToLines.size() - 1 - SuffixSize])
    ++SuffixSize;
  Range FromRange{FromLines, PrefixSize, FromLines.size() - SuffixSize};
  Range ToRange{ToLines, PrefixSize, ToLines.size() - SuffixSize};
  if ((FromRange.size() + 1) * (ToRange.size() + 1) > MaxCells)
    return diffByReplacement(FromRange, ToRange);
  return diffByLcs(FromRange, ToRange);
}

} // namespace bergamotstage
