#pragma once

/// Umbrella header of the event loop: sockets, HTTP, timers and the event log. All classes are meant for one io_context
/// that is run by a single thread; none of them is thread-safe.

#include "kumquatbank/core/BootClock.h"
#include "kumquatbank/engine/Async.h"
#include "kumquatbank/engine/AutoResetEvent.h"
#include "kumquatbank/engine/DisconnectWatch.h"
#include "kumquatbank/engine/EventLog.h"
#include "kumquatbank/engine/HttpClient.h"
#include "kumquatbank/engine/HttpListener.h"
#include "kumquatbank/engine/KeepRunning.h"
#include "kumquatbank/engine/LineChannel.h"
#include "kumquatbank/engine/LogFailure.h"
#include "kumquatbank/engine/Random.h"
#include "kumquatbank/engine/TcpListener.h"
