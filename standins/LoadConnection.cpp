#include "LoadConnection.h"

#include "net/HttpClient.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <charconv>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace jasminestack::standins {

namespace {

    constexpr std::size_t maxHeadBytes = 32U << 10U;

    std::string lower(std::string_view text)
    {
        std::string result(text);
        std::transform(result.begin(), result.end(), result.begin(),
            [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        return result;
    }

    /// \returns The value of a header in a lower-case head, or an empty view.
    std::string_view headerValue(std::string_view head, std::string_view name)
    {
        std::string needle = "\r\n" + std::string(name) + ":";
        auto start = head.find(needle);
        if (start == std::string_view::npos)
            return {};
        start += needle.size();
        auto end = head.find("\r\n", start);
        std::string_view value = head.substr(start, end == std::string_view::npos ? end : end - start);
        while (value.starts_with(' '))
            value.remove_prefix(1);
        return value;
    }

}

LoadConnection::LoadConnection(event_base& base, Events events)
    : m_base(base)
    , m_events(std::move(events))
    , m_timeout(base, [this] { finish(TransferOutcome::TimedOut); })
    , m_failure(base, [this] { finish(TransferOutcome::NotConnected); })
{
}

LoadConnection::~LoadConnection() { close(); }

void LoadConnection::close()
{
    if (m_buffer)
        bufferevent_free(m_buffer);
    m_buffer = nullptr;
    m_connected = false;
    m_stage = Stage::Idle;
    m_timeout.stop();
    m_failure.stop();
}

void LoadConnection::connect(const std::string& address)
{
    m_address = address;
    auto parts = splitAddress(address);
    sockaddr_in target {};
    target.sin_family = AF_INET;
    if (!parts || inet_pton(AF_INET, parts.value().first.c_str(), &target.sin_addr) != 1) {
        m_failure.start(0);
        return;
    }
    target.sin_port = htons(parts.value().second);
    m_buffer = bufferevent_socket_new(&m_base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(m_buffer, onRead, nullptr, onEvent, this);
    bufferevent_enable(m_buffer, EV_READ | EV_WRITE);
    if (bufferevent_socket_connect(m_buffer, reinterpret_cast<sockaddr*>(&target), sizeof target) != 0) {
        m_failure.start(0);
        return;
    }
    int on = 1;
    setsockopt(bufferevent_getfd(m_buffer), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

void LoadConnection::send(const std::string& address, std::string_view text, double timeoutMs)
{
    if (m_buffer && m_address != address)
        close();
    m_stage = Stage::Head;
    m_answering = false;
    m_closeAfter = false;
    if (!m_buffer)
        connect(address);
    if (m_buffer)
        bufferevent_write(m_buffer, text.data(), text.size());
    m_timeout.start(timeoutMs);
}

void LoadConnection::onRead(bufferevent*, void* self) { static_cast<LoadConnection*>(self)->read(); }

void LoadConnection::onEvent(bufferevent*, short what, void* argument)
{
    auto* self = static_cast<LoadConnection*>(argument);
    if (what & BEV_EVENT_CONNECTED) {
        self->m_connected = true;
        return;
    }
    if (self->m_stage == Stage::Idle)
        return self->close();
    if (self->m_stage == Stage::UntilClose)
        return self->finish(TransferOutcome::Complete);
    if (!self->m_connected)
        return self->finish(TransferOutcome::NotConnected);
    self->finish(self->m_answering ? TransferOutcome::Broken : TransferOutcome::NoAnswer);
}

void LoadConnection::read()
{
    if (m_stage == Stage::Idle)
        return;
    m_answering = true;
    bool more = true;
    while (more && m_buffer) {
        switch (m_stage) {
        case Stage::Head:
            more = parseHead();
            break;
        case Stage::ChunkSize:
            more = parseChunkSize();
            break;
        case Stage::Length:
            more = m_remaining == 0 || deliver(m_remaining);
            if (more && m_remaining == 0)
                return finish(TransferOutcome::Complete);
            break;
        case Stage::ChunkData:
            more = deliver(m_remaining);
            if (more && m_remaining == 0)
                m_stage = Stage::ChunkEnd;
            break;
        case Stage::UntilClose:
            more = deliver(evbuffer_get_length(bufferevent_get_input(m_buffer)));
            break;
        case Stage::ChunkEnd:
        case Stage::Trailer: {
            std::size_t length = 0;
            char* line = evbuffer_readln(bufferevent_get_input(m_buffer), &length, EVBUFFER_EOL_CRLF);
            more = line != nullptr;
            free(line); // NOLINT: evbuffer_readln allocates with malloc.
            if (more && m_stage == Stage::ChunkEnd)
                m_stage = Stage::ChunkSize;
            else if (more && length == 0)
                return finish(TransferOutcome::Complete);
            break;
        }
        case Stage::Idle:
            return;
        }
    }
}

bool LoadConnection::parseHead()
{
    evbuffer* input = bufferevent_get_input(m_buffer);
    evbuffer_ptr end = evbuffer_search(input, "\r\n\r\n", 4, nullptr);
    if (end.pos < 0) {
        if (evbuffer_get_length(input) > maxHeadBytes)
            finish(TransferOutcome::Broken);
        return false;
    }
    std::string raw(static_cast<std::size_t>(end.pos) + 4, '\0');
    evbuffer_remove(input, raw.data(), raw.size());
    std::string head = lower(raw);
    int status = 0;
    if (head.size() > 12)
        std::from_chars(head.data() + 9, head.data() + 12, status);
    m_closeAfter = headerValue(head, "connection") == "close";
    std::string_view length = headerValue(head, "content-length");
    if (headerValue(head, "transfer-encoding").find("chunked") != std::string_view::npos) {
        m_stage = Stage::ChunkSize;
    } else if (!length.empty()) {
        m_remaining = 0;
        std::from_chars(length.data(), length.data() + length.size(), m_remaining);
        m_stage = Stage::Length;
    } else {
        m_stage = Stage::UntilClose;
    }
    m_events.onHead(status);
    return true;
}

bool LoadConnection::parseChunkSize()
{
    std::size_t length = 0;
    char* line = evbuffer_readln(bufferevent_get_input(m_buffer), &length, EVBUFFER_EOL_CRLF);
    if (!line)
        return false;
    m_remaining = 0;
    std::from_chars(line, line + length, m_remaining, 16);
    free(line); // NOLINT: evbuffer_readln allocates with malloc.
    m_stage = m_remaining == 0 ? Stage::Trailer : Stage::ChunkData;
    return true;
}

bool LoadConnection::deliver(std::size_t limit)
{
    evbuffer* input = bufferevent_get_input(m_buffer);
    std::size_t size = std::min(evbuffer_get_length(input), limit);
    if (size == 0)
        return false;
    auto* data = reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
    m_events.onData({ data, size });
    evbuffer_drain(input, size);
    m_remaining -= std::min(size, m_remaining);
    return true;
}

void LoadConnection::finish(TransferOutcome end)
{
    m_timeout.stop();
    m_failure.stop();
    m_stage = Stage::Idle;
    if (end != TransferOutcome::Complete || m_closeAfter)
        close();
    m_events.onEnd(end);
}

}
