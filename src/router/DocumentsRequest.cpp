#include "router/DocumentsRequest.h"

#include <charconv>

namespace jasminestack {

namespace {

    constexpr std::string_view configurationParameter = "configuration=";
    constexpr std::string_view registrationsParameter = "registrations=";

    /// Reads the number after \p prefix at the start of \p text, and removes both.
    template <typename Number> bool takeNumber(std::string_view& text, std::string_view prefix, Number& number)
    {
        if (!text.starts_with(prefix))
            return false;
        text.remove_prefix(prefix.size());
        auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
        if (parsed.ec != std::errc {})
            return false;
        text.remove_prefix(static_cast<std::size_t>(parsed.ptr - text.data()));
        return true;
    }

}

std::string formatDocumentsTarget(const DeploymentVersions& known)
{
    return std::string(documentsPath)
        .append("?")
        .append(configurationParameter)
        .append(std::to_string(known.configurationVersion))
        .append("&")
        .append(registrationsParameter)
        .append(std::to_string(known.registrationsPosition));
}

DeploymentVersions parseDocumentsTarget(std::string_view target)
{
    std::size_t queryStart = target.find('?');
    if (queryStart == std::string_view::npos)
        return {};
    std::string_view query = target.substr(queryStart + 1);
    DeploymentVersions known;
    bool isValid = takeNumber(query, configurationParameter, known.configurationVersion) && query.starts_with("&");
    if (!isValid)
        return {};
    query.remove_prefix(1);
    if (!takeNumber(query, registrationsParameter, known.registrationsPosition) || !query.empty())
        return {};
    return known;
}

}
