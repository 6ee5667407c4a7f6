#pragma once

#include <Bench/Decisions/CaseResult.h>
#include <Bench/Decisions/SimulationOptions.h>

#include <cstdint>
#include <span>

namespace lycheeseam::bench {

/// Runs one policy in one case with each seed; the results cover all runs.
case_result
Measure(simulation_options const& aOptions,
        std::span<std::uint64_t const> aSeeds);

}
