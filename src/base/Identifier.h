#pragma once

#include <compare>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace jasminestack {

/// \brief A string identifier that has a separate type for each kind of object, so that kinds cannot be mixed up.
///
/// \code
/// WorkspaceId id { "kilic-small-07" };
/// \endcode
template <typename Tag> struct Identifier {
    std::string value;

    Identifier() = default;
    explicit Identifier(std::string text)
        : value(std::move(text))
    {
    }
    explicit Identifier(std::string_view text)
        : value(text)
    {
    }
    explicit Identifier(const char* text)
        : value(text)
    {
    }

    [[nodiscard]] bool empty() const noexcept { return value.empty(); }
    [[nodiscard]] friend auto operator<=>(const Identifier&, const Identifier&) = default;
    [[nodiscard]] friend bool operator==(const Identifier&, const Identifier&) = default;
};

using WorkspaceId = Identifier<struct WorkspaceTag>;
using PoolId = Identifier<struct PoolTag>;
using EndpointId = Identifier<struct EndpointTag>;
using DaemonId = Identifier<struct DaemonTag>;
using RequestId = Identifier<struct RequestTag>;

/// \brief Identifies a cell: a part of a pool's endpoints that is scheduled by one daemon.
struct CellId {
    PoolId pool;
    unsigned index { 0 };

    [[nodiscard]] friend auto operator<=>(const CellId&, const CellId&) = default;
    [[nodiscard]] friend bool operator==(const CellId&, const CellId&) = default;
};

}

template <typename Tag> struct std::hash<jasminestack::Identifier<Tag>> {
    [[nodiscard]] std::size_t operator()(const jasminestack::Identifier<Tag>& id) const noexcept
    {
        return std::hash<std::string> {}(id.value);
    }
};
