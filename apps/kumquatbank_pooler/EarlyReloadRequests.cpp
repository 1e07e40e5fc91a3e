#include <csignal>

namespace {

void ignoreReloadRequests() { std::signal(SIGHUP, SIG_IGN); }

// A reload that is requested before the process handles SIGHUP must not end it. The loader runs this before the
// constructors of all shared libraries; main starts several milliseconds later.
[[gnu::section(".preinit_array"), gnu::used]] void (*const ignoreReloadRequestsEarly)() = ignoreReloadRequests;

} // namespace
