#pragma once

#include <cstddef>
#include <string_view>

namespace lycheeseam {

/// Finds the ends of events in a stream of server-sent events that arrives in
/// pieces. Lines end in LF, CR LF or CR, and an empty line ends an event.
class event_boundary
{
public:
  /// Scans the next bytes; returns the length of the part up to the last end of
  /// an event, or 0 when no event ends in them.
  [[nodiscard]] std::size_t Scan(std::string_view aBytes);

private:
  bool mIsLineEmpty = true;
  /// True when an LF belongs to the line end that the CR before it began.
  bool mIsAfterReturn = false;
  /// True when no bytes have followed the last end of an event.
  bool mIsAtEnd = true;
};

}
