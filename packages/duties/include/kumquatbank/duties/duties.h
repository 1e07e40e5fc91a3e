#pragma once

/// Umbrella header of the duties: which host of a region is responsible for a service, and which hosts of a region
/// follow the store for the others. Nothing here uses the network.

#include "kumquatbank/duties/Placement.h"
#include "kumquatbank/duties/PlacementHost.h"
