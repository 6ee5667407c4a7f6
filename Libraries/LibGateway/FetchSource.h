#pragma once

#include <LibDispatch/ServerChoiceRequest.h>
#include <LibGateway/TrafficCore.h>

#include <cstdint>
#include <optional>
#include <span>

namespace lycheeseam {

/// Where the server fetches the cached parts of the prompt that it lacks, if
/// anywhere: the longest prefix that is known to be cached somewhere counts.
/// aStore is the KV cache store that keeps the prompt's prefixes.
std::optional<endpoint>
FetchSource(traffic_core& aCore,
            server_choice_request const& aChoiceRequest,
            tracked_server const& aServer,
            std::span<std::uint64_t const> aKeys,
            std::optional<endpoint> const& aStore);

}
