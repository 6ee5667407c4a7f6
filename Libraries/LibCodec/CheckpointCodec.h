#pragma once

#include <LibRecords/CheckpointSection.h>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lycheeseam {

/// The text of a checkpoint's state.
std::string
EncodeSections(std::span<checkpoint_section const> aSections);

/// Reads a checkpoint's state; throws codec_error.
std::vector<checkpoint_section>
DecodeSections(std::string_view aText);

}
