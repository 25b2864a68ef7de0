#include "StandinFleet.h"

#include <charconv>

namespace jasminestack::standins {

using nlohmann::json;

StandinFleet::StandinFleet(event_base& base, const json& description)
{
    for (const json& entry : description.value("standins", json::array())) {
        std::string name = entry.value("name", "");
        auto standin = makeStandin(base, entry, m_journal);
        if (!standin)
            m_error = "stand-in '" + name + "' has an unknown kind";
        else if (!standin->server().isListening())
            m_error = "cannot listen on '" + standin->server().address() + "' for stand-in '" + name + "'";
        else
            m_standins[name] = std::move(standin);
    }
    m_controlServer = std::make_unique<StandinServer>(
        base, description.value("control", ""), [this](const ExchangePointer& exchange) { handleRequest(exchange); });
    if (!m_controlServer->isListening())
        m_error = "cannot listen on '" + m_controlServer->address() + "' for the control server";
}

Result<void> StandinFleet::check() const
{
    if (!m_error.empty())
        return Error { .kind = ErrorKind::SettingsInvalid, .message = m_error };
    return ok();
}

void StandinFleet::handleRequest(const ExchangePointer& exchange)
{
    if (exchange->path() == "/control")
        return applyControl(exchange);
    if (exchange->path() == "/journal") {
        std::string text = exchange->queryParameter("since", "0");
        std::size_t firstIndex = 0;
        std::from_chars(text.data(), text.data() + text.size(), firstIndex);
        return exchange->respond(
            200, m_journal.toJson(firstIndex).dump(-1, ' ', false, json::error_handler_t::replace));
    }
    if (exchange->path() == "/state") {
        json state = json::object();
        for (const auto& [name, standin] : m_standins)
            state[name] = standin->state();
        return exchange->respond(200, state.dump());
    }
    if (exchange->path() == "/time")
        return exchange->respond(200, json({ { "monotonicMs", monotonicMs() } }).dump());
    exchange->respond(404, R"({"error":"no such path"})");
}

void StandinFleet::applyControl(const ExchangePointer& exchange)
{
    json change = json::parse(exchange->body(), nullptr, false);
    if (!change.is_object() || !change.contains("standin") || !change["standin"].is_string())
        return exchange->respond(400, R"({"error":"the body must be an object with the name of a stand-in"})");
    std::string pattern = change["standin"].get<std::string>();
    bool isPrefix = pattern.ends_with('*');
    if (isPrefix)
        pattern.pop_back();
    std::size_t changedCount = 0;
    for (auto& [name, standin] : m_standins) {
        if (isPrefix ? !name.starts_with(pattern) : name != pattern)
            continue;
        standin->control(change);
        ++changedCount;
    }
    exchange->respond(
        changedCount ? 200 : 404, json({ { "changed", changedCount }, { "monotonicMs", monotonicMs() } }).dump());
}

}
