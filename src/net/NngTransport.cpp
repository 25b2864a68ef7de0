#include "net/NngTransport.h"

#include "net/AddressBinder.h"
#include "net/EventCallback.h"
#include "net/PeerCodec.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <event2/event.h>
#include <map>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>
#include <thread>

namespace jasminestack {

namespace {

    /// Messages queued while a connection is being established. Further messages are dropped: they would be out of date
    /// when the connection is established.
    constexpr int sendQueueMessages = 32;
    constexpr int receiveQueueMessages = 512;
    /// Messages handled before the loop serves other events; the descriptor stays readable while more are queued.
    constexpr int maxMessagesPerTurn = 128;
    constexpr nng_duration reconnectMinMs = 100;
    constexpr nng_duration reconnectMaxMs = 1'000;

    // nng_close() can block forever while connections are opened and closed (nng 1.5.2, for dialing and listening
    // sockets: it hung in about 1 of 60 runs of the link tests). To keep the event loop from blocking, each call runs
    // in a separate thread, which uses only the socket.
    void closeInBackground(nng_socket socket)
    {
        std::thread([socket] { nng_close(socket); }).detach();
    }

    // Of nng's codes only those that may pass have an errno.
    int systemErrorOf(int errorCode)
    {
        switch (errorCode) {
        case NNG_EADDRINUSE:
            return EADDRINUSE;
        case NNG_EADDRINVAL:
            return EADDRNOTAVAIL;
        default:
            return 0;
        }
    }

    Error listenError(std::string_view address, int errorCode)
    {
        if (int systemError = systemErrorOf(errorCode); systemError != 0)
            return bindError("tcp", address, systemError);
        return { .kind = ErrorKind::SettingsInvalid,
            .message = "cannot listen for peers on " + std::string(address) + ": " + nng_strerror(errorCode) };
    }

}

struct NngTransport::State {
    struct Dialer {
        nng_socket socket NNG_SOCKET_INITIALIZER;
        Millis openedAt {};
        Millis lastSentAt {};
    };

    const Clock& clock;
    NngTransportOptions options;
    nng_socket pullSocket NNG_SOCKET_INITIALIZER;
    nng_listener listener NNG_LISTENER_INITIALIZER;
    std::uint16_t port { 0 };
    event* receiveEvent { nullptr };
    event* cleanupTimer { nullptr };
    Handler handler;
    std::map<std::string, Dialer, std::less<>> dialers;
    std::map<std::string, Millis, std::less<>> lastReceivedAt;
    NngTransportCounters counters;

    State(const Clock& transportClock, const NngTransportOptions& transportOptions)
        : clock(transportClock)
        , options(transportOptions)
    {
    }

    ~State()
    {
        if (receiveEvent)
            event_free(receiveEvent);
        if (cleanupTimer)
            event_free(cleanupTimer);
        for (auto& [address, dialer] : dialers)
            closeInBackground(dialer.socket);
        nng_listener_close(listener); // Frees the port at once.
        closeInBackground(pullSocket);
    }

    static void onReadable(evutil_socket_t, short, void* argument) { static_cast<State*>(argument)->receive(); }

    void receive()
    {
        for (int i = 0; i < maxMessagesPerTurn; ++i) {
            nng_msg* message = nullptr;
            if (nng_recvmsg(pullSocket, &message, NNG_FLAG_NONBLOCK) != 0)
                return;
            std::string_view bytes(static_cast<const char*>(nng_msg_body(message)), nng_msg_len(message));
            ++counters.messagesReceived;
            counters.bytesReceived += bytes.size() + framingBytes;
            if (handler)
                runGuarded("peer_message", [&] { handler(bytes); });
            nng_msg_free(message);
        }
    }

    bool hasPeerTimedOut(const std::string& address, const Dialer& dialer, Millis now) const
    {
        Millis lastReceivedOrOpenedAt = dialer.openedAt;
        if (auto it = lastReceivedAt.find(address); it != lastReceivedAt.end())
            lastReceivedOrOpenedAt = std::max(lastReceivedOrOpenedAt, it->second);
        return now - lastReceivedOrOpenedAt >= options.peerTimeout;
    }

    void close(std::map<std::string, Dialer, std::less<>>::iterator position)
    {
        closeInBackground(position->second.socket);
        dialers.erase(position);
    }

