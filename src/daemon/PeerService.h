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

/// \brief Handlers of the peer messages that PeerService does not process; messages with an empty handler are dropped.
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
    /// While the log can be read and a configuration is in force, a peer's configuration is requested only after peers
    /// have reported a newer one for this time.
    Millis peerFallbackDelay { 1'000 };
    Millis configurationRequestInterval { 500 }; ///< Minimum time between configuration requests.
    /// A peer to which send() sent a message within the last 2 s is probed if no message was received from it for this
    /// time.
    Millis receiveTimeout { 1'500 };
    /// A peer to which send() sent a message within the last 2 s is probed if its last acknowledgement is at least this
    /// old.
    Millis maximumAckAge { 4'000 };
};

/// \brief Dependencies of PeerService; all referenced objects must outlive it.
struct PeerServiceContext {
    const Clock& clock;
    PeerTransport& transport;
    SelfState& self;
    MemberTable& members;
    ConfigurationService& configuration;
    Metrics& metrics;
};

/// \brief Sends and receives the messages between daemons: authenticates, dispatches and counts them, maintains the
/// membership and distributes the configuration. Call tick() every 50 ms.
class PeerService {
public:
    PeerService(const PeerServiceContext&, PeerServiceOptions, PeerHandlers);
    PeerService(const PeerService&) = delete;
    PeerService& operator=(const PeerService&) = delete;

    void tick();

    /// \brief Sends messages to the members' addresses. Messages addressed to this daemon are dispatched inside the
    /// call; messages to unknown members are dropped.
    void send(std::vector<OutboundMessage>);

    /// \brief Sends \p payload to all live members.
    void broadcast(const PeerPayload& payload);

    /// \brief Replaces the peer addresses received from the host list.
    void setHostAddresses(std::vector<std::string> addresses);

    /// \brief Announces to the members that this daemon is leaving the fleet; nothing is sent afterwards.
    void leave();

    /// \returns Whether this daemon has the highest rendezvous score for \p key among the live members.
    [[nodiscard]] bool ownsKey(std::string_view key) const;

private:
    void receive(std::string_view bytes);
    void handleMessage(const PeerMessage&);
    void dispatch(const PeerMessage&);
    void sendTo(std::string_view address, PeerPayload payload);
    void sendAddressed(std::vector<AddressedMessage>);
    void recordPeerDigest(const DaemonId& sender, const ConfigurationDigest&);
    void requestConfiguration();
    void probeRecentRecipients();
    void countMessage(std::string_view direction, const PeerPayload&, std::size_t bytes);
    [[nodiscard]] MembershipView view();

    PeerServiceContext m_context;
    PeerServiceOptions m_options;
    PeerHandlers m_handlers;
    PeerCodec m_codec;
    MembershipState m_membership;
    std::uint64_t m_sequence { 0 };
    /// Time of the last message that send() sent to each member; probes and acknowledgements don't count.
    std::map<DaemonId, Millis> m_lastSentAt;
    std::map<DaemonId, Millis> m_lastAckAt; ///< Time of the last acknowledgement from each member.
    Millis m_nextProbeCheckAt {};
    ConfigurationDigest m_newestDigest; ///< Newest configuration digest that a peer has reported.
    DaemonId m_newestDigestSender;
    Millis m_lastUpToDateAt {}; ///< Last time at which no peer had reported a newer configuration.
    Millis m_lastConfigurationRequestAt {};
};

/// \brief Discards all messages; used when the daemon runs without peers.
class NullPeerTransport final : public PeerTransport {
public:
    void send(std::string_view, std::string_view) override { }
    void setReceiveHandler(Handler) override { }
};

/// \brief Reads the fleet key from the file or the environment variable that the settings name.
/// \returns The key without trailing line breaks; SettingsInvalid if it cannot be read or is empty.
[[nodiscard]] Result<std::string> readFleetKey(const std::string& file, const std::string& environmentVariable);

}
