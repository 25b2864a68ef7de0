#pragma once

#include "Standin.h"
#include "base/Result.h"

#include <map>
#include <memory>
#include <string>

namespace jasminestack::standins {

/// \brief All stand-ins of one process and their control server.
///
/// The description is `{"control":"IP:PORT","standins":[{"kind":..,"name":..,"address":..,..}]}`. The control server
/// handles `POST /control` (`{"standin":NAME or "*" or "PREFIX*", <change>}`), `GET /journal?since=N`, `GET /state` and
/// `GET /time`.
class StandinFleet {
public:
    StandinFleet(event_base&, const nlohmann::json& description);

    /// \returns An error if an address could not be bound or a kind is unknown.
    [[nodiscard]] Result<void> check() const;

private:
    void handleRequest(const ExchangePointer&);
    void applyControl(const ExchangePointer&);

    Journal m_journal;
    std::map<std::string, std::unique_ptr<Standin>> m_standins;
    std::unique_ptr<StandinServer> m_controlServer;
    std::string m_error;
};

}