    Dialer* findOrOpenDialer(std::string_view address)
    {
        Millis now = clock.now();
        auto it = dialers.find(address);
        if (it != dialers.end()) {
            if (!hasPeerTimedOut(it->first, it->second, now))
                return &it->second;
            close(it);
            ++counters.connectionsReplaced;
        }
        Dialer dialer { .openedAt = now, .lastSentAt = now };
        if (nng_push0_open(&dialer.socket) != 0)
            return nullptr;
        nng_socket_set_int(dialer.socket, NNG_OPT_SENDBUF, sendQueueMessages);
        nng_socket_set_ms(dialer.socket, NNG_OPT_RECONNMINT, reconnectMinMs);
        nng_socket_set_ms(dialer.socket, NNG_OPT_RECONNMAXT, reconnectMaxMs);
        std::string url = "tcp://" + std::string(address);
        if (nng_dial(dialer.socket, url.c_str(), nullptr, NNG_FLAG_NONBLOCK) != 0) {
            closeInBackground(dialer.socket);
            return nullptr;
        }
        return &dialers.emplace(address, dialer).first->second;
    }
};

Result<std::unique_ptr<NngTransport>> NngTransport::open(
    event_base& base, const Clock& clock, std::string_view address, const NngTransportOptions& options)
{
    auto state = std::make_unique<State>(clock, options);
    if (int errorCode = nng_pull0_open(&state->pullSocket); errorCode != 0)
        return listenError(address, errorCode);
    nng_socket_set_int(state->pullSocket, NNG_OPT_RECVBUF, receiveQueueMessages);
    nng_socket_set_size(state->pullSocket, NNG_OPT_RECVMAXSZ, PeerCodec::maxMessageBytes);
    std::string url = "tcp://" + std::string(address);
    if (int errorCode = nng_listen(state->pullSocket, url.c_str(), &state->listener, 0); errorCode != 0)
        return listenError(address, errorCode);
    nng_sockaddr boundAddress {};
    if (nng_listener_get_addr(state->listener, NNG_OPT_LOCADDR, &boundAddress) == 0
        && boundAddress.s_family == NNG_AF_INET)
        state->port = ntohs(boundAddress.s_in.sa_port);
    int descriptor = -1;
    if (int errorCode = nng_socket_get_int(state->pullSocket, NNG_OPT_RECVFD, &descriptor); errorCode != 0)
        return listenError(address, errorCode);
    state->receiveEvent = event_new(&base, descriptor, EV_READ | EV_PERSIST, State::onReadable, state.get());
    event_add(state->receiveEvent, nullptr);
    std::unique_ptr<NngTransport> transport(new NngTransport(std::move(state)));
    transport->m_state->cleanupTimer = event_new(
        &base, -1, EV_PERSIST,
        [](evutil_socket_t, short, void* argument) {
            runGuarded("peer_cleanup", [argument] { static_cast<NngTransport*>(argument)->closeUnusedConnections(); });
        },
        transport.get());
    timeval interval { .tv_sec = 1, .tv_usec = 0 };
    event_add(transport->m_state->cleanupTimer, &interval);
    return transport;
}

NngTransport::NngTransport(std::unique_ptr<State> state)
    : m_state(std::move(state))
{
}

NngTransport::~NngTransport() = default;

void NngTransport::send(std::string_view address, std::string_view bytes)
{
    State::Dialer* dialer = m_state->findOrOpenDialer(address);
    if (!dialer)
        return;
    dialer->lastSentAt = m_state->clock.now();
    nng_msg* message = nullptr;
    if (nng_msg_alloc(&message, 0) != 0)
        return;
    if (nng_msg_append(message, bytes.data(), bytes.size()) != 0
        || nng_sendmsg(dialer->socket, message, NNG_FLAG_NONBLOCK) != 0) {
        nng_msg_free(message);
        ++m_state->counters.messagesDropped;
        return;
    }
    ++m_state->counters.messagesSent;
    m_state->counters.bytesSent += bytes.size() + framingBytes;
}

void NngTransport::setReceiveHandler(Handler handler) { m_state->handler = std::move(handler); }

void NngTransport::notifyPeerActive(std::string_view address)
{
    // Only peers with an open connection are recorded, which bounds the map's size.
    auto dialer = m_state->dialers.find(address);
    if (dialer != m_state->dialers.end())
        m_state->lastReceivedAt.insert_or_assign(dialer->first, m_state->clock.now());
}

void NngTransport::reconnect(std::string_view address)
{
    auto dialer = m_state->dialers.find(address);
    if (dialer == m_state->dialers.end()
        || m_state->clock.now() - dialer->second.openedAt < m_state->options.minReconnectAge)
        return;
    m_state->close(dialer);
    ++m_state->counters.connectionsReplaced;
}

void NngTransport::closeUnusedConnections()
{
    Millis now = m_state->clock.now();
    for (auto it = m_state->dialers.begin(); it != m_state->dialers.end();) {
        auto current = it++;
        if (now - current->second.lastSentAt >= m_state->options.unusedTimeout)
            m_state->close(current);
    }
    std::erase_if(m_state->lastReceivedAt, [&](const auto& entry) { return !m_state->dialers.contains(entry.first); });
}

std::uint16_t NngTransport::port() const noexcept { return m_state->port; }

const NngTransportCounters& NngTransport::counters() const noexcept { return m_state->counters; }

std::size_t NngTransport::connectionCount() const noexcept { return m_state->dialers.size(); }

}
