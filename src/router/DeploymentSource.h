#pragma once

#include "base/Clock.h"
#include "routing/RoutingTable.h"

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace jasminestack {

/// \brief Versions of the deployment's documents (configuration, registrations and evacuations) that a daemon has.
/// Daemons compare them, and those with older documents import the documents of a peer.
struct DeploymentVersions {
    std::uint64_t configurationVersion { 0 }; ///< Version in force; 0: no configuration received.
    std::int64_t registrationsPosition { -1 }; ///< In the store's history of registrations; -1: none received.
    /// In the store's history of what the operator writes: the configuration and evacuations; -1: none received.
    std::int64_t operatorPosition { -1 };

    [[nodiscard]] friend bool operator==(const DeploymentVersions&, const DeploymentVersions&) = default;
};

/// \brief How a daemon follows the deployment's store. In a large fleet a few daemons read the store and the others
/// receive the documents from them, so that the calls to the store do not grow with the number of daemons.
enum class StoreRole : std::uint8_t {
    Independent, ///< Reads the store for itself; the role of all daemons of a small fleet.
    Reader, ///< Reads the store for the fleet and reports each change to its peers at once.
    Follower, ///< Does not read the store; imports the documents of readers.
    Fallback, ///< Reads the store for itself because no reader has sent an update lately.
    OutageFallback, ///< Reads the store for itself, rarely, because the readers cannot reach it.
};

/// \brief Receives changes of the deployment on the event loop's thread. Of the source's functions, only
/// importDocuments() may call the listener before it returns.
class DeploymentListener {
public:
    virtual ~DeploymentListener() = default;
    virtual void onRoutingTable(std::shared_ptr<const RoutingTable>) = 0;
    virtual void onRegistrations(const std::vector<Registration>&) = 0;

    /// \param zones Availability zones to whose endpoints nothing more may be sent; replaces the previous ones.
    virtual void onEvacuatedZones(const std::set<std::string>& zones) = 0;

    /// \param addresses "IP:PORT" of the daemons that are announced in the store, except for this one.
    virtual void onPeerAddresses(const std::vector<std::string>&) = 0;
};

/// \brief Follows the deployment's store: published configuration, registered endpoints and announced daemons.
class DeploymentSource {
public:
    virtual ~DeploymentSource() = default;
    virtual void start(DeploymentListener&) = 0;

    /// \brief Removes this daemon's announcement from the store.
    virtual void withdrawAnnouncement() = 0;

    [[nodiscard]] virtual DeploymentVersions versions() const = 0;

    /// \brief Changes how the daemon follows the store; the initial role is Independent.
    virtual void setStoreRole(StoreRole) = 0;

    /// \returns When the store last confirmed that both documents of this daemon are the newest; 0 if it never did.
    /// Only responses to this daemon's own reads count.
    [[nodiscard]] virtual Millis storeConfirmedAt() const = 0;

    /// \brief Records that the store has confirmed to a peer, at \p time, the configuration that this daemon has.
    virtual void onConfigurationConfirmedByPeer(Millis time) = 0;

    /// \returns When the store last confirmed, to this daemon or a peer, that the configuration in force is the newest.
    [[nodiscard]] virtual Millis configurationConfirmedAt() const = 0;

    /// \returns The longest time between two confirmations of the configuration while the store is reachable and
    /// nothing changes.
    [[nodiscard]] virtual Millis confirmationInterval() const = 0;

    /// \returns When the registrations were last read from the store.
    [[nodiscard]] virtual Millis registrationsReadAt() const = 0;

    /// \returns This daemon's documents, as input for a peer's importDocuments(). Documents and changes that the peer
    /// has already are left out.
    /// \param known The versions that the peer has.
    [[nodiscard]] virtual std::string exportDocuments(const DeploymentVersions& known) const = 0;

    /// \brief Applies those of a peer's documents that are newer than this daemon's; ignores older and malformed ones.
    virtual void importDocuments(std::string_view documents) = 0;
};

}
