#pragma once

/// Umbrella header of the proxy package: the proxy process and its settings.

#include "kumquatbank/proxy/ProxyProcess.h"
#include "kumquatbank/proxy/Settings.h"
