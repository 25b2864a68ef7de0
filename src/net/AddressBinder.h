#pragma once

#include "base/Clock.h"
#include "base/Result.h"
#include "net/Socket.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

struct event_base;

namespace jasminestack {

/// \brief One address of a service and how it is bound.
struct AddressBinding {
    std::string protocol; ///< "tcp" or "udp".
    std::string address; ///< "IP:PORT".
    std::function<Result<void>()> bind; ///< Called until it succeeds; a failure carries Error::systemError.
    bool isRequired { true }; ///< Whether the service can't serve without the address.
};

struct AddressBinderOptions {
    Millis retryInterval { 100 };
    /// Bounds how long a start waits for required addresses. A predecessor in its grace time is gone by then, and so is
    /// a connection that had the port as its local port, which the system keeps for a minute after its end.
    Millis timeLimit { 90'000 };
    Millis logInterval { 1'000 }; ///< Between two lines about one required address.
    Millis optionalLogInterval { 30'000 }; ///< The same for an optional address, which is retried without limit.
};

/// \brief Binds the addresses of a starting service and retries those that are taken or not configured yet.
class AddressBinder {
public:
    /// \brief Called once: when all required addresses are bound, or with the error that ends the attempts.
    using Completion = std::function<void(Result<void>)>;

    AddressBinder(event_base&, const Clock&, const AddressBinderOptions& = {});

    /// \brief Tries all addresses once and retries the others in the event loop.
    /// \param onComplete Called before this function returns if no required address is left.
    /// \returns The error of a required address that fails for another reason than isAddressUnavailable(); the
    /// completion is then not called.
    [[nodiscard]] Result<void> start(std::vector<AddressBinding> bindings, Completion onComplete);

private:
    struct PendingBinding {
        AddressBinding binding;
        unsigned attempts { 0 };
        Millis lastLoggedAt {};
    };

    [[nodiscard]] std::optional<Error> tryAll();
    [[nodiscard]] std::optional<Error> tryOne(PendingBinding&, bool& isBound);
    [[nodiscard]] bool isRequiredLeft() const;
    void onTimer();
    void complete(Result<void> result);

    const Clock& m_clock;
    AddressBinderOptions m_options;
    EventPointer m_timer;
    std::vector<PendingBinding> m_pending;
    Completion m_onComplete;
    Millis m_startedAt {};
};

/// \returns The error of an address that could not be bound, with the text of \p errorNumber.
[[nodiscard]] Error bindError(std::string_view protocol, std::string_view address, int errorNumber);

/// \returns Whether the address is in use or not (yet) one of the host, which may pass.
[[nodiscard]] bool isAddressUnavailable(const Error&) noexcept;

}
