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
            m_problem = "stand-in '" + name + "' has no known kind";
        else if (!standin->server().listening())
            m_problem = "cannot listen on '" + standin->server().address() + "' for stand-in '" + name + "'";
        else
            m_standins[name] = std::move(standin);
    }
    m_control = std::make_unique<StandinServer>(
        base, description.value("control", ""), [this](const ExchangePointer& exchange) { handle(exchange); });
    if (!m_control->listening())
        m_problem = "cannot listen on '" + m_control->address() + "' for the control plane";
}

Result<void> StandinFleet::check() const
{
    if (!m_problem.empty())
        return Error { .kind = ErrorKind::SettingsInvalid, .message = m_problem };
    return ok();
}

void StandinFleet::handle(const ExchangePointer& exchange)
{
    if (exchange->path() == "/control")
        return control(exchange);
    if (exchange->path() == "/journal") {
        std::string text = exchange->query("since", "0");
        std::size_t since = 0;
        std::from_chars(text.data(), text.data() + text.size(), since);
        return exchange->reply(200, m_journal.toJson(since).dump(-1, ' ', false, json::error_handler_t::replace));
    }
    if (exchange->path() == "/state") {
        json state = json::object();
        for (const auto& [name, standin] : m_standins)
            state[name] = standin->state();
        return exchange->reply(200, state.dump());
    }
    if (exchange->path() == "/time")
        return exchange->reply(200, json({ { "monotonicMs", monotonicMs() } }).dump());
    exchange->reply(404, R"({"error":"no such path"})");
}

void StandinFleet::control(const ExchangePointer& exchange)
{
    json change = json::parse(exchange->body(), nullptr, false);
    if (!change.is_object() || !change.contains("standin") || !change["standin"].is_string())
        return exchange->reply(400, R"({"error":"the body must be an object with the name of a stand-in"})");
    std::string pattern = change["standin"].get<std::string>();
    bool isPrefix = pattern.ends_with('*');
    if (isPrefix)
        pattern.pop_back();
    std::size_t changed = 0;
    for (auto& [name, standin] : m_standins) {
        if (isPrefix ? !name.starts_with(pattern) : name != pattern)
            continue;
        standin->control(change);
        ++changed;
    }
    exchange->reply(changed ? 200 : 404, json({ { "changed", changed }, { "monotonicMs", monotonicMs() } }).dump());
}

}
