#pragma once

#include "Journal.h"
#include "StandinServer.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace jasminestack::standins {

/// \brief Imitates an endpoint or a platform service.
class Standin {
public:
    virtual ~Standin() = default;

    /// \brief Sets options and injects faults as the JSON object specifies; unknown fields are ignored.
    virtual void control(const nlohmann::json& change) = 0;
    /// \returns The stand-in's counters for `GET /state`.
    [[nodiscard]] virtual nlohmann::json state() const = 0;
    /// \returns The stand-in's HTTP server.
    [[nodiscard]] virtual StandinServer& server() = 0;
};

/// \brief Creates a stand-in from \p description ("kind", "name", "address" and options).
/// \returns An empty pointer if the kind is unknown.
[[nodiscard]] std::unique_ptr<Standin> makeStandin(event_base&, const nlohmann::json& description, Journal&);

[[nodiscard]] std::unique_ptr<Standin> makeModelEngine(event_base&, const nlohmann::json& description, Journal&);
[[nodiscard]] std::unique_ptr<Standin> makePlainService(event_base&, const nlohmann::json& description, Journal&);
[[nodiscard]] std::unique_ptr<Standin> makeLogService(event_base&, const nlohmann::json& description);
[[nodiscard]] std::unique_ptr<Standin> makeHostList(event_base&, const nlohmann::json& description);
[[nodiscard]] std::unique_ptr<Standin> makeWeightStore(event_base&, const nlohmann::json& description);

}
