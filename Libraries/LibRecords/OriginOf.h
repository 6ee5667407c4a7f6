#pragma once

#include <LibRecords/LogRecord.h>

#include <variant>

namespace lycheeseam {

/// Who appended a record, whatever its kind.
inline record_origin const&
OriginOf(log_record const& aRecord)
{
  auto const origin = [](auto const& aHeld) -> record_origin const& {
    return aHeld.mOrigin;
  };
  return std::visit(origin, aRecord);
}

/// Who appended a record, to be filled in by its author.
inline record_origin&
OriginOf(log_record& aRecord)
{
  auto const origin = [](auto& aHeld) -> record_origin& {
    return aHeld.mOrigin;
  };
  return std::visit(origin, aRecord);
}

}
