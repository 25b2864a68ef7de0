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

    std::string toLower(std::string_view text)
    {
        std::string result(text);
        std::transform(result.begin(), result.end(), result.begin(),
            [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
        return result;
    }

    /// \returns The value of a header in a lower-case response head, or an empty view.
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
    , m_timeoutTimer(base, [this] { finish(TransferOutcome::TimedOut); })
    , m_connectFailureTimer(base, [this] { finish(TransferOutcome::NotConnected); })
{
}

LoadConnection::~LoadConnection() { close(); }

void LoadConnection::close()
{
    if (m_buffer)
        bufferevent_free(m_buffer);
    m_buffer = nullptr;
    m_isConnected = false;
    m_stage = Stage::Idle;
    m_timeoutTimer.stop();
    m_connectFailureTimer.stop();
}

void LoadConnection::connect(const std::string& address)
{
    m_address = address;
    auto parts = splitAddress(address);
    sockaddr_in target {};
    target.sin_family = AF_INET;
    if (!parts || inet_pton(AF_INET, parts.value().first.c_str(), &target.sin_addr) != 1) {
        m_connectFailureTimer.start(0);
        return;
    }
    target.sin_port = htons(parts.value().second);
    m_buffer = bufferevent_socket_new(&m_base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(m_buffer, onRead, nullptr, onEvent, this);
    bufferevent_enable(m_buffer, EV_READ | EV_WRITE);
    if (bufferevent_socket_connect(m_buffer, reinterpret_cast<sockaddr*>(&target), sizeof target) != 0) {
        m_connectFailureTimer.start(0);
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
    m_hasResponseBytes = false;
    m_closeAfterResponse = false;
    if (!m_buffer)
        connect(address);
    if (m_buffer)
        bufferevent_write(m_buffer, text.data(), text.size());
    m_timeoutTimer.start(timeoutMs);
}

void LoadConnection::onRead(bufferevent*, void* self) { static_cast<LoadConnection*>(self)->read(); }

void LoadConnection::onEvent(bufferevent*, short eventFlags, void* argument)
{
    auto* self = static_cast<LoadConnection*>(argument);
    if (eventFlags & BEV_EVENT_CONNECTED) {
        self->m_isConnected = true;
        return;
    }
    if (self->m_stage == Stage::Idle)
        return self->close();
    if (self->m_stage == Stage::UntilClose)
        return self->finish(TransferOutcome::Complete);
    if (!self->m_isConnected)
        return self->finish(TransferOutcome::NotConnected);
    self->finish(self->m_hasResponseBytes ? TransferOutcome::Broken : TransferOutcome::NoResponse);
}

void LoadConnection::read()
{
    if (m_stage == Stage::Idle)
        return;
    m_hasResponseBytes = true;
    bool hasProgress = true;
    while (hasProgress && m_buffer) {
        switch (m_stage) {
        case Stage::Head:
            hasProgress = parseHead();
            break;
        case Stage::ChunkSize:
            hasProgress = parseChunkSize();
            break;
        case Stage::Length:
            hasProgress = m_remainingBytes == 0 || deliverBody(m_remainingBytes);
            if (hasProgress && m_remainingBytes == 0)
                return finish(TransferOutcome::Complete);
            break;
        case Stage::ChunkData:
            hasProgress = deliverBody(m_remainingBytes);
            if (hasProgress && m_remainingBytes == 0)
                m_stage = Stage::ChunkEnd;
            break;
        case Stage::UntilClose:
            hasProgress = deliverBody(evbuffer_get_length(bufferevent_get_input(m_buffer)));
            break;
        case Stage::ChunkEnd:
        case Stage::Trailer: {
            std::size_t length = 0;
            char* line = evbuffer_readln(bufferevent_get_input(m_buffer), &length, EVBUFFER_EOL_CRLF);
            hasProgress = line != nullptr;
            free(line); // NOLINT: evbuffer_readln allocates with malloc.
            if (hasProgress && m_stage == Stage::ChunkEnd)
                m_stage = Stage::ChunkSize;
            else if (hasProgress && length == 0)
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
    std::string head = toLower(raw);
    int status = 0;
    if (head.size() > 12)
        std::from_chars(head.data() + 9, head.data() + 12, status);
    m_closeAfterResponse = headerValue(head, "connection") == "close";
    std::string_view length = headerValue(head, "content-length");
    if (headerValue(head, "transfer-encoding").find("chunked") != std::string_view::npos) {
        m_stage = Stage::ChunkSize;
    } else if (!length.empty()) {
        m_remainingBytes = 0;
        std::from_chars(length.data(), length.data() + length.size(), m_remainingBytes);
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
    m_remainingBytes = 0;
    std::from_chars(line, line + length, m_remainingBytes, 16);
    free(line); // NOLINT: evbuffer_readln allocates with malloc.
    m_stage = m_remainingBytes == 0 ? Stage::Trailer : Stage::ChunkData;
    return true;
}

bool LoadConnection::deliverBody(std::size_t limit)
{
    evbuffer* input = bufferevent_get_input(m_buffer);
    std::size_t size = std::min(evbuffer_get_length(input), limit);
    if (size == 0)
        return false;
    auto* data = reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
    m_events.onData({ data, size });
    evbuffer_drain(input, size);
    m_remainingBytes -= std::min(size, m_remainingBytes);
    return true;
}

void LoadConnection::finish(TransferOutcome outcome)
{
    m_timeoutTimer.stop();
    m_connectFailureTimer.stop();
    m_stage = Stage::Idle;
    if (outcome != TransferOutcome::Complete || m_closeAfterResponse)
        close();
    m_events.onEnd(outcome);
}

}
