#pragma once

#include "kumquatbank/core/core.h"

namespace kumquatbank {

/// What this process believes of a proxy process.
enum class MemberState {
    Alive,
    Suspect, ///< Did not answer; may still refute. Keeps its duties.
    Leaving, ///< Announced its shutdown; takes no new duties.
    Dead,
};

/// One row of the member table.
struct Member {
    HostIdentity identity;
    MemberState state = MemberState::Alive;
};

} // namespace kumquatbank
