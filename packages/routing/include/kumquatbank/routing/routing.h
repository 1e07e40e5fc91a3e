#pragma once

/// Umbrella header of the routing decisions: which endpoint may serve a statement, in which order requests get
/// connections, and which position a read requires. Nothing here uses the network; time is always an argument.

#include "kumquatbank/routing/AccountUsage.h"
#include "kumquatbank/routing/ClientAccount.h"
#include "kumquatbank/routing/ConnectionSharing.h"
#include "kumquatbank/routing/DecayingAverage.h"
#include "kumquatbank/routing/EndpointEntry.h"
#include "kumquatbank/routing/EndpointTable.h"
#include "kumquatbank/routing/FencingToken.h"
#include "kumquatbank/routing/GrantShares.h"
#include "kumquatbank/routing/KeyDigest.h"
#include "kumquatbank/routing/PermitRequest.h"
#include "kumquatbank/routing/PromotionPolicy.h"
#include "kumquatbank/routing/ReadFloor.h"
#include "kumquatbank/routing/RetryBudget.h"
#include "kumquatbank/routing/RoutingConfig.h"
#include "kumquatbank/routing/ServiceScheduler.h"
#include "kumquatbank/routing/SessionState.h"
#include "kumquatbank/routing/Statement.h"
#include "kumquatbank/routing/StatementError.h"
#include "kumquatbank/routing/StopSchedule.h"
#include "kumquatbank/routing/WaitingQueue.h"
