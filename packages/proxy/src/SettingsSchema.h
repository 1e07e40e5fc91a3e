#pragma once

#include <string_view>

namespace kumquatbank {

/// JSON schema of the settings file. Error messages state the allowed values with the text of "description".
constexpr std::string_view settingsSchema = R"({
  "type": "object",
  "description": "an object with the keys shown by --print-defaults",
  "additionalProperties": false,
  "required": ["deployment", "place", "callerAddress", "peerAddress", "metricsAddress", "platformAddress"],
  "properties": {
    "deployment": { "type": "string", "minLength": 1, "maxLength": 64, "description": "a name of 1 to 64 characters" },
    "place": { "type": "string", "minLength": 1, "maxLength": 64, "description": "a name of 1 to 64 characters" },
    "callerAddress": { "type": "string", "description": "an address of the form ip:port" },
    "peerAddress": { "type": "string", "description": "an address of the form ip:port" },
    "metricsAddress": { "type": "string", "description": "an address of the form ip:port" },
    "platformAddress": { "type": "string", "description": "an address of the form ip:port" },
    "seeds": { "type": "array", "maxItems": 64, "items": { "type": "string", "description": "an address of the form ip:port" }, "description": "a list of at most 64 addresses of the form ip:port" },
    "logLevels": { "type": "object", "additionalProperties": { "type": "string", "enum": ["trace", "debug", "info", "warn", "error", "off"], "description": "trace, debug, info, warn, error or off" }, "description": "an object from part to level" },
    "callerThreads": { "type": "integer", "minimum": 32, "maximum": 4096, "description": "a whole number from 32 to 4096" },
    "peerThreads": { "type": "integer", "minimum": 32, "maximum": 4096, "description": "a whole number from 32 to 4096" },
    "platformCallsPerSecond": { "type": "number", "minimum": 0.5, "maximum": 100, "description": "a number from 0.5 to 100" },
    "probeIntervalMs": { "type": "integer", "minimum": 50, "maximum": 10000, "description": "a whole number from 50 to 10000" },
    "probeTimeoutMs": { "type": "integer", "minimum": 50, "maximum": 10000, "description": "a whole number from 50 to 10000" },
    "gossipIntervalMs": { "type": "integer", "minimum": 100, "maximum": 10000, "description": "a whole number from 100 to 10000" },
    "delayThresholdMs": { "type": "integer", "minimum": 1, "maximum": 60000, "description": "a whole number from 1 to 60000" },
    "transactionIdleMs": { "type": "integer", "minimum": 100, "maximum": 600000, "description": "a whole number from 100 to 600000" },
    "drainNoticeMs": { "type": "integer", "minimum": 0, "maximum": 60000, "description": "a whole number from 0 to 60000" },
    "admissionPolicy": { "type": "string", "enum": ["ranked", "strict", "fifo"], "description": "ranked, strict or fifo" },
    "confirmByReplica": { "type": "boolean", "description": "true or false" }
  }
})";

} // namespace kumquatbank
