#pragma once

#include <LibOnce/ClaimState.h>

#include <string>
#include <string_view>

namespace lycheeseam {

/// Writes the checkpoint section of request claims as JSON text; throws
/// codec_error when a text in it is not UTF-8.
std::string
EncodeClaimState(claim_state const& aState);

/// Reads the checkpoint section of request claims; throws codec_error.
claim_state
DecodeClaimState(std::string_view aText);

}
