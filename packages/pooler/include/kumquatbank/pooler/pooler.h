#pragma once

/// Umbrella header of the proxy process for line-protocol clients.

#include "kumquatbank/pooler/PoolerProcess.h"
#include "kumquatbank/pooler/PoolerSettings.h"
