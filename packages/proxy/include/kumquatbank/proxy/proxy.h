#pragma once

/// Umbrella header of the proxy package: the process that callers and operators see.

#include "kumquatbank/proxy/ProxyProcess.h"
#include "kumquatbank/proxy/Settings.h"
