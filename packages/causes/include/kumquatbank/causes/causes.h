#pragma once

/// Umbrella header of the causes package: who and what was behind refusals and delays.

#include "kumquatbank/causes/CauseBatch.h"
#include "kumquatbank/causes/CauseFlusher.h"
#include "kumquatbank/causes/CauseLedger.h"
#include "kumquatbank/causes/CauseReport.h"
#include "kumquatbank/causes/CauseRow.h"
