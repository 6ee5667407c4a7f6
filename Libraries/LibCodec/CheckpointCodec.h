#pragma once

#include <LibRecords/CheckpointSection.h>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lycheeseam {

/// Writes the sections of a checkpoint as JSON text; throws codec_error when a
/// text in them is not UTF-8.
std::string
EncodeSections(std::span<checkpoint_section const> aSections);

/// Reads the sections of a checkpoint; throws codec_error.
std::vector<checkpoint_section>
DecodeSections(std::string_view aText);

}
