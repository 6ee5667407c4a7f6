#pragma once

#include <LibRollout/RolloutVerdict.h>
#include <LibRollout/SlicePair.h>

#include <span>

namespace lycheeseam {

/// Tests whether the target fails more often than the other software.
rollout_verdict
TestFailures(std::span<slice_pair const> aPairs);

/// Tests whether first events of the target come several times later.
rollout_verdict
TestFirstEvents(std::span<slice_pair const> aPairs);

/// Tests whether pauses in the target's streams are several times longer.
rollout_verdict
TestPauses(std::span<slice_pair const> aPairs);

/// Makes all of these tests; returns the first that finds the target bad.
rollout_verdict
TestEvidence(std::span<slice_pair const> aPairs);

}
