#pragma once

#include "base/Identifier.h"
#include "config/Configuration.h"
#include "core/Blackboard.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Which endpoints form a cell, which daemon schedules it and which daemons use it. Every daemon computes the
/// same map from the same configuration and members.

namespace jasminestack {

/// \brief A cell and the daemons that may use it.
struct CellInfo {
    CellId id;
    std::string region;
    std::vector<EndpointId> endpoints;
    std::vector<DaemonId> schedulers; ///< Live daemons that may schedule the cell, preferred one first.
    std::vector<DaemonId> attached; ///< Live daemons that use the cell at all times, in order of id.
};

/// \brief All cells of the configuration.
struct CellMap {
    std::map<CellId, CellInfo> cells;
    std::map<EndpointId, CellId> cellByEndpoint;
    std::map<PoolId, std::vector<CellId>> attachedCells; ///< Cells that this daemon uses at all times.
};

/// \brief A live daemon and its region.
struct CellMember {
    DaemonId id;
    std::string region;

    [[nodiscard]] friend bool operator==(const CellMember&, const CellMember&) = default;
};

/// \returns Live members (alive or suspect) and this daemon, in order of id.
[[nodiscard]] std::vector<CellMember> liveMembers(const SelfState&, const MemberTable&);

/// \brief Partitions each pool's endpoints, region by region, into ceil(endpoints / cellSize) cells by rendezvous
/// hashing, so that an endpoint moves to another cell only when the number of cells changes.
/// \param members From liveMembers().
[[nodiscard]] CellMap makeCellMap(const Configuration&, const SelfState&, const std::vector<CellMember>& members);

/// \returns The number of the endpoint's \p limit slots that belong to \p daemon when no allocation is valid: slot i
/// belongs to the attached daemon (if none is attached: to the scheduler) with the highest rendezvous score for
/// (endpoint, i), so that the daemons' parts add up to \p limit.
[[nodiscard]] std::uint32_t fallbackSlots(
    const CellInfo&, const EndpointId&, std::uint32_t limit, const DaemonId& daemon);

}
