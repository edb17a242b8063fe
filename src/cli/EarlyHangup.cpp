#include "cli/EarlyHangup.h"

#include <csignal>
#include <cstring>

namespace bergamotstage::cli {
namespace {

// Sanitizers are not initialized yet when this runs.
__attribute__((no_sanitize("address", "undefined"))) void
changeHangupMask(int How) {
  sigset_t Hangup;
  sigemptyset(&Hangup);
  sigaddset(&Hangup, SIGHUP);
  sigprocmask(How, &Hangup, nullptr);
}

__attribute__((no_sanitize("address", "undefined"))) void
blockHangup(int ArgumentCount, char **Arguments, char ** /*Environment*/) {
  if (ArgumentCount > 1 && std::strcmp(Arguments[1], "site") == 0)
    changeHangupMask(SIG_BLOCK);
}

// Initializers of shared libraries take long enough for a signal to arrive, and
// run before those of the program; this section runs before both.
__attribute__((section(".preinit_array"),
               used)) void (*const BlockHangupFirst)(int, char **,
                                                     char **) = blockHangup;

} // namespace

void deliverEarlyHangup() { changeHangupMask(SIG_UNBLOCK); }

} // namespace bergamotstage::cli
