#pragma once

#include <LibCore/Identifiers.h>
#include <LibDispatch/PromptPart.h>

#include <cstdint>
#include <span>
#include <vector>

namespace lycheeseam {

/// The keys of prompt parts for a model, one for each part. A part has the same
/// key in every prompt, unlike the key of a prefix.
std::vector<std::uint64_t>
PartKeys(std::span<prompt_part const> aParts, model_name const& aModel);

}
