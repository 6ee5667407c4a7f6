#pragma once

#include <LibOnce/ClaimState.h>

#include <string>
#include <string_view>

namespace lycheeseam {

/// The section of claims in a checkpoint.
std::string
EncodeClaimState(claim_state const& aState);

/// Reads the section of claims; throws codec_error.
claim_state
DecodeClaimState(std::string_view aText);

}
