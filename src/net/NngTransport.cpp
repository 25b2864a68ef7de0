#include "net/NngTransport.h"

#include "net/PeerCodec.h"

#include <algorithm>
#include <arpa/inet.h>
#include <event2/event.h>
#include <map>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>
#include <thread>

namespace jasminestack {

namespace {

    /// Messages that wait for a connection to be established. More would be out of date when it is.
    constexpr int sendQueue = 32;
    constexpr int receiveQueue = 512;
    /// Messages handled before the loop serves other events; the descriptor stays readable while more wait.
    constexpr int receiveBurst = 128;
    constexpr nng_duration reconnectMinimum = 100;
    constexpr nng_duration reconnectMaximum = 1'000;

    // nng_close() can wait for ever while connections come and go (nng 1.5.2, for dialing and listening sockets: it
    // hung in about 1 of 60 runs of the link tests). The event loop must not wait with it, so each call gets a thread
    // of its own, which touches nothing but the socket.
    void closeInBackground(nng_socket socket)
    {
        std::thread([socket] { nng_close(socket); }).detach();
    }

    Error failure(std::string_view address, int code)
    {
        return { .kind = ErrorKind::SettingsInvalid,
            .message = "cannot listen for peers on " + std::string(address) + ": " + nng_strerror(code) };
    }

}

struct NngTransport::State {
    struct Dialer {
        nng_socket socket NNG_SOCKET_INITIALIZER;
        Millis openedAt {};
        Millis lastSent {};
    };

    const Clock& clock;
    NngTransportOptions options;
    nng_socket pull NNG_SOCKET_INITIALIZER;
    nng_listener listener NNG_LISTENER_INITIALIZER;
    std::uint16_t port { 0 };
    event* readable { nullptr };
    event* timer { nullptr };
    Handler handler;
    std::map<std::string, Dialer, std::less<>> dialers;
    std::map<std::string, Millis, std::less<>> lastHeard;
    NngTransportCounters counters;

    State(const Clock& source, const NngTransportOptions& limits)
        : clock(source)
        , options(limits)
    {
    }

    ~State()
    {
        if (readable)
            event_free(readable);
        if (timer)
            event_free(timer);
        for (auto& [address, dialer] : dialers)
            closeInBackground(dialer.socket);
        nng_listener_close(listener); // Frees the port at once.
        closeInBackground(pull);
    }

    static void onReadable(evutil_socket_t, short, void* argument) { static_cast<State*>(argument)->receive(); }

    void receive()
    {
        for (int i = 0; i < receiveBurst; ++i) {
            nng_msg* message = nullptr;
            if (nng_recvmsg(pull, &message, NNG_FLAG_NONBLOCK) != 0)
                return;
            std::string_view bytes(static_cast<const char*>(nng_msg_body(message)), nng_msg_len(message));
            ++counters.messagesReceived;
            counters.bytesReceived += bytes.size() + framingBytes;
            if (handler)
                handler(bytes);
            nng_msg_free(message);
        }
    }

    bool silent(const std::string& address, const Dialer& dialer, Millis now) const
    {
        Millis since = dialer.openedAt;
        if (auto it = lastHeard.find(address); it != lastHeard.end())
            since = std::max(since, it->second);
        return now - since >= options.silence;
    }

    void close(std::map<std::string, Dialer, std::less<>>::iterator position)
    {
        closeInBackground(position->second.socket);
        dialers.erase(position);
    }

    Dialer* dialerFor(std::string_view address)
    {
        Millis now = clock.now();
        auto it = dialers.find(address);
        if (it != dialers.end()) {
            if (!silent(it->first, it->second, now))
                return &it->second;
            close(it);
            ++counters.connectionsReplaced;
        }
        Dialer dialer { .openedAt = now, .lastSent = now };
        if (nng_push0_open(&dialer.socket) != 0)
            return nullptr;
        nng_socket_set_int(dialer.socket, NNG_OPT_SENDBUF, sendQueue);
        nng_socket_set_ms(dialer.socket, NNG_OPT_RECONNMINT, reconnectMinimum);
        nng_socket_set_ms(dialer.socket, NNG_OPT_RECONNMAXT, reconnectMaximum);
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
    if (int code = nng_pull0_open(&state->pull); code != 0)
        return failure(address, code);
    nng_socket_set_int(state->pull, NNG_OPT_RECVBUF, receiveQueue);
    nng_socket_set_size(state->pull, NNG_OPT_RECVMAXSZ, PeerCodec::maxMessageBytes);
    std::string url = "tcp://" + std::string(address);
    if (int code = nng_listen(state->pull, url.c_str(), &state->listener, 0); code != 0)
        return failure(address, code);
    nng_sockaddr bound {};
    if (nng_listener_get_addr(state->listener, NNG_OPT_LOCADDR, &bound) == 0 && bound.s_family == NNG_AF_INET)
        state->port = ntohs(bound.s_in.sa_port);
    int descriptor = -1;
    if (int code = nng_socket_get_int(state->pull, NNG_OPT_RECVFD, &descriptor); code != 0)
        return failure(address, code);
    state->readable = event_new(&base, descriptor, EV_READ | EV_PERSIST, State::onReadable, state.get());
    event_add(state->readable, nullptr);
    std::unique_ptr<NngTransport> link(new NngTransport(std::move(state)));
    link->m_state->timer = event_new(
        &base, -1, EV_PERSIST,
        [](evutil_socket_t, short, void* argument) { static_cast<NngTransport*>(argument)->maintain(); }, link.get());
    timeval interval { .tv_sec = 1, .tv_usec = 0 };
    event_add(link->m_state->timer, &interval);
    return link;
}

NngTransport::NngTransport(std::unique_ptr<State> state)
    : m_state(std::move(state))
{
}

NngTransport::~NngTransport() = default;

void NngTransport::send(std::string_view address, std::string_view bytes)
{
    State::Dialer* dialer = m_state->dialerFor(address);
    if (!dialer)
        return;
    dialer->lastSent = m_state->clock.now();
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
    // Only peers to which a connection exists matter; this bounds the table.
    auto dialer = m_state->dialers.find(address);
    if (dialer != m_state->dialers.end())
        m_state->lastHeard.insert_or_assign(dialer->first, m_state->clock.now());
}

void NngTransport::reconnect(std::string_view address)
{
    auto dialer = m_state->dialers.find(address);
    if (dialer == m_state->dialers.end()
        || m_state->clock.now() - dialer->second.openedAt < m_state->options.minimumAge)
        return;
    m_state->close(dialer);
    ++m_state->counters.connectionsReplaced;
}

void NngTransport::maintain()
{
    Millis now = m_state->clock.now();
    for (auto it = m_state->dialers.begin(); it != m_state->dialers.end();) {
        auto current = it++;
        if (now - current->second.lastSent >= m_state->options.unused)
            m_state->close(current);
    }
    std::erase_if(m_state->lastHeard, [&](const auto& entry) { return !m_state->dialers.contains(entry.first); });
}

std::uint16_t NngTransport::port() const noexcept { return m_state->port; }

const NngTransportCounters& NngTransport::counters() const noexcept { return m_state->counters; }

std::size_t NngTransport::connections() const noexcept { return m_state->dialers.size(); }

}
