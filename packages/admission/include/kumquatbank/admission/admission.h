#pragma once

/// Umbrella header of the admission package: ranked queues with floors, entry limits and retry budgets.

#include "kumquatbank/admission/AdmissionController.h"
#include "kumquatbank/admission/EntryLimiter.h"
#include "kumquatbank/admission/RetryBudget.h"
