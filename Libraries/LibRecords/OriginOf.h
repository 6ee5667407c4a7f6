#pragma once

#include <LibRecords/LogRecord.h>

#include <variant>

namespace lycheeseam {

/// Returns the origin of a record of any type.
inline record_origin const&
OriginOf(log_record const& aRecord)
{
  auto const origin = [](auto const& aHeld) -> record_origin const& {
    return aHeld.mOrigin;
  };
  return std::visit(origin, aRecord);
}

/// Returns the origin of a record of any type, for its author to fill in.
inline record_origin&
OriginOf(log_record& aRecord)
{
  auto const origin = [](auto& aHeld) -> record_origin& {
    return aHeld.mOrigin;
  };
  return std::visit(origin, aRecord);
}

}
