#pragma once

/// Umbrella header of the group package: everything a holder does for one database group.

#include "kumquatbank/group/DatabaseGroup.h"
