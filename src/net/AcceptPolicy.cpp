#include "net/AcceptPolicy.h"

namespace jasminestack {

void addUnread(UnreadConnections& connections, std::uint64_t number, Millis now)
{
    connections.items.push_back({ .number = number, .acceptedAt = now });
}

std::optional<std::uint64_t> takeNextUnread(UnreadConnections& connections)
{
    if (connections.items.empty())
        return std::nullopt;
    std::uint64_t number = connections.items.back().number;
    connections.items.pop_back();
    return number;
}

std::vector<std::uint64_t> takeExpiredUnread(UnreadConnections& connections, const AcceptPolicy& policy, Millis now)
{
    std::vector<std::uint64_t> expired;
    while (!connections.items.empty() && now - connections.items.front().acceptedAt >= policy.patience) {
        expired.push_back(connections.items.front().number);
        connections.items.pop_front();
    }
    return expired;
}

}
