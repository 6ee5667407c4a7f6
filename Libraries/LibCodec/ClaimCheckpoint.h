#pragma once

#include <LibOnce/ClaimState.h>

#include <string>
#include <string_view>

namespace lycheeseam {

/// Writes the checkpoint section of request claims as JSON text.
std::string
EncodeClaimState(claim_state const& aState);

/// Reads the checkpoint section of request claims; throws codec_error.
claim_state
DecodeClaimState(std::string_view aText);

}
