#pragma once

/// Umbrella header of the transport package: HTTP, endpoint connections and peer messages.

#include "kumquatbank/transport/EndpointConnection.h"
#include "kumquatbank/transport/HttpClient.h"
#include "kumquatbank/transport/HttpServer.h"
#include "kumquatbank/transport/PeerClient.h"
#include "kumquatbank/transport/PeerMessage.h"
#include "kumquatbank/transport/PeerServer.h"
