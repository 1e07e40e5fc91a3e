#pragma once

/// Umbrella header of the core package: the types every other package shares.

#include "kumquatbank/core/CallerRequest.h"
#include "kumquatbank/core/Cause.h"
#include "kumquatbank/core/Clock.h"
#include "kumquatbank/core/Deadline.h"
#include "kumquatbank/core/Failure.h"
#include "kumquatbank/core/HostAddress.h"
#include "kumquatbank/core/HostIdentity.h"
#include "kumquatbank/core/JsonText.h"
#include "kumquatbank/core/LogPosition.h"
#include "kumquatbank/core/Logging.h"
#include "kumquatbank/core/Rank.h"
#include "kumquatbank/core/SessionToken.h"
#include "kumquatbank/core/TextFile.h"
#include "kumquatbank/core/Verdict.h"
