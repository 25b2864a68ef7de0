#include "net/AddressBinder.h"

#include "net/EventCallback.h"
#include "observe/Logging.h"

#include <algorithm>
#include <cerrno>
#include <event2/event.h>
#include <system_error>
#include <utility>

namespace jasminestack {

AddressBinder::AddressBinder(event_base& base, const Clock& clock, const AddressBinderOptions& options)
    : m_clock(clock)
    , m_options(options)
    , m_timer(event_new(
          &base, -1, EV_PERSIST,
          [](evutil_socket_t, short, void* argument) {
              runGuarded("bind_addresses", [&] { static_cast<AddressBinder*>(argument)->onTimer(); });
          },
          this))
{
}

Result<void> AddressBinder::start(std::vector<AddressBinding> bindings, Completion onComplete)
{
    m_startedAt = m_clock.now();
    m_onComplete = std::move(onComplete);
    for (AddressBinding& binding : bindings)
        m_pending.push_back({ .binding = std::move(binding) });
    if (auto error = tryAll()) {
        m_pending.clear();
        return std::move(*error);
    }
    if (!m_pending.empty()) {
        timeval interval = toTimeval(m_options.retryInterval);
        event_add(m_timer.get(), &interval);
    }
    if (!isRequiredLeft())
        complete(ok());
    return ok();
}

void AddressBinder::onTimer()
{
    std::optional<Error> error = tryAll();
    if (error)
        m_pending.clear();
    if (m_pending.empty())
        event_del(m_timer.get());
    if (error)
        complete(std::move(*error));
    else if (!isRequiredLeft())
        complete(ok());
}

// Tries every address, so that each one that is taken is logged, and returns the first error that ends the attempts.
std::optional<Error> AddressBinder::tryAll()
{
    std::optional<Error> firstError;
    std::vector<PendingBinding> unbound;
    for (PendingBinding& pending : m_pending) {
        bool isBound = false;
        auto error = tryOne(pending, isBound);
        if (error && !firstError)
            firstError = std::move(error);
        if (!isBound)
            unbound.push_back(std::move(pending));
    }
    m_pending = std::move(unbound);
    return firstError;
}

std::optional<Error> AddressBinder::tryOne(PendingBinding& pending, bool& isBound)
{
    const AddressBinding& binding = pending.binding;
    auto result = binding.bind();
    ++pending.attempts;
    Millis waited = m_clock.now() - m_startedAt;
    isBound = result.has_value();
    if (isBound) {
        if (pending.attempts > 1)
            logEvent(LogLevel::Info, "address_bound",
                { { "protocol", binding.protocol }, { "address", binding.address }, { "waited_ms", waited.count },
                    { "attempts", pending.attempts } });
        return std::nullopt;
    }
    const Error& error = result.error();
    if (binding.isRequired && (!isAddressUnavailable(error) || waited >= m_options.timeLimit))
        return error;
    Millis logInterval = binding.isRequired ? m_options.logInterval : m_options.optionalLogInterval;
    if (pending.attempts == 1 || waited - pending.lastLoggedAt >= logInterval) {
        pending.lastLoggedAt = waited;
        logEvent(LogLevel::Warning, "address_unavailable",
            { { "protocol", binding.protocol }, { "address", binding.address },
                { "required", binding.isRequired ? 1 : 0 }, { "waited_ms", waited.count },
                { "message", error.message } });
    }
    return std::nullopt;
}

bool AddressBinder::isRequiredLeft() const
{
    return std::any_of(
        m_pending.begin(), m_pending.end(), [](const PendingBinding& pending) { return pending.binding.isRequired; });
}

void AddressBinder::complete(Result<void> result)
{
    if (Completion onComplete = std::exchange(m_onComplete, nullptr))
        onComplete(std::move(result));
}

Error bindError(std::string_view protocol, std::string_view address, int errorNumber)
{
    return { .kind = ErrorKind::SettingsInvalid,
        .message = "cannot bind " + std::string(protocol) + " " + std::string(address) + ": "
            + std::system_category().message(errorNumber) + " (errno " + std::to_string(errorNumber) + ")",
        .systemError = errorNumber };
}

bool isAddressUnavailable(const Error& error) noexcept
{
    return error.systemError == EADDRINUSE || error.systemError == EADDRNOTAVAIL;
}

}
