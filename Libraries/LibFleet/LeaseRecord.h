#pragma once

#include <LibCore/Identifiers.h>

#include <cstdint>

namespace lycheeseam {

/// A lease on orders as the store holds it.
struct lease_record
{
  /// The number of its record's position; a later lease has a higher number.
  std::uint64_t mNumber = 0;
  /// The instance that the record names.
  instance_id mHolder;
};

}
