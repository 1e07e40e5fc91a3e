#pragma once

/// Umbrella header of the assignment of duties to hosts: which host of a region is responsible for a service, and which
/// hosts of a region watch the store on behalf of the others, and which hosts still live. Nothing here uses the network.

#include "kumquatbank/duties/HostLiveness.h"
#include "kumquatbank/duties/Placement.h"
#include "kumquatbank/duties/PlacementHost.h"
