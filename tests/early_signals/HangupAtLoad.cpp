#include "HangupAtLoad.h"

#include <csignal>

namespace {

int raised = 0;

[[gnu::constructor]] void raiseHangup()
{
    raise(SIGHUP);
    ++raised;
}

} // namespace

int hangupsAtLoad() { return raised; }
