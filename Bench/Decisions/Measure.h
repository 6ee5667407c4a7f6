#pragma once

#include <Bench/Decisions/CaseResult.h>
#include <Bench/Decisions/SimulationOptions.h>

#include <cstdint>
#include <span>

namespace lycheeseam::bench {

/// Runs one policy in one case with each seed and takes the measures over all
/// of them.
case_result
Measure(simulation_options const& aOptions,
        std::span<std::uint64_t const> aSeeds);

}
