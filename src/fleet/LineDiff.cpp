#include "bergamotstage/fleet/LineDiff.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace bergamotstage {
namespace {

constexpr std::size_t MostCells = 4'000'000; ///< Of the table of lengths.

using Lines = std::vector<std::string_view>;

Lines split(std::string_view Text) {
  Lines Found;
  while (!Text.empty()) {
    std::size_t End = Text.find('\n');
    Found.push_back(Text.substr(0, End));
    Text = End == std::string_view::npos ? "" : Text.substr(End + 1);
  }
  return Found;
}

/// @brief The lines of one text between the first and the last difference.
struct Range {
  const Lines &All;
  std::size_t Begin;
  std::size_t End;
  std::size_t size() const { return End - Begin; }
  std::string_view at(std::size_t Index) const { return All[Begin + Index]; }
};

void append(std::string &Out, char Sign, const Range &Of, std::size_t Index) {
  Out += Sign;
  Out += std::to_string(Of.Begin + Index + 1) + ": ";
  Out.append(Of.at(Index));
  Out += '\n';
}

/// @brief Lengths of the longest common subsequences of all tails.
class CommonLengths {
public:
  CommonLengths(const Range &From, const Range &To)
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

std::string replaceAll(const Range &From, const Range &To) {
  std::string Out;
  for (std::size_t At = 0; At < From.size(); ++At)
    append(Out, '-', From, At);
  for (std::size_t At = 0; At < To.size(); ++At)
    append(Out, '+', To, At);
  return Out;
}

std::string matched(const Range &From, const Range &To) {
  CommonLengths Common(From, To);
  std::string Out;
  std::size_t Old = 0;
  std::size_t New = 0;
  while (Old < From.size() || New < To.size()) {
    bool Both = Old < From.size() && New < To.size();
    if (Both && From.at(Old) == To.at(New)) {
      ++Old;
      ++New;
      continue;
    }
    bool Remove = New == To.size() ||
                  (Both && Common.at(Old + 1, New) >= Common.at(Old, New + 1));
    if (Remove)
      append(Out, '-', From, Old++);
    else
      append(Out, '+', To, New++);
  }
  return Out;
}

} // namespace

std::string lineDiff(std::string_view From, std::string_view To) {
  Lines Old = split(From);
  Lines New = split(To);
  std::size_t Least = std::min(Old.size(), New.size());
  std::size_t Same = 0;
  while (Same < Least && Old[Same] == New[Same])
    ++Same;
  std::size_t Tail = 0;
  while (Tail < Least - Same &&
         Old[Old.size() - 1 - Tail] == New[New.size() - 1 - Tail])
    ++Tail;
  Range OldPart{Old, Same, Old.size() - Tail};
  Range NewPart{New, Same, New.size() - Tail};
  if ((OldPart.size() + 1) * (NewPart.size() + 1) > MostCells)
    return replaceAll(OldPart, NewPart);
  return matched(OldPart, NewPart);
}

} // namespace bergamotstage
