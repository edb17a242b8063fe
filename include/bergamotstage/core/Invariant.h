#ifndef BERGAMOTSTAGE_CORE_INVARIANT_H
#define BERGAMOTSTAGE_CORE_INVARIANT_H

namespace bergamotstage {
namespace detail {

/// @brief Prints the violated invariant to standard error and aborts.
[[noreturn]] void reportBrokenInvariant(const char *Description,
                                        const char *File, int Line);

} // namespace detail

/// @brief Aborts the process when @p Condition is false.
///
/// Only for states that no input can cause. Invalid input and failures of other
/// components are reported as errors instead.
#define BERGAMOTSTAGE_INVARIANT(Condition, Description)                        \
  do {                                                                         \
    if (!(Condition))                                                          \
      ::bergamotstage::detail::reportBrokenInvariant(Description, __FILE__,    \
                                                     __LINE__);                \
  } while (false)

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_CORE_INVARIANT_H
