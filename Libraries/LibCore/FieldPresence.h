#pragma once

namespace lycheeseam {

/// Whether an object, or a settings file, may leave a field out.
enum class field_presence
{
  Required,
  /// A field left out keeps the value of a default-constructed struct.
  Optional,
};

}
