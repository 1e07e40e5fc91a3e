#pragma once

#include <string>

namespace kumquatbank {

/// A host that may be given duties.
struct PlacementHost {
    std::string name; ///< Unique in the deployment.
    std::string dataCentre;
    std::string region;
    double weight = 1.0; ///< Processor cores; a host gets duties in proportion to it.
    bool lends = true; ///< Whether others can borrow connections from it.
};

} // namespace kumquatbank
