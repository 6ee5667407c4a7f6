#pragma once

#include <cstdint>
#include <memory>
#include <vector>

namespace lycheeseam {

/// A frame ready to be sent, header included. A broadcast encodes one frame
/// and shares it between links.
using encoded_frame = std::shared_ptr<std::vector<std::uint8_t> const>;

}
