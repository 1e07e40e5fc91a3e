#pragma once

#include "EmulatedPlatform.h"

#include <random>

namespace kumquatbank {

/// Draws disturbances of commands in the middle of a session: refusals, and connections that end around an answer.
class CommandDisturbances {
public:
    CommandDisturbances(EmulatedPlatform& platform, const EmulatedPlatform::Shape& shape, unsigned seed);

    /// Disturbs the next commands of one kind at one database. Returns what it does.
    std::string disturbOne();
    /// Moves the lead of a service under the open transactions of the former primary. Returns what it does; empty if it could not.
    std::string moveLead();

private:
    EmulatedPlatform& m_platform;
    EmulatedPlatform::Shape m_shape;
    std::mt19937 m_random;
};

} // namespace kumquatbank
