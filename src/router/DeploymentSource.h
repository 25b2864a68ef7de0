#pragma once

#include "base/Clock.h"
#include "routing/RoutingTable.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace jasminestack {

/// \brief How far a daemon's knowledge of the deployment goes; compared between daemons.
struct DeploymentVersions {
    std::uint64_t configurationVersion { 0 }; ///< Version in force; 0 if none is known.
    std::int64_t registrationsPosition { -1 }; ///< Position in the store's history of registrations; -1 if unknown.

    [[nodiscard]] friend bool operator==(const DeploymentVersions&, const DeploymentVersions&) = default;
};

/// \brief Receives what the source learns. Called on the event loop's thread, never inside a call to the source.
class DeploymentListener {
public:
    virtual ~DeploymentListener() = default;
    virtual void onRoutingTable(std::shared_ptr<const RoutingTable>) = 0;
    virtual void onRegistrations(const std::vector<Registration>&) = 0;

    /// \brief Addresses "IP:PORT" of daemons that have announced themselves, without this one.
    virtual void onPeerAddresses(const std::vector<std::string>&) = 0;
};

/// \brief Follows the deployment's store: published configuration, registered endpoints, announced daemons.
class DeploymentSource {
public:
    virtual ~DeploymentSource() = default;
    virtual void start(DeploymentListener&) = 0;

    /// \brief Withdraws this daemon's announcement.
    virtual void leave() = 0;

    [[nodiscard]] virtual DeploymentVersions versions() const = 0;

    /// \returns When the configuration in force was last known to be the newest.
    [[nodiscard]] virtual Millis configurationConfirmedAt() const = 0;

    /// \returns How often the configuration is confirmed at most, if all is well and nothing changes.
    [[nodiscard]] virtual Millis confirmationInterval() const = 0;

    /// \returns When the registrations were last read from the store.
    [[nodiscard]] virtual Millis registrationsReadAt() const = 0;

    /// \returns What this daemon knows, for a peer's importDocuments().
    [[nodiscard]] virtual std::string exportDocuments() const = 0;

    /// \brief Takes over what is newer in a peer's documents; older or broken ones change nothing.
    virtual void importDocuments(std::string_view documents) = 0;
};

}
