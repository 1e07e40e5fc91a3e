#pragma once

/// Umbrella header of the ctl package: the commands of kumquatctl.

#include "kumquatbank/ctl/CommandLine.h"
#include "kumquatbank/ctl/ExitCode.h"
