#include "HangupAtLoad.h"

#include <CppUTest/TestHarness.h>

TEST_GROUP(EarlyReloadRequest) {};

// Guards against a proxy that a SIGHUP ends while its shared libraries are initialised, before main handles signals.
TEST(EarlyReloadRequest, AHangupBeforeMainDoesNotEndTheProcess)
{
    CHECK_EQUAL(1, hangupsAtLoad());
}
