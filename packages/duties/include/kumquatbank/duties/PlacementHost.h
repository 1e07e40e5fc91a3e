#pragma once

#include <string>

namespace kumquatbank {

/// A host to which duties can be assigned.
struct PlacementHost {
    std::string name; ///< Unique in the deployment.
    std::string dataCentre;
    std::string region;
    double weight = 1.0; ///< Processor cores; duties are assigned in proportion to it.
    bool lends = true; ///< Whether other hosts can borrow connections from it.
};

} // namespace kumquatbank
