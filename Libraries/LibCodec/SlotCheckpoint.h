#pragma once

#include <LibLimits/SlotHolder.h>
#include <LibRecords/SlotId.h>

#include <map>
#include <string>
#include <string_view>

namespace lycheeseam {

/// Writes the checkpoint section of budget slots as JSON text; throws
/// codec_error when a text in it is not UTF-8.
std::string
EncodeSlotHolders(std::map<slot_id, slot_holder> const& aHolders);

/// Reads the checkpoint section of budget slots; throws codec_error.
std::map<slot_id, slot_holder>
DecodeSlotHolders(std::string_view aText);

}
