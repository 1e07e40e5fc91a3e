#pragma once

#include "HostDirectory.h"

#include <nlohmann/json.hpp>
#include <string>

namespace kumquatbank {

/// A statement whose route an operator asks for.
struct RouteQuery {
    enum class Kind {
        Read,
        Write,
        Transaction, ///< One that may write.
    };

    std::string account; ///< Name of the client's account; empty for a client without one.
    std::string database;
    Kind kind = Kind::Read;
    /// Parses the target of an HTTP request, "/route?account=..&database=..&kind=read|write|transaction"; empty if it is not
    /// valid.
    static std::optional<RouteQuery> parse(const std::string& target);
};

/// Tells operators where a statement would go now, and why. Sends nothing and changes nothing.
class RouteExplainer {
public:
    /// The arguments must outlive this object.
    RouteExplainer(const ServiceRegistry& registry, const HostDirectory& hosts)
        : m_registry(registry)
        , m_hosts(hosts)
    {
    }

    nlohmann::json explain(const RouteQuery& query) const;

private:
    nlohmann::json explainOn(const DatabaseService& service, const Route& route, const RouteQuery& query) const;

    const ServiceRegistry& m_registry;
    const HostDirectory& m_hosts;
};

} // namespace kumquatbank
