#pragma once

#include <LibCore/Identifiers.h>

#include <cstdint>

namespace lycheeseam {

/// A lease on orders as the store holds it: the offset of its record, and the
/// instance that the record names.
struct lease_record
{
  std::uint64_t mOffset = 0;
  instance_id mHolder;
};

}
