#pragma once

namespace lycheeseam {

/// Whether an object may leave a field out.
enum class field_presence
{
  Required,
  /// A field left out keeps the value of a default-constructed struct.
  Optional,
};

}
