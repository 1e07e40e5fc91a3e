#pragma once

/// Umbrella header of the platform package: the client of the platform's object API.

#include "kumquatbank/platform/PlatformClient.h"
#include "kumquatbank/platform/PlatformObject.h"
