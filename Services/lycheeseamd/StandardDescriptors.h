#pragma once

namespace lycheeseam {

/// Opens the null device in place of each standard descriptor that is closed.
/// The next file or connection would get its number otherwise, and what is
/// written to standard output would be sent there.
void
FillStandardDescriptors();

}
