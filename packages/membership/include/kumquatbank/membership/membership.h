#pragma once

/// Umbrella header of the membership package: live processes, holder placement, gossip and relays.

#include "kumquatbank/membership/Membership.h"
#include "kumquatbank/membership/Placement.h"
