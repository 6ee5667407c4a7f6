#pragma once

namespace lycheeseam {

/// Whether a field may be missing in a JSON object or a settings file.
enum class field_presence
{
  Required,
  /// A missing field keeps its default value.
  Optional,
};

}
