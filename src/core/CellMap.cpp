#include "core/CellMap.h"

#include "base/Hash.h"

#include <algorithm>

namespace jasminestack {

namespace {

    // Maximum number of attached cells of a daemon in a pool. Each cell costs the daemon and the cell's scheduler a
    // message per interval.
    constexpr std::size_t cellsPerDaemon = 4;
    // Difference between the first cell indices of two regions; the cells of a region have consecutive indices.
    constexpr unsigned regionStride = 1U << 16U;

    std::string cellKey(const CellId& cell) { return cell.pool.value + "/" + std::to_string(cell.index); }

    /// \brief Sorts by descending rendezvous score, then by id.
    template <typename Items, typename Score> void rankByScore(Items& items, Score score)
    {
        std::vector<std::pair<std::uint64_t, typename Items::value_type>> ranked;
        ranked.reserve(items.size());
        for (auto& item : items)
            ranked.emplace_back(score(item), std::move(item));
        std::sort(ranked.begin(), ranked.end(),
            [](const auto& a, const auto& b) { return a.first != b.first ? a.first > b.first : a.second < b.second; });
        for (std::size_t i = 0; i < items.size(); ++i)
            items[i] = std::move(ranked[i].second);
    }

    std::vector<CellId> cellsOfDaemon(const CellMap& map, const PoolId& pool, const CellMember& member)
    {
        std::vector<CellId> own;
        std::vector<CellId> all;
        for (auto it = map.cells.lower_bound({ .pool = pool, .index = 0 });
             it != map.cells.end() && it->first.pool == pool; ++it) {
            all.push_back(it->first);
            if (it->second.region == member.region)
                own.push_back(it->first);
        }
        if (own.empty())
            own = std::move(all);
        if (own.size() > cellsPerDaemon) {
            rankByScore(own, [&](const CellId& cell) { return rendezvousScore(member.id.value, cellKey(cell)); });
            own.resize(cellsPerDaemon);
        }
        return own;
    }

    void addPool(CellMap& map, const PoolConfig& pool, unsigned cellSize)
    {
        std::map<std::string, std::vector<EndpointId>> regions;
        for (const auto& [id, endpoint] : pool.endpoints)
            regions[endpoint.region].push_back(id);
        unsigned first = 0;
        for (auto& [region, endpoints] : regions) {
            auto count = static_cast<unsigned>((endpoints.size() + cellSize - 1) / cellSize);
            for (EndpointId& endpoint : endpoints) {
                unsigned best = 0;
                std::uint64_t bestScore = 0;
                for (unsigned i = 0; i < count; ++i) {
                    std::uint64_t score = rendezvousScore(endpoint.value, std::to_string(i));
                    if (i == 0 || score > bestScore) {
                        best = i;
                        bestScore = score;
                    }
                }
                CellId cell { .pool = pool.id, .index = first + best };
                CellInfo& info = map.cells[cell];
                info.id = cell;
                info.region = region;
                map.cellByEndpoint.emplace(endpoint, cell);
                info.endpoints.push_back(std::move(endpoint));
            }
            first += regionStride;
        }
    }

}

std::vector<CellMember> liveMembers(const SelfState& self, const MemberTable& table)
{
    std::vector<CellMember> members { { .id = self.id, .region = self.region } };
    for (const auto& [id, member] : table.members) {
        if (id != self.id
            && (member.lastUpdate.state == MemberState::Alive || member.lastUpdate.state == MemberState::Suspect))
            members.push_back({ .id = id, .region = member.lastUpdate.region });
    }
    std::sort(members.begin(), members.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
    return members;
}

CellMap makeCellMap(const Configuration& configuration, const SelfState& self, const std::vector<CellMember>& members)
{
    CellMap map;
    for (const auto& [id, pool] : configuration.pools)
        addPool(map, pool, std::max(1U, configuration.limits.cellSize));
    for (const auto& [id, pool] : configuration.pools) {
        for (const CellMember& member : members) {
            std::vector<CellId> cells = cellsOfDaemon(map, id, member);
            for (const CellId& cell : cells)
                map.cells.at(cell).attached.push_back(member.id);
            if (member.id == self.id)
                map.attachedCells.emplace(id, std::move(cells));
        }
    }
    for (auto& [id, cell] : map.cells) {
        for (const CellMember& member : members) {
            if (member.region == cell.region)
                cell.schedulers.push_back(member.id);
        }
        if (cell.schedulers.empty()) {
            for (const CellMember& member : members)
                cell.schedulers.push_back(member.id);
        }
        std::string key = cellKey(id);
        rankByScore(cell.schedulers, [&](const DaemonId& daemon) { return rendezvousScore(key, daemon.value); });
    }
    return map;
}

std::uint32_t fallbackSlots(
    const CellInfo& cell, const EndpointId& endpoint, std::uint32_t limit, const DaemonId& daemon)
{
    const std::vector<DaemonId>& owners = cell.attached.empty() ? cell.schedulers : cell.attached;
    std::uint32_t slots = 0;
    for (std::uint32_t i = 0; i < limit; ++i) {
        std::string key = endpoint.value + "#" + std::to_string(i);
        const DaemonId* best = nullptr;
        std::uint64_t bestScore = 0;
        for (const DaemonId& owner : owners) {
            std::uint64_t score = rendezvousScore(key, owner.value);
            if (!best || score > bestScore) {
                best = &owner;
                bestScore = score;
            }
        }
        slots += best && *best == daemon ? 1 : 0;
    }
    return slots;
}

}
