#ifndef BERGAMOTSTAGE_CORE_STRONG_H
#define BERGAMOTSTAGE_CORE_STRONG_H

#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace bergamotstage {

/// @brief A strong type definition: a value of type @p Rep that only compares
/// with values of the same tag.
///
/// Ids of different tags do not convert into each other, so that a target's
/// name cannot be passed where a client account's is expected.
/// @tparam Tag an empty struct that identifies the type
/// @tparam Rep the stored type, for example std::string or std::uint64_t
template <class Tag, class Rep> class Strong {
public:
  using ValueType = Rep;

  Strong() = default;
  explicit Strong(Rep Value) : m_Value(std::move(Value)) {}

  /// @brief The stored value.
  const Rep &value() const { return m_Value; }

  friend bool operator==(const Strong &Left, const Strong &Right) {
    return Left.m_Value == Right.m_Value;
  }
  friend bool operator!=(const Strong &Left, const Strong &Right) {
    return !(Left == Right);
  }
  friend bool operator<(const Strong &Left, const Strong &Right) {
    return Left.m_Value < Right.m_Value;
  }
  friend bool operator>(const Strong &Left, const Strong &Right) {
    return Right < Left;
  }
  friend bool operator<=(const Strong &Left, const Strong &Right) {
    return !(Right < Left);
  }
  friend bool operator>=(const Strong &Left, const Strong &Right) {
    return !(Left < Right);
  }
  friend std::ostream &operator<<(std::ostream &Out, const Strong &Value) {
    return Out << Value.m_Value;
  }

private:
  Rep m_Value{};
};

} // namespace bergamotstage

template <class Tag, class Rep>
struct std::hash<bergamotstage::Strong<Tag, Rep>> {
  std::size_t
  operator()(const bergamotstage::Strong<Tag, Rep> &Value) const noexcept {
    return std::hash<Rep>()(Value.value());
  }
};

#endif // BERGAMOTSTAGE_CORE_STRONG_H
