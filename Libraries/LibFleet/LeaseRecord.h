#pragma once

#include <LibCore/Identifiers.h>

#include <cstdint>

namespace lycheeseam {

/// A lease as it lies in the store.
struct lease_record
{
  std::uint64_t mOffset = 0;
  instance_id mHolder;
};

}
