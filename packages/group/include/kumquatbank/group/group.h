#pragma once

/// Umbrella header of the group package, which implements a holder's work for one database group.

#include "kumquatbank/group/DatabaseGroup.h"
