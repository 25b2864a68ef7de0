#pragma once

#include "core/Membership.h"
#include "daemon/ConfigurationService.h"
#include "net/Interfaces.h"
#include "net/PeerCodec.h"
#include "observe/Metrics.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jasminestack {

/// \brief Receivers of the peer messages that PeerService does not handle itself; empty ones are skipped.
struct PeerHandlers {
    std::function<std::vector<OutboundMessage>(const PeerMessage&, const DemandReport&)> demandReport;
    std::function<void(const PeerMessage&, const Allocation&)> allocation;
    std::function<void(const PeerMessage&, const CellReport&)> cellReport;
    std::function<void(const CrashMark&)> crashMark;
    std::function<void(const EndpointLeavingUpdate&)> endpointLeavingUpdate;
};

struct PeerServiceOptions {
    std::string fleetKey;
    std::vector<std::string> seeds;
    std::uint64_t randomSeed { 0 };
    MembershipOptions membership;
    Millis behindGrace { 1'000 }; ///< A daemon whose log works asks a peer only when it stays behind for this time.
    Millis requestInterval { 500 }; ///< Between requests for a configuration.
    Millis silence { 1'500 }; ///< A peer that is sent to and not heard for this time is probed.
    Millis confirmInterval { 4'000 }; ///< A peer that is sent to is probed if its last answer is older.
};

/// \brief What PeerService works on.
struct PeerServiceContext {
    const Clock& clock;
    PeerTransport& transport;
    SelfState& self;
    MemberTable& members;
    ConfigurationService& configuration;
    Metrics& metrics;
};

/// \brief Messages between daemons: authenticates, dispatches and counts them, keeps the membership and spreads the
/// configuration. Call tick() every 50 ms.
class PeerService {
public:
    PeerService(const PeerServiceContext&, PeerServiceOptions, PeerHandlers);
    PeerService(const PeerService&) = delete;
    PeerService& operator=(const PeerService&) = delete;

    void tick();

    /// \brief Sends to the members' addresses. Messages to this daemon itself are handled at once; messages to unknown
    /// members are dropped.
    void send(std::vector<OutboundMessage>);

    /// \brief Sends \p payload to all running members.
    void broadcast(const PeerPayload& payload);

    /// \brief Takes over the peer addresses of the host list.
    void setHostAddresses(std::vector<std::string> addresses);

    /// \brief Tells the others that this daemon stops; nothing is sent afterwards.
    void leave();

    /// \returns Whether this daemon has the highest rendezvous score for \p key among the running members.
    [[nodiscard]] bool owns(std::string_view key) const;

private:
    void receive(std::string_view bytes);
    void handle(const PeerMessage&);
    void handleOther(const PeerMessage&);
    void sendTo(std::string_view address, PeerPayload payload);
    void sendAll(std::vector<AddressedMessage>);
    void noteDigest(const DaemonId& sender, const ConfigurationDigest&);
    void requestConfiguration();
    void probeContacts();
    void count(std::string_view direction, const PeerPayload&, std::size_t bytes);
    [[nodiscard]] MembershipView view();

    PeerServiceContext m_context;
    PeerServiceOptions m_options;
    PeerHandlers m_handlers;
    PeerCodec m_codec;
    MembershipState m_membership;
    std::uint64_t m_sequence { 0 };
    std::map<DaemonId, Millis> m_lastSent; ///< Messages other than probes and answers.
    std::map<DaemonId, Millis> m_lastAnswer; ///< Answers to probes.
    Millis m_nextContactCheck {};
    ConfigurationDigest m_newest; ///< The newest state that a peer has reported.
    DaemonId m_newestAt;
    Millis m_behindSince {};
    Millis m_lastRequest {};
};

/// \brief A transport without peers.
class NullPeerTransport final : public PeerTransport {
public:
    void send(std::string_view, std::string_view) override { }
    void setReceiveHandler(Handler) override { }
};

/// \brief Reads the fleet key from the file or the environment variable that the settings name.
/// \returns SettingsInvalid if there is none.
[[nodiscard]] Result<std::string> readFleetKey(const std::string& file, const std::string& environment);

}
